//! How much each adapter is asked for, fading with time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

/// How long demand takes to fall to half. A busy adapter's rise has to show
/// within seconds, or the few engines that hold it make their running streams
/// wait.
const HALF: Duration = Duration::from_secs(5);

/// Requests a second from which an adapter is busy.
const BUSY: f64 = 2.0;

/// Demand below which an adapter is forgotten.
const LEAST: f64 = 0.01;

/// How often all adapters are looked through for those to forget.
const EVERY: Duration = Duration::from_secs(5);

/// Fading counts by adapter.
#[derive(Debug, Default)]
pub(super) struct Demand {
    counts: BTreeMap<String, (f64, Time)>,
    /// Adapters that were busy when they were last asked for. Demand only fades from
    /// then on, so no other one is.
    busy: BTreeSet<String>,
    looked: Time,
}

impl Demand {
    /// Counts requests for an adapter; returns whether it has become busy.
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

/// Returns the count of an adapter that is asked for just so often that it is busy.
fn least_busy() -> f64 {
    BUSY * HALF.as_secs_f64() / std::f64::consts::LN_2
}

fn faded(count: f64, at: Time, now: Time) -> f64 {
    count * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF.as_secs_f64())
}
