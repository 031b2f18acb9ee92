//! Finds out owners that have fallen silent under requests passed on to them.
//!
//! A request may wait long in its owner's queue without a word, so silence
//! says nothing by itself. While any waits there, the owner is asked for a
//! sign of life on a connection of its own.

use std::time::Duration;

use base::{InstanceName, Refusal, Ticket, Time, Verdict};
use request::Input as Step;
use wire::call::{Call, Reply};

use super::Entry;
use crate::{
    io::Output,
    msg::ENTRY,
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

/// Time between two signs of life asked of one owner.
const EVERY: Duration = Duration::from_millis(500);

/// Signs of life that an owner may miss: one may be lost to a busy moment.
const MISSED_MAX: u32 = 2;

/// What is known of an owner's life.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pulse {
    next: Time,
    missed: u32,
}

impl Entry {
    /// Begins to ask `owner` for signs of life.
    pub(super) fn watch_owner(&mut self, shared: &mut Shared, now: Time, owner: InstanceName) {
        let next = now + EVERY;
        let fresh = Pulse { next, missed: 0 };
        self.pulses.entry(owner).or_insert(fresh);
        shared.wake(ENTRY, next);
    }

    /// Asks the owners that requests wait at.
    pub(super) fn ping_owners(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let waiting: Vec<InstanceName> = self.waiting_at().cloned().collect();
        self.pulses.retain(|owner, _| waiting.contains(owner));
        for (owner, pulse) in &mut self.pulses {
            if now < pulse.next {
                shared.wake(ENTRY, pulse.next);
                continue;
            }
            let Some(address) = shared.peers.get(owner).copied() else {
                continue;
            };
            pulse.next = now + CALL_LIMIT + EVERY;
            shared.wake(ENTRY, pulse.next);
            let purpose = Purpose::Ping { to: owner.clone() };
            shared.call(ENTRY, purpose, address, Call::Version, CALL_LIMIT, out);
        }
    }

    /// Takes an owner's sign of life, or that there was none.
    ///
    /// Guard: an owner that is frozen, or whose connection something between
    /// has forgotten, would keep a request until its deadline, though another
    /// instance owns the engine by then. Such an attempt is broken off and the
    /// request placed anew. It may have run: a marked one is not sent again.
    pub(super) fn on_pulse(
        &mut self,
        shared: &mut Shared,
        now: Time,
        owner: &InstanceName,
        reply: &Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        let Some(pulse) = self.pulses.get_mut(owner) else {
            return;
        };
        pulse.next = now + EVERY;
        shared.wake(ENTRY, pulse.next);
        pulse.missed = if reply.is_ok() { 0 } else { pulse.missed + 1 };
        if pulse.missed < MISSED_MAX {
            return;
        }
        base::hit!(silent_owner_left);
        self.pulses.remove(owner);
        let stuck = self
            .requests
            .iter()
            .filter(|(_, live)| live.waits_at() == Some(owner));
        let stuck: Vec<Ticket> = stuck.map(|(ticket, _)| *ticket).collect();
        for ticket in stuck {
            self.leave_owner(shared, now, ticket, out);
        }
    }

    fn leave_owner(&mut self, shared: &mut Shared, now: Time, ticket: Ticket, out: &mut Out) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = &live.sent else {
            return;
        };
        let (attempt, target) = (sent.attempt, sent.target);
        live.turned_away.push(target);
        out.emit(Output::Cancel {
            ticket,
            attempt: attempt.0,
        });
        self.end_attempt(now, ticket, attempt, true, out);
        let input = Step::AttemptFailed {
            attempt,
            verdict: Verdict::MayHaveRun,
            reason: Refusal::Preempted,
            retry: None,
        };
        self.step(shared, now, ticket, 0, input, out);
    }

    fn waiting_at(&self) -> impl Iterator<Item = &InstanceName> {
        self.requests.values().filter_map(|live| live.waits_at())
    }
}
