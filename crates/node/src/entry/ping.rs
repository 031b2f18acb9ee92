//! Detects owners that stopped responding while requests forwarded to them wait
//! for an answer.
//!
//! A request may wait long in its owner's queue, so the lack of an answer alone
//! proves nothing. As long as a forwarded request waits, its owner is pinged on a
//! separate connection.

use std::time::Duration;

use base::{InstanceName, Ticket, Time, Verdict};
use request::Input as Step;
use wire::call::{Call, Reply};

use super::{
    Entry,
    active::{Active, Sent},
};
use crate::{
    msg::ENTRY,
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

/// Time between two pings of one owner.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed pings after which an owner counts as
/// unresponsive. A single one may fail because the owner is briefly overloaded.
const MISSED_MAX: u32 = 2;

/// State of the pings of one owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Liveness {
    /// When the next ping is due.
    next: Time,
    /// Consecutive failed pings.
    missed: u32,
}

impl Entry {
    /// Starts to ping `owner`, unless it is pinged already.
    pub(super) fn watch_owner(&mut self, shared: &mut Shared, now: Time, owner: InstanceName) {
        let next = now + PING_INTERVAL;
        let fresh = Liveness { next, missed: 0 };
        self.liveness.entry(owner).or_insert(fresh);
        shared.wake(ENTRY, next);
    }

    /// Pings the owners that have not answered a forwarded request yet.
    pub(super) fn ping_owners(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let waiting: Vec<InstanceName> = self.awaited_owners().cloned().collect();
        self.liveness.retain(|owner, _| waiting.contains(owner));
        for (owner, liveness) in &mut self.liveness {
            if now < liveness.next {
                shared.wake(ENTRY, liveness.next);
                continue;
            }
            let Some(address) = shared.peers.get(owner).copied() else {
                continue;
            };
            liveness.next = now + CALL_TIMEOUT + PING_INTERVAL;
            shared.wake(ENTRY, liveness.next);
            let purpose = Purpose::Ping { to: owner.clone() };
            shared.call(ENTRY, purpose, address, Call::Version, CALL_TIMEOUT, out);
        }
    }

    /// Handles the end of a ping.
    ///
    /// Guard: if the owner is frozen, or a device in the network path has
    /// dropped the connection's state, a request would wait until its deadline,
    /// though another instance owns the engine by then. The request is placed
    /// once more; its attempt is cancelled once another one has answered. It may
    /// have run, so a marked request is not sent again.
    pub(super) fn on_ping_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        owner: &InstanceName,
        reply: &Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        let Some(liveness) = self.liveness.get_mut(owner) else {
            return;
        };
        liveness.next = now + PING_INTERVAL;
        shared.wake(ENTRY, liveness.next);
        liveness.missed = if reply.is_ok() {
            0
        } else {
            liveness.missed + 1
        };
        if liveness.missed < MISSED_MAX {
            return;
        }
        base::hit!(unresponsive_owner_abandoned);
        // While it stays silent, the same follows again.
        liveness.missed = 0;
        let waits = |active: &Active| active.awaited_owners().any(|awaited| awaited == owner);
        let stuck = self.requests.iter().filter(|(_, active)| waits(active));
        let stuck: Vec<Ticket> = stuck.map(|(ticket, _)| *ticket).collect();
        for ticket in stuck {
            self.owner_silent(shared, now, ticket, owner, out);
        }
    }

    /// Tries another target beside the attempt that was forwarded to a silent owner.
    fn owner_silent(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        owner: &InstanceName,
        out: &mut Out,
    ) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let waits = |sent: &&Sent| !sent.began && sent.forwarded_to.as_ref() == Some(owner);
        let Some(sent) = active.attempts().find(waits) else {
            return;
        };
        let (attempt, target) = (sent.attempt, sent.target);
        if active
            .spare
            .as_ref()
            .is_some_and(|spare| spare.attempt == attempt)
        {
            active.rejected.push(target);
        }
        let fault = false;
        self.step(shared, now, ticket, 0, Step::Silent { attempt, fault }, out);
    }

    /// Returns the owners of forwarded requests without an answer.
    fn awaited_owners(&self) -> impl Iterator<Item = &InstanceName> {
        let requests = self.requests.values();
        requests.flat_map(|active| active.awaited_owners())
    }
}
