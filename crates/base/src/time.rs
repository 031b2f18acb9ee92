//! Time as it is handed in: microseconds on one process's monotonic clock.
//!
//! Two processes' values must never be compared. What travels between
//! processes is a [`Duration`], and the receiver adds it to its own clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A moment on one process's monotonic clock, in microseconds since an
/// arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);

    /// Makes a moment `ms` milliseconds after the start of the clock.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Time(ms * 1_000)
    }

    /// Returns whole milliseconds since the start of the clock.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, d: Duration) -> Time {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}

/// How far two monotonic clocks may run apart, as parts in a thousand.
///
/// Whoever grants a lease waits longer by this margin than the holder may use
/// it, so that a holder with a slow clock has stopped before the next begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftMargin(pub u32);

impl DriftMargin {
    /// The margin assumed everywhere: 5% covers any working quartz by far and
    /// leaves room for a slewed clock.
    pub const DEFAULT: DriftMargin = DriftMargin(50);

    /// Returns how long the grantor of a lease of `d` waits before the next.
    #[must_use]
    pub fn stretch(self, d: Duration) -> Duration {
        d * (1_000 + self.0) / 1_000
    }
}
