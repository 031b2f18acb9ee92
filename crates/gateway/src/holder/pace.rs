//! How long loads from the store take, and how many of them run at full speed.
//!
//! Pattern: a store of unknown speed, shared by holders that don't hear each
//! other in time. Up to some number of loads at once each takes the same time;
//! beyond it all become slower, and nothing more is loaded for it. Whoever is
//! told too short a time sends its request too early and is refused, which
//! costs a repeat from the budget of all. So the holder takes the word of those
//! that were told: the time follows the quantile of loads that are done in time,
//! and the number at once grows by steps and shrinks by a part, as congestion
//! windows do.

use std::time::Duration;

use base::Time;

/// Part of the loads that may take longer than told. Each costs a refused
/// request; a smaller part makes all others wait for the slowest.
const LATE_PART: f64 = 0.04;

/// Added to the expected time for each load that took longer, in seconds. A
/// store that is twice as slow as expected is known after some fifteen loads.
const STEP: f64 = 0.016;

/// Bounds of the expected time, in parts of the time that was expected first.
const TIMES: (f64, f64) = (0.1, 8.0);

/// Part of the number at once that is kept when a load took longer.
const SHRINK: f64 = 0.9;

/// Added to the number at once for each load that was done in time; a window
/// of eight loads of a quarter of a second grows by one in about two seconds.
const GROW: f64 = 0.03;

/// Fewest and most loads at once that are tried, for each zone.
const WINDOW_EACH: (f64, f64) = (1.0, 64.0);

/// What a holder has learned of the store.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    first: f64,
    time: f64,
    window: f64,
    shrunk: Time,
    zones: f64,
}

impl Pace {
    /// Expects loads to take `time`, and `window` of them to run at full speed
    /// over all `zones`.
    pub(super) fn new(time: Duration, window: usize, zones: usize) -> Self {
        Pace {
            first: time.as_secs_f64(),
            time: time.as_secs_f64(),
            window: window as f64,
            shrunk: Time::ZERO,
            zones: zones.max(1) as f64,
        }
    }

    /// Returns the time that a load is expected to take.
    pub(super) fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time)
    }

    /// Returns how many loads run at full speed over all zones.
    pub(super) fn window(&self) -> f64 {
        self.window
    }

    /// Expects at least so many loads at full speed, until the first one took
    /// longer than told.
    pub(super) fn at_least(&mut self, window: f64) {
        if self.shrunk == Time::ZERO {
            self.window = self.window.max(window);
        }
    }

    /// Notes a load that was done when it was said to be.
    pub(super) fn in_time(&mut self) {
        self.time -= STEP * LATE_PART / (1.0 - LATE_PART);
        self.time = self.time.max(self.first * TIMES.0);
        self.window = (self.window + GROW).min(self.zones * WINDOW_EACH.1);
    }

    /// Notes a load that took longer than was said. Loads that run at the same
    /// time suffer from the same cause, so the number at once shrinks once for
    /// all of them.
    pub(super) fn late(&mut self, now: Time) {
        self.time = (self.time + STEP).min(self.first * TIMES.1);
        if now.since(self.shrunk) < self.time() {
            return;
        }
        base::hit!(store_slower);
        self.shrunk = now;
        self.window = (self.window * SHRINK).max(self.zones * WINDOW_EACH.0);
    }
}
