//! Which adapter makes room for another one where goals are tight, and what it costs.
//!
//! Pattern: cache pollution by requests that come once. Engine and victim are chosen
//! together: an idle engine whose least requested adapter is busy costs more than one with
//! more requests and an adapter that nobody asks for. What bringing the victim back costs
//! doesn't differ: each engine keeps it in host memory for a while.

use base::Time;

use super::{
    ZoneOwner,
    engine::{Engine, Slot},
    placement::Placement,
    plan::Candidate,
};

/// Cost of evicting an adapter that one request a second asks for, in parts of an engine's
/// slots.
const KEEP_COST: f64 = 0.5;

/// Upper bound of that cost: an adapter that callers wait for is loaded even if all others
/// are busy.
const KEEP_COST_MAX: f64 = 1.5;

/// What an idle engine takes for a request, in parts of its slots, by which idle engines of
/// different speed are compared.
const IDLE_LOAD: f64 = 0.2;

/// Worth of a copy beyond what its adapter needs, relative to one that it needs.
const SURPLUS_WORTH: f64 = 0.1;

/// Least worth of a copy that its adapter needs, in requests a second: without it, its
/// requests wait at the other holders until it is loaded again.
const NEEDED_RATE: f64 = 1.0;

impl ZoneOwner {
    /// Returns the worth of keeping a copy of an adapter at an engine: requests a second for
    /// each of its copies.
    pub(super) fn worth(
        &self,
        now: Time,
        engine: &Engine,
        adapter: &str,
        placement: &Placement,
    ) -> f64 {
        if !self.current(engine, adapter) {
            return 0.0;
        }
        let copies = placement.copies(adapter).max(1);
        let each = self.demand.rate(now, adapter) / copies as f64;
        if self.sizing.is_surplus(adapter, copies) {
            each * SURPLUS_WORTH
        } else if self.sizing.is_busy(adapter) {
            each.max(NEEDED_RATE)
        } else {
            each
        }
    }

    /// Notes an ordered eviction, where goals are tight: the other copies of that adapter are
    /// worth more to the rest of the plan.
    pub(super) fn evicted(
        &self,
        now: Time,
        victim: &str,
        candidates: &mut [Candidate],
        placement: &mut Placement,
    ) {
        if !self.tight {
            return;
        }
        placement.evicted(victim);
        let alike = candidates.iter_mut();
        for candidate in alike.filter(|c| c.victim.as_deref() == Some(victim)) {
            candidate.worth = self.worth(now, &self.engines[&candidate.id], victim, placement);
        }
    }

    /// Returns how busy an engine is, in parts of its slots; where goals are tight, with a
    /// part that an idle one takes for a prompt, and times its slowness.
    pub(super) fn expected_load(&self, id: &str) -> f64 {
        let load = self.load_of(id);
        if !self.tight {
            return load;
        }
        let slowness = f64::from(self.slowness.factor(id)) / 100.0;
        (load + IDLE_LOAD) * slowness - IDLE_LOAD
    }

    /// Returns the cost of evicting an adapter of that worth, in parts of an engine's slots.
    pub(super) fn cost_of_evicting(worth: f64) -> f64 {
        (worth * KEEP_COST).min(KEEP_COST_MAX)
    }

    /// Returns whether an adapter may be evicted now: nobody waits for it or uses it there.
    pub(super) fn may_evict(&self, now: Time, id: &str, adapter: &str, slot: &Slot) -> bool {
        let for_stream = |want: &wire::stream::SoftwareWant| want.adapter == *adapter;
        let wanted = self.wants.contains_key(adapter) || self.stream_wants.keys().any(for_stream);
        slot.settled(now) && !slot.evicting && !wanted && self.traffic.of(id, adapter) == 0
    }
}
