//! Demand that fades: how often each adapter was asked for lately.

use base::{AdapterNo, Time};

/// Over how many seconds the quick count fades to 1/e: it follows a sudden
/// shift within a few requests.
const QUICK_SECS: f32 = 10.0;

/// Over how many seconds the slow count fades to 1/e: it tells an adapter
/// that is idle for a minute from one that nobody uses.
const SLOW_SECS: f32 = 600.0;

/// Bits of a [`Time`] dropped from a stamp: 65 ms steps, 8 years in 32 bits.
const STAMP_SHIFT: u32 = 16;

/// Seconds in one step of a stamp.
const STEP_SECS: f32 = 0.065_536;

/// A pair of counts that fade; 12 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faded {
    quick: f32,
    slow: f32,
    stamp: u32,
}

impl Faded {
    /// Adds `weight` at `now`.
    pub fn add(&mut self, now: Time, weight: f32) {
        let stamp = stamp(now);
        let secs = self.idle_secs(stamp);
        if secs > 0.0 {
            self.quick *= (-secs / QUICK_SECS).exp();
            self.slow *= (-secs / SLOW_SECS).exp();
        }
        self.quick += weight;
        self.slow += weight;
        self.stamp = stamp;
    }

    /// Returns the rate over the last seconds, in requests a second.
    #[must_use]
    pub fn quick(&self, now: Time) -> f32 {
        let secs = self.idle_secs(stamp(now));
        self.quick * (-secs / QUICK_SECS).exp() / QUICK_SECS
    }

    /// Returns the rate over the last minutes, in requests a second.
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

/// The demand for each adapter, by its number.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: Vec<Faded>,
}

impl Demand {
    /// Makes a demand of nothing.
    #[must_use]
    pub fn new() -> Self {
        Demand::default()
    }

    /// Makes room for `adapter`, so that noting it does not allocate.
    pub fn reserve(&mut self, adapter: AdapterNo) {
        let len = adapter.0 as usize + 1;
        if self.counts.len() < len {
            self.counts.resize(len, Faded::default());
        }
    }

    /// Notes requests of `weight` for `adapter`.
    pub fn note(&mut self, now: Time, adapter: AdapterNo, weight: f32) {
        self.reserve(adapter);
        self.counts[adapter.0 as usize].add(now, weight);
    }

    /// Returns the counts of `adapter`.
    #[must_use]
    pub fn get(&self, adapter: AdapterNo) -> Faded {
        let found = self.counts.get(adapter.0 as usize);
        found.copied().unwrap_or_default()
    }
}
