//! Notes how attempts end, to find requests that crash targets.

use base::{Failure, Refusal, TargetName, Ticket, Time};
use quarantine::BrokenRun;
use request::{AttemptNo, Input as Step};

use super::Entry;
use crate::{
    io::{AnswerEnd, Output},
    msg::{HEARTBEAT, Msg},
    shared::{Out, Shared},
};

impl Entry {
    /// Notes the end of an attempt. A crash closes connections in order as well, so that also
    /// an answer that ends with its connection has its target checked.
    pub(super) fn note_end(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, attempt): (Ticket, AttemptNo),
        end: AnswerEnd,
        out: &mut Out,
    ) {
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let Some(sent) = active.attempt(attempt) else {
            return;
        };
        if end == AnswerEnd::Complete {
            if !sent.clears {
                return;
            }
            let (content, parts) = (active.content, &active.parts);
            if shared.crashes.answered(now, content, parts, sent.at) {
                out.send(HEARTBEAT, Msg::HeartbeatNow);
            }
            return;
        }
        let Some(info) = shared.targets.get(&sent.target) else {
            return;
        };
        let (target, address) = (info.listed.name.clone(), info.address);
        let run = BrokenRun {
            fingerprint: active.content,
            parts: active.parts.clone(),
            at: now,
            ran: now.since(sent.at),
            wrote: sent.began.then(|| now.since(sent.at)),
        };
        if shared.crashes.broke(sent.target, run) {
            out.emit(Output::CheckTarget { target, address });
        }
    }

    /// Takes the result of a check; what speaks against requests is reported at once.
    pub(super) fn target_checked(
        &mut self,
        shared: &mut Shared,
        now: Time,
        name: &TargetName,
        crashed: bool,
        out: &mut Out,
    ) {
        let target = shared.names.target(name);
        let report = shared.crashes.checked(now, target, name.as_str(), crashed);
        if report {
            out.send(HEARTBEAT, Msg::HeartbeatNow);
        }
    }

    /// Returns how a request ends that crashes targets and may not be sent again.
    pub(super) fn held(&self, shared: &Shared, now: Time, ticket: Ticket) -> Option<Step> {
        let active = self.requests.get(&ticket)?;
        let left = shared.crashes.held(now, &active.content, &active.parts)?;
        let failure = Failure::not_run(Refusal::Held).retry_after(left);
        Some(Step::NoTarget(failure))
    }
}
