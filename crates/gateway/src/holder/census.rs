//! Where adapters are, counted once for all that a plan asks.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::Holder;

/// How long after a copy has come no further one is loaded: what was sent before
/// it came has to be read first.
const COPY_SETTLES: Duration = Duration::from_millis(400);

/// Copies of adapters at the engines of a holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Census {
    adapters: BTreeMap<String, Copies>,
    /// Adapters on their way, ordered or about to be.
    pub(super) loading: usize,
    /// When the first adapter that is on its way comes.
    pub(super) next: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    /// Held, or accepted, in the version that counts where requests are taken.
    placed: usize,
    /// About to be ordered there.
    headed: usize,
    /// Until when one more copy waits for what these bring.
    settles: Time,
    /// Whether any engine is about to load it.
    coming: bool,
}

impl Census {
    /// Returns copies held or on their way.
    pub(super) fn copies(&self, adapter: &str) -> usize {
        let copies = self.adapters.get(adapter);
        copies.map_or(0, |copies| copies.placed + copies.headed)
    }

    /// Tells whether an adapter is held somewhere, or its load is accepted.
    pub(super) fn placed(&self, adapter: &str) -> bool {
        self.adapters.get(adapter).is_some_and(|c| c.placed > 0)
    }

    /// Tells whether a copy of an adapter is on its way or has only just come:
    /// whoever asks for one more may not have used it yet.
    pub(super) fn copy_coming(&self, now: Time, adapter: &str) -> bool {
        let copies = self.adapters.get(adapter);
        copies.is_some_and(|copies| copies.coming || now < copies.settles)
    }

    /// Notes that an adapter was just ordered.
    pub(super) fn ordered(&mut self, adapter: &str) {
        let copies = self.copies_mut(adapter);
        copies.headed += 1;
        copies.coming = true;
        self.loading += 1;
    }

    fn copies_mut(&mut self, adapter: &str) -> &mut Copies {
        self.adapters.entry(adapter.to_owned()).or_default()
    }
}

impl Holder {
    /// Counts copies at all engines.
    pub(super) fn count(&mut self, now: Time) -> Census {
        let mut census = Census::default();
        let mut steps = 0;
        for (id, engine) in &self.engines {
            let serves = self.serves(id);
            steps += engine.adapters.len() as u64 + 1;
            census.loading += engine.loading(now);
            for (adapter, slot) in &engine.adapters {
                let copies = census.copies_mut(adapter);
                copies.settles = copies.settles.max(slot.ready + COPY_SETTLES);
                copies.placed += usize::from(serves && self.current(engine, adapter));
                if slot.ready > now && !slot.leaving {
                    census.next = Some(census.next.map_or(slot.ready, |at| at.min(slot.ready)));
                }
            }
            if let Some(adapter) = engine.headed() {
                let held = self.current(engine, adapter);
                let copies = census.copies_mut(adapter);
                copies.coming = true;
                copies.headed += usize::from(serves && !held);
            }
        }
        self.steps += steps;
        census
    }
}
