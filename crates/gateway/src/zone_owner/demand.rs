//! Demand for each adapter: request counts that decay exponentially.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

/// Half-life of demand. The rise of a busy adapter has to show within seconds, or running
/// streams stall on the few engines that hold it.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Request rate, per second, from which an adapter is busy.
const BUSY_RATE: f64 = 2.0;

/// Decayed count below which an adapter is removed.
const MIN_COUNT: f64 = 0.01;

/// Most adapters that are counted; callers choose the names.
const ADAPTERS_MAX: usize = 100_000;

/// Interval at which all adapters are checked for removal.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Decaying request counts by adapter.
#[derive(Debug, Default)]
pub(super) struct Demand {
    counts: BTreeMap<String, (f64, Time)>,
    /// Adapters that were busy at their last request. Demand only decays between
    /// requests, so no other adapter can be busy.
    busy: BTreeSet<String>,
    last_expired: Time,
}

impl Demand {
    /// Counts requests for an adapter; returns whether it has just become busy.
    pub(super) fn add(&mut self, now: Time, adapter: &str, count: f64) -> bool {
        if self.counts.len() >= ADAPTERS_MAX && !self.counts.contains_key(adapter) {
            return false;
        }
        let old = self.of(now, adapter);
        self.counts.insert(adapter.to_owned(), (old + count, now));
        old + count >= busy_count() && self.busy.insert(adapter.to_owned())
    }

    /// Returns the decayed request count of an adapter.
    pub(super) fn of(&self, now: Time, adapter: &str) -> f64 {
        let Some((count, at)) = self.counts.get(adapter) else {
            return 0.0;
        };
        decayed(*count, *at, now)
    }

    /// Returns the rate of requests for an adapter, per second.
    pub(super) fn rate(&self, now: Time, adapter: &str) -> f64 {
        self.of(now, adapter) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns busy adapters.
    pub(super) fn busy(&self, now: Time) -> impl Iterator<Item = &String> {
        let busy = self.busy.iter();
        busy.filter(move |adapter| self.of(now, adapter) >= busy_count())
    }

    pub(super) fn expire(&mut self, now: Time) {
        if now.since(self.last_expired) < EXPIRE_INTERVAL {
            return;
        }
        self.last_expired = now;
        self.counts
            .retain(|_, (count, at)| decayed(*count, *at, now) > MIN_COUNT);
        let mut busy = std::mem::take(&mut self.busy);
        busy.retain(|adapter| self.of(now, adapter) >= busy_count());
        self.busy = busy;
    }
}

/// Returns the decayed count of an adapter that is requested at exactly the rate
/// [`BUSY_RATE`].
fn busy_count() -> f64 {
    BUSY_RATE * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

fn decayed(count: f64, at: Time, now: Time) -> f64 {
    count * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
