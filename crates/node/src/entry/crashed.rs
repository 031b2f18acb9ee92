//! Notes how attempts end, to find requests that crash targets.

use base::{Failure, Refusal, TargetName, Ticket, Time};
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
            if shared.crashes.answered(now, active.content) {
                out.send(HEARTBEAT, Msg::HeartbeatNow);
            }
            return;
        }
        let Some(info) = shared.targets.get(&sent.target) else {
            return;
        };
        let (target, address) = (info.listed.name.clone(), info.address);
        if shared
            .crashes
            .broke(now, sent.target, active.content, sent.at)
        {
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
        let left = shared.crashes.held(now, &active.content)?;
        let failure = Failure::not_run(Refusal::Held).retry_after(left);
        Some(Step::NoTarget(failure))
    }
}
