//! Order in which adapters are loaded, and the estimated wait of those that are not
//! ordered yet.
//!
//! Pattern: more adapters are requested than engines have slots for and the store can
//! load. Each load goes to the adapter where it serves most of the requests of the last
//! seconds in time.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::{Output, ZoneOwner, placement::Placement, plan::Candidate};

/// Waiting time of a caller from which a load can't serve it in time any more: callers
/// expect the first token within some 800 ms, of which a load takes 250 and reading the
/// prompt 100.
const TOO_LATE: Duration = Duration::from_millis(450);

/// Value of a load for callers that it serves late, relative to those that it serves in
/// time: about what late answers are worth to the operators of the deployment.
const LATE_GAIN: f64 = 0.3;

/// Value of one more copy for callers whose holders have a backlog, relative to a load
/// for callers whom nobody can serve: the former are served in any case, only later.
const COPY_GAIN: f64 = 0.3;

impl ZoneOwner {
    /// Returns the adapters to load, ranked by how many of the requests of the last
    /// seconds each load would serve: adapters that callers wait for, and adapters whose
    /// holders have a backlog, where one more copy gets an even share of the requests.
    pub(super) fn missing(&mut self, now: Time, placement: &Placement) -> Vec<String> {
        self.steps += (self.wants.len() + self.copies.len()) as u64;
        let wanted = self.wants.iter();
        let wanted = wanted.filter(|(a, _)| placement.copies(a) == 0 && !self.is_model(a));
        let wanted = wanted.map(|(adapter, want)| {
            let late = now.since(want.first_asked) > TOO_LATE;
            let part = if late { LATE_GAIN } else { 1.0 };
            (self.demand.of(now, adapter) * part, adapter)
        });
        let copies = self.copies.keys();
        let copies = copies.filter(|a| !placement.copy_pending(now, a));
        let copies = copies.filter(|a| !self.is_model(a) && self.room_for_copy(a));
        let copies = copies.map(|adapter| {
            let held = placement.copies(adapter) as f64;
            (
                self.demand.of(now, adapter) / (held + 1.0) * COPY_GAIN,
                adapter,
            )
        });
        let mut missing: Vec<_> = wanted.chain(copies).collect();
        missing.sort_by(|a, b| b.0.total_cmp(&a.0));
        let missing: Vec<_> = missing.into_iter().map(|(_, a)| a.clone()).collect();
        let wanted = missing.iter().filter(|a| self.wants.contains_key(*a));
        for adapter in wanted {
            self.aging.requested(now, adapter);
        }
        self.aging.order(missing)
    }

    /// Loads busy adapters that no engine of these zones holds, while no caller waits for
    /// the store. They are then served in the zone of their callers, even while the
    /// engine that holds them elsewhere is down or zones are partitioned.
    pub(super) fn copy_busy(
        &mut self,
        now: Time,
        limit: usize,
        placement: &mut Placement,
        out: &mut Vec<Output>,
    ) {
        let busy = self.demand.busy(now);
        let busy = busy.filter(|a| placement.copies(a) == 0 && !self.is_model(a));
        let busy: Vec<_> = busy.cloned().collect();
        if busy.is_empty() {
            return;
        }
        let mut candidates: Vec<Candidate> = self.candidates(now, placement);
        for adapter in busy {
            if placement.loading >= limit.div_ceil(2) {
                return;
            }
            self.place(now, &adapter, true, &mut candidates, placement, out);
        }
    }

    /// Returns the estimated time until each waiting adapter can be used, by its place in
    /// the queue for the store, so that callers who can't wait that long are told at
    /// once.
    pub(super) fn estimate_waits(
        &self,
        waiting: &[String],
        limit: usize,
    ) -> BTreeMap<String, Duration> {
        let time = self.store.time();
        let waiting = waiting.iter().enumerate();
        let wanted = waiting.filter(|(_, adapter)| self.wants.contains_key(*adapter));
        let each = wanted.map(|(before, adapter)| {
            let rounds = 1.0 + before as f64 / limit as f64;
            (adapter.clone(), time.mul_f64(rounds))
        });
        each.collect()
    }

    /// Returns whether some engine that could hold the adapter doesn't.
    fn room_for_copy(&self, adapter: &str) -> bool {
        let open = self.open_engines();
        let mut engines = self.engines.iter();
        engines.any(|(id, engine)| {
            open.contains(id.as_str())
                && self.holds_model(id, adapter)
                && !self.current(engine, adapter)
        })
    }
}
