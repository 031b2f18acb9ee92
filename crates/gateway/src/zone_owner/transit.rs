//! Which adapters are still on their way to an engine, and how many it takes at once.
//!
//! Pattern: a limit that others enforce is kept by who orders. Where goals are tight, a load
//! counts until a request has found its adapter or a part of its expected time has passed on
//! top, and an order that the engine refused although its count was right lowers the limit.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use wire::fleet::FirstUse;

use super::{
    Action, ZoneOwner,
    engine::{Engine, Slot, Source},
};

/// Adapters on their way to one engine at most, until it refuses one of them.
const MOST: usize = 4;

/// How long a lowered limit stands before one more is tried.
const LOWERED_TIME: Duration = Duration::from_secs(10);

/// Part of the expected time of a load for which it counts beyond that time while no request
/// has shown that it has ended.
const OVERHANG_PART: u32 = 4;

/// What is known of the limit of one engine.
#[derive(Debug, Default)]
pub(super) struct Transit {
    /// How many fewer than [`MOST`] it takes, and since when.
    fewer: usize,
    lowered: Time,
    /// The order count, and the number under way, at which it last refused an order.
    refused: Option<(u64, usize)>,
    /// Adapters that requests have found since they were loaded.
    found: BTreeSet<String>,
}

impl Transit {
    /// Notes that a load was accepted.
    pub(super) fn begun(&mut self, adapter: &str) {
        self.found.remove(adapter);
    }

    /// Notes that the engine refused an order at its count `seq`, with `under_way` adapters.
    pub(super) fn refused(&mut self, seq: Option<u64>, under_way: usize) {
        self.refused = seq.map(|seq| (seq, under_way));
    }

    /// Takes over a report: where the count was right, the engine refused for want of room.
    pub(super) fn reported(&mut self, now: Time, seq: u64, pending: usize) {
        let Some((expected, under_way)) = self.refused.take() else {
            return;
        };
        if expected == seq {
            let taken = under_way.max(pending).clamp(1, MOST);
            self.fewer = MOST - taken.min(MOST - 1);
            self.lowered = now;
        }
    }

    /// Returns how many adapters may be on their way.
    fn most(&self, now: Time) -> usize {
        let tried = now.since(self.lowered).as_secs() / LOWERED_TIME.as_secs();
        let tried = usize::try_from(tried).unwrap_or(MOST);
        MOST - self.fewer.saturating_sub(tried)
    }
}

impl Engine {
    /// Returns until when a slot counts as being loaded; `None` if it doesn't any more.
    pub(super) fn coming_until(
        &self,
        now: Time,
        adapter: &str,
        slot: &Slot,
        overhang: Option<Duration>,
    ) -> Option<Time> {
        if slot.evicting {
            return None;
        }
        if slot.ready > now {
            return Some(slot.ready);
        }
        let uncertain = slot.source == Some(Source::Store) && !self.transit.found.contains(adapter);
        let until = slot.ready + overhang.filter(|_| uncertain)?;
        (until > now).then_some(until)
    }

    /// Returns the number of adapters being loaded.
    pub(super) fn loads_in_flight(&self, now: Time, overhang: Option<Duration>) -> usize {
        let slots = self.adapters.iter();
        let coming = slots.filter(|(a, slot)| self.coming_until(now, a, slot, overhang).is_some());
        coming.count()
    }

    /// Returns the number of adapters being loaded, ordered or about to be ordered.
    pub(super) fn loading(&self, now: Time, overhang: Option<Duration>) -> usize {
        let ordered = matches!(self.order, Some(Action::Load { .. }));
        self.loads_in_flight(now, overhang) + usize::from(ordered || self.next_load.is_some())
    }

    /// Returns whether one more load may be ordered, as far as those under way go.
    ///
    /// Failure: loads took longer than expected and counted as done before they were. The engine
    /// refused the fifth, which cost a report and the time until it was recent enough.
    pub(super) fn takes_load(&self, now: Time, overhang: Option<Duration>) -> bool {
        let loads = self.loads_in_flight(now, overhang);
        if overhang.is_none() {
            return loads < MOST;
        }
        let evicting = self.adapters.values().filter(|slot| slot.evicting);
        loads + evicting.count() < self.transit.most(now)
    }

    /// Notes that a request has found an adapter after its load.
    pub(super) fn found(&mut self, adapter: &str) {
        let held = &self.adapters;
        self.transit.found.retain(|found| held.contains_key(found));
        self.transit.found.insert(adapter.to_owned());
    }
}

impl ZoneOwner {
    /// Returns for how long loads count beyond their expected time; `None` where goals aren't
    /// tight.
    pub(super) fn overhang(&self) -> Option<Duration> {
        self.tight.then(|| self.store.time() / OVERHANG_PART)
    }

    /// Updates the load estimates from the outcome of the first request for an adapter
    /// that was just loaded.
    pub(super) fn first_use(&mut self, now: Time, first: &FirstUse) {
        let Some(engine) = self.engines.get_mut(&first.target) else {
            return;
        };
        let Some((load, ordered)) = engine.first_use(now, first, self.store.time()) else {
            return;
        };
        if !first.held {
            self.engine_changed(&first.target);
        } else if self.tight {
            self.placement = None;
            self.plan_due |= self.withheld > 0;
        }
        match (load, first.held) {
            (Source::Store, true) => {
                let full = self.joint.was_full(ordered);
                self.store.in_time(now, ordered, full);
            }
            (Source::Store, false) => self.store.late(now, ordered),
            (Source::Memory { depth }, there) => self.memory.observe(depth, there),
        }
    }
}
