//! Number and state of the copies of each adapter, counted once for all decisions of a
//! plan.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::ZoneOwner;

/// How long after a copy was loaded no further one is: requests that were sent to the
/// other holders before have to be processed first.
const COPY_SETTLE_TIME: Duration = Duration::from_millis(400);

/// Copies of adapters at the engines of a zone owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    adapters: BTreeMap<String, Copies>,
    /// Number of loads in flight, ordered or about to be.
    pub(super) loading: usize,
    /// When the first load in flight is expected to complete.
    pub(super) next: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    /// Copies held or being loaded, in the current version and at engines that take
    /// requests.
    placed: usize,
    /// Copies ordered without an answer so far, or about to be ordered, at engines that
    /// take requests.
    about_to_load: usize,
    /// Time before which no further copy is loaded, so that the effect of these shows
    /// first.
    settled_at: Time,
    /// Whether any engine is about to load it.
    pending: bool,
}

impl Placement {
    /// Returns the number of copies held, being loaded or about to be.
    pub(super) fn copies(&self, adapter: &str) -> usize {
        let copies = self.adapters.get(adapter);
        copies.map_or(0, |copies| copies.placed + copies.about_to_load)
    }

    /// Returns whether an adapter is held somewhere or an engine has accepted its load.
    pub(super) fn placed(&self, adapter: &str) -> bool {
        self.adapters.get(adapter).is_some_and(|c| c.placed > 0)
    }

    /// Returns whether a copy of an adapter is about to be loaded or was loaded so
    /// recently that whoever asks for one more may not have used it yet.
    pub(super) fn copy_pending(&self, now: Time, adapter: &str) -> bool {
        let copies = self.adapters.get(adapter);
        copies.is_some_and(|copies| copies.pending || now < copies.settled_at)
    }

    /// Notes that a load of an adapter was just ordered.
    pub(super) fn ordered(&mut self, adapter: &str) {
        let copies = self.copies_mut(adapter);
        copies.about_to_load += 1;
        copies.pending = true;
        self.loading += 1;
    }

    /// Notes that the eviction of one copy of an adapter was just ordered.
    pub(super) fn evicted(&mut self, adapter: &str) {
        let copies = self.copies_mut(adapter);
        copies.placed = copies.placed.saturating_sub(1);
    }

    fn copies_mut(&mut self, adapter: &str) -> &mut Copies {
        self.adapters.entry(adapter.to_owned()).or_default()
    }
}

impl ZoneOwner {
    /// Counts copies at all engines.
    pub(super) fn count_copies(&mut self, now: Time) -> Placement {
        let mut placement = Placement::default();
        let mut steps = 0;
        let open = self.open_engines();
        for (id, engine) in &self.engines {
            let serves = open.contains(id.as_str());
            steps += engine.adapters.len() as u64 + 1;
            placement.loading += engine.loading(now);
            for (adapter, slot) in &engine.adapters {
                let copies = placement.copies_mut(adapter);
                copies.settled_at = copies.settled_at.max(slot.ready + COPY_SETTLE_TIME);
                copies.placed += usize::from(serves && self.current(engine, adapter));
                if slot.ready > now && !slot.evicting {
                    placement.next =
                        Some(placement.next.map_or(slot.ready, |at| at.min(slot.ready)));
                }
            }
            if let Some(adapter) = engine.about_to_load() {
                let held = self.current(engine, adapter);
                let copies = placement.copies_mut(adapter);
                copies.pending = true;
                copies.about_to_load += usize::from(serves && !held);
            }
        }
        self.steps += steps;
        placement
    }
}
