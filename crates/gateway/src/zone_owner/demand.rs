//! Demand for each adapter: request counts that decay exponentially.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

/// Half-life of demand. The rise of a busy adapter has to show within seconds, or running
/// streams stall on the few engines that hold it.
const HALF: Duration = Duration::from_secs(5);

/// Request rate, per second, from which an adapter is busy.
const BUSY: f64 = 2.0;

/// Decayed count below which an adapter is removed.
const LEAST: f64 = 0.01;

/// Interval at which all adapters are checked for removal.
const EVERY: Duration = Duration::from_secs(5);

/// Decaying request counts by adapter.
#[derive(Debug, Default)]
pub(super) struct Demand {
    counts: BTreeMap<String, (f64, Time)>,
    /// Adapters that were busy at their last request. Demand only decays between
    /// requests, so no other adapter can be busy.
    busy: BTreeSet<String>,
    looked: Time,
}

impl Demand {
    /// Counts requests for an adapter; returns whether it has just become busy.
    pub(super) fn add(&mut self, now: Time, adapter: &str, count: f64) -> bool {
        let old = self.of(now, adapter);
        self.counts.insert(adapter.to_owned(), (old + count, now));
        old + count >= least_busy() && self.busy.insert(adapter.to_owned())
    }

    pub(super) fn of(&self, now: Time, adapter: &str) -> f64 {
        let Some((count, at)) = self.counts.get(adapter) else {
            return 0.0;
        };
        faded(*count, *at, now)
    }

    /// Returns busy adapters.
    pub(super) fn busy(&self, now: Time) -> impl Iterator<Item = &String> {
        let busy = self.busy.iter();
        busy.filter(move |adapter| self.of(now, adapter) >= least_busy())
    }

    pub(super) fn forget(&mut self, now: Time) {
        if now.since(self.looked) < EVERY {
            return;
        }
        self.looked = now;
        self.counts
            .retain(|_, (count, at)| faded(*count, *at, now) > LEAST);
        let mut busy = std::mem::take(&mut self.busy);
        busy.retain(|adapter| self.of(now, adapter) >= least_busy());
        self.busy = busy;
    }
}

/// Returns the decayed count of an adapter that is requested at exactly the rate
/// [`BUSY`].
fn least_busy() -> f64 {
    BUSY * HALF.as_secs_f64() / std::f64::consts::LN_2
}

fn faded(count: f64, at: Time, now: Time) -> f64 {
    count * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF.as_secs_f64())
}
