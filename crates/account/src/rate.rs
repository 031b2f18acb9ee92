//! A rate that follows what is counted and fades.

use std::time::Duration;

use base::Time;

/// Units a second, weighted by how recent they are.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Time in which it fades to a third.
    memory: Duration,
    per_s: f64,
    at: Time,
}

impl Rate {
    /// Creates a rate of zero that fades to a third within `memory`.
    #[must_use]
    pub const fn new(memory: Duration) -> Self {
        Rate {
            memory,
            per_s: 0.0,
            at: Time::ZERO,
        }
    }

    /// Counts some units, which came in since the last count.
    pub fn add(&mut self, now: Time, units: f64) {
        let faded = self.at(now);
        self.per_s = (faded + units / self.memory.as_secs_f64()).max(0.0);
        self.at = self.at.max(now);
    }

    /// Takes the rate as of `then` for that at `now`: nothing could be counted between.
    pub(crate) fn hold(&mut self, then: Time, now: Time) {
        self.per_s = self.at(then);
        self.at = now;
    }

    /// Sets the rate at `now`.
    pub(crate) fn set(&mut self, now: Time, per_s: f64) {
        self.per_s = per_s;
        self.at = now;
    }

    /// Returns the rate at `now`, if nothing was counted since.
    #[must_use]
    pub fn at(&self, now: Time) -> f64 {
        self.per_s * fading(now.since(self.at), self.memory)
    }
}

/// Returns the part of a rate that is left after some time.
pub(crate) fn fading(gone: Duration, memory: Duration) -> f64 {
    (-gone.as_secs_f64() / memory.as_secs_f64()).exp()
}
