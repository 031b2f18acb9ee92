//! What targets say in answers about all further requests of this instance.

use std::time::Duration;

use base::{TargetName, TargetNo, Ticket, Time, Verdict};
use request::AttemptNo;
use route::RouterUpdate;

use super::Entry;
use crate::{
    io::{Progress, Word},
    msg::{ENGINES, Msg},
    shared::{Out, Shared},
};

impl Entry {
    /// Takes over what an answer of a target has said.
    pub(super) fn said(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (name, word): (&TargetName, Word),
        out: &mut Out,
    ) {
        let target = shared.names.target(name);
        match word {
            Word::Rests(rest) => self.rests(now, target, rest, out),
            Word::Leaves => self.router.apply(now, RouterUpdate::SaysLeaving(target)),
        }
    }

    /// Takes over for how long a target wants nothing that has turned an attempt of this
    /// instance away. What an engine's owner says of an attempt is no word of the engine.
    pub(super) fn note_turned_away(
        &mut self,
        now: Time,
        (ticket, attempt): (Ticket, u32),
        progress: &Progress,
        out: &mut Out,
    ) {
        let Progress::Failed {
            verdict: Verdict::NotRun,
            retry: Some(rest),
            ..
        } = progress
        else {
            return;
        };
        let target = self.hops.target(ticket).or_else(|| {
            let active = self.requests.get(&ticket)?;
            let sent = active.attempt(AttemptNo(attempt))?;
            sent.forwarded_to.is_none().then_some(sent.target)
        });
        if let Some(target) = target {
            self.rests(now, target, *rest, out);
        }
    }

    fn rests(&mut self, now: Time, target: TargetNo, rest: Duration, out: &mut Out) {
        base::hit!(target_rests);
        self.router.apply(now, RouterUpdate::Rests(target, rest));
        out.send(ENGINES, Msg::Rests(target, rest));
    }
}
