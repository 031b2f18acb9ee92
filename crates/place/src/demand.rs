//! Decaying demand: how often each adapter was requested recently.

use base::{AdapterNo, Time};

/// Time constant of the fast count, in seconds, in which it decays to 1/e: it follows a
/// sudden change within a few requests.
const FAST_SECS: f32 = 10.0;

/// Time constant of the slow count, in seconds, in which it decays to 1/e: it tells an
/// adapter that is idle for a minute from one that nobody uses.
const SLOW_SECS: f32 = 600.0;

/// Low bits of a [`Time`] dropped from a stamp: steps of 65 ms, 8 years in 32 bits.
const STAMP_SHIFT: u32 = 16;

/// Seconds in one step of a stamp.
const STEP_SECS: f32 = 0.065_536;

/// Two exponentially decaying counts of requests. Kept to 12 bytes, since every node has
/// one for each adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    fast: f32,
    slow: f32,
    stamp: u32,
}

impl DecayingRate {
    /// Adds `weight` to both counts at `now`.
    pub fn add(&mut self, now: Time, weight: f32) {
        let stamp = stamp(now);
        let secs = self.idle_secs(stamp);
        if secs > 0.0 {
            self.fast *= (-secs / FAST_SECS).exp();
            self.slow *= (-secs / SLOW_SECS).exp();
        }
        self.fast += weight;
        self.slow += weight;
        self.stamp = stamp;
    }

    /// Returns the rate of the last seconds, in requests a second.
    #[must_use]
    pub fn fast(&self, now: Time) -> f32 {
        let secs = self.idle_secs(stamp(now));
        self.fast * (-secs / FAST_SECS).exp() / FAST_SECS
    }

    /// Returns the rate of the last minutes, in requests a second.
    #[must_use]
    pub fn slow(&self, now: Time) -> f32 {
        let secs = self.idle_secs(stamp(now));
        self.slow * (-secs / SLOW_SECS).exp() / SLOW_SECS
    }

    fn idle_secs(&self, stamp: u32) -> f32 {
        stamp.saturating_sub(self.stamp) as f32 * STEP_SECS
    }
}

fn stamp(now: Time) -> u32 {
    u32::try_from(now.0 >> STAMP_SHIFT).unwrap_or(u32::MAX)
}

/// The demand for each adapter, indexed by adapter number.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: Vec<DecayingRate>,
}

impl Demand {
    /// Creates an empty demand.
    #[must_use]
    pub fn new() -> Self {
        Demand::default()
    }

    /// Allocates the counts of `adapter`, so that [`Demand::note`] doesn't allocate.
    pub fn reserve(&mut self, adapter: AdapterNo) {
        let len = adapter.0 as usize + 1;
        if self.counts.len() < len {
            self.counts.resize(len, DecayingRate::default());
        }
    }

    /// Records requests of total weight `weight` for `adapter`.
    pub fn note(&mut self, now: Time, adapter: AdapterNo, weight: f32) {
        self.reserve(adapter);
        self.counts[adapter.0 as usize].add(now, weight);
    }

    /// Returns the counts of `adapter`; zero if it is unknown.
    #[must_use]
    pub fn get(&self, adapter: AdapterNo) -> DecayingRate {
        let found = self.counts.get(adapter.0 as usize);
        found.copied().unwrap_or_default()
    }
}
