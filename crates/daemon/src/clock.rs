//! The monotonic clock that gives the node and the control instance their time.

use std::time::Duration;

use base::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A monotonic clock that starts at zero when it is created and keeps running while the
/// machine is suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension. A machine that is suspended for seconds
/// while its process holds a lease would then wake up with a lease that looks valid, and
/// the process would act as leader or owner after another one has taken over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time from the machine's boot to the start of this clock.
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            start: since_boot(),
        }
    }

    /// Returns the current time of this clock.
    #[must_use]
    pub fn now(self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Converts `at` to the [`Instant`] that tokio's timers need.
    #[must_use]
    pub fn instant(self, at: Time) -> Instant {
        Instant::now() + at.since(self.now())
    }
}

/// Returns the time since the machine's boot.
///
/// # Panics
///
/// Panics if the system has no `CLOCK_BOOTTIME`; every Linux has one.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
    Duration::from(now)
}
