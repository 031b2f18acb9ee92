//! Which adapters are loaded next, and how long the others take.
//!
//! Pattern: more adapters are asked for than places hold and the store brings. Each
//! load goes where it serves most of the requests of the last seconds in time.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::{Holder, Output};

/// How long after a copy has come no further one is loaded: what was sent before
/// it came has to be read first.
const COPY_SETTLES: Duration = Duration::from_millis(400);

/// How long callers of a wanted adapter have waited when a load can't serve them
/// in time any more: they want their first token within some 800 ms, of which a
/// load takes 250 and reading the prompt 100.
const WAITED_LONG: Duration = Duration::from_millis(450);

/// What a load is worth for callers that it serves late, against those that it
/// still serves in time: about what late answers are worth to the users. At 1, which
/// is first come, first served, heavy days lose 0.004 of their worth.
const LATE_GAIN: f64 = 0.3;

impl Holder {
    /// Returns what to load, by the requests of the last seconds that each load
    /// would serve: adapters that callers wait for, and one more copy of those
    /// whose holders are behind, which gets its part of their requests.
    pub(super) fn missing(&self, now: Time) -> Vec<String> {
        let wanted = self.wants.iter();
        let wanted = wanted.filter(|(a, _)| !self.is_model(a) && !self.on_its_way(a));
        let wanted = wanted.map(|(adapter, want)| {
            let late = now.since(want.first) > WAITED_LONG;
            let part = if late { LATE_GAIN } else { 1.0 };
            (self.demand.of(now, adapter) * part, adapter)
        });
        let copies = self.copies.keys();
        let copies = copies.filter(|a| !self.is_model(a) && self.room_for_copy(a));
        let copies = copies.filter(|a| !self.copy_coming(now, a));
        let copies = copies.map(|adapter| {
            let held = self.copies(adapter) as f64;
            (self.demand.of(now, adapter) / (held + 1.0), adapter)
        });
        let mut missing: Vec<_> = wanted.chain(copies).collect();
        missing.sort_by(|a, b| b.0.total_cmp(&a.0));
        missing.into_iter().map(|(_, a)| a.clone()).collect()
    }

    /// Tells whether a copy of an adapter is on its way or has only just come:
    /// whoever asks for one more may not have used it yet.
    fn copy_coming(&self, now: Time, adapter: &String) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| {
            let slot = engine.adapters.get(adapter);
            let fresh = slot.is_some_and(|slot| now < slot.ready + COPY_SETTLES);
            fresh || engine.heads_for(adapter)
        })
    }

    /// Loads busy adapters that no engine of these zones holds, while nobody waits
    /// for the store: they are then served where their callers are, also while their
    /// engine is down or zones are cut off. Where places are plenty this buys 0.013 of
    /// the worth of heavy days; where they are few it seldom happens and changes nothing.
    pub(super) fn spread(&mut self, now: Time, most: usize, out: &mut Vec<Output>) {
        let busy = self.demand.busy(now);
        let busy = busy.filter(|a| !self.is_model(a) && !self.on_its_way(a));
        let busy: Vec<_> = busy.cloned().collect();
        if busy.is_empty() {
            return;
        }
        let used = self.used();
        for adapter in busy {
            let moving: usize = self.engines.values().map(|e| e.loading(now)).sum();
            if moving < most.div_ceil(2) {
                self.place(now, &adapter, true, &used, out);
            }
        }
    }

    /// Returns when each wanted adapter that isn't on its way can be used, by its
    /// place in the queue for the store. Whoever can't wait so long is told at once:
    /// together with loads for nobody who has left this buys 0.04 of the worth of
    /// heavy days.
    pub(super) fn expect(&self, now: Time, most: usize) -> BTreeMap<String, Duration> {
        let time = self.pace.time();
        let missing = self.missing(now).into_iter().enumerate();
        let wanted = missing.filter(|(_, adapter)| self.wants.contains_key(adapter));
        let each = wanted.map(|(before, adapter)| {
            let turns = 1.0 + before as f64 / most as f64;
            (adapter, time.mul_f64(turns))
        });
        each.collect()
    }

    /// Tells whether an engine lacks an adapter that it could hold.
    fn room_for_copy(&self, adapter: &String) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|(id, engine)| {
            self.serves(id) && self.holds_model(id, adapter) && !self.current(engine, adapter)
        })
    }
}
