//! Time on a process's monotonic clock, and the margin for clock drift in leases.
//!
//! Times of two processes must never be compared. Messages between processes contain a
//! [`Duration`], which the receiver adds to the time of its own clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time on one process's monotonic clock, in microseconds since an arbitrary
/// start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);

    /// Returns the time `ms` milliseconds after the start of the clock.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Time(ms * 1_000)
    }

    /// Returns whole milliseconds since the start of the clock.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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

/// Assumed maximum difference between the rates of two monotonic clocks, in thousandths.
///
/// The grantor of a lease waits longer than the lease's duration by this margin before
/// it grants the next one, so that a lessee with a slow clock has stopped by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftMargin(pub u32);

impl DriftMargin {
    /// The margin used throughout: 5% is far more than the drift of any working quartz
    /// clock and leaves room for clocks that are being slewed.
    pub const DEFAULT: DriftMargin = DriftMargin(50);

    /// Returns the time that the grantor of a lease of duration `d` waits before it grants
    /// the next one.
    #[must_use]
    pub fn stretch(self, d: Duration) -> Duration {
        d * (1_000 + self.0) / 1_000
    }
}
