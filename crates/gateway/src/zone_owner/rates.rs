//! Rates of requests over about a second, and the time that requests stay at engines.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

/// Half-life of the counts: short enough that a rise shows before its requests have filled
/// the holders, long enough that reports four times a second show as a rate.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Decayed count below which an adapter is removed.
const MIN_COUNT: f64 = 0.01;

/// Interval at which all adapters are checked for removal.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(2);

/// Weight of the newest value in the time that requests stay, with ten values a second.
const STAY_WEIGHT: f64 = 0.1;

/// Decayed count of all requests from which they show how long they stay.
const MIN_REQUESTS: f64 = 5.0;

/// Upper bound of the time that requests stay, in seconds.
const MAX_STAY: f64 = 10.0;

/// Decaying counts of requests by adapter.
#[derive(Debug, Default)]
pub(super) struct Rates {
    counts: BTreeMap<String, Count>,
    all: Count,
    /// Requests that run in the zones of this owner divided by the rate of all, in seconds.
    stay: Option<f64>,
    expired: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    at: Time,
}

impl Count {
    fn at(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }

    fn add(&mut self, now: Time, more: f64) {
        *self = Count {
            value: self.at(now) + more,
            at: now,
        };
    }

    fn per_second(&self, now: Time) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

impl Rates {
    /// Counts requests for an adapter.
    pub(super) fn add(&mut self, now: Time, adapter: &str, count: f64) {
        self.all.add(now, count);
        if let Some(known) = self.counts.get_mut(adapter) {
            known.add(now, count);
            return;
        }
        let new = Count {
            value: count,
            at: now,
        };
        self.counts.insert(adapter.to_owned(), new);
    }

    /// Updates the time that requests stay, while `running` of them run.
    pub(super) fn observe_stay(&mut self, now: Time, running: f64) {
        if self.all.at(now) < MIN_REQUESTS || running <= 0.0 {
            return;
        }
        let seen = (running / self.all.per_second(now)).min(MAX_STAY);
        let old = self.stay.unwrap_or(seen);
        self.stay = Some(old + (seen - old) * STAY_WEIGHT);
    }

    /// Returns how many requests for an adapter are expected to run at its present rate;
    /// zero while it isn't known how long they stay.
    pub(super) fn requests(&self, now: Time, adapter: &str) -> f64 {
        let rate = self.counts.get(adapter);
        let rate = rate.map_or(0.0, |count| count.per_second(now));
        rate * self.stay.unwrap_or(0.0)
    }

    /// Removes adapters that have not been requested for some seconds.
    pub(super) fn expire(&mut self, now: Time) {
        if now.since(self.expired) < EXPIRE_INTERVAL {
            return;
        }
        self.expired = now;
        self.counts.retain(|_, count| count.at(now) > MIN_COUNT);
    }
}
