//! The process's monotonic clock, as the decisions see it.

use std::time::Duration;

use base::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A monotonic clock that starts when it is made and goes on while the machine
/// is suspended.
///
/// Failure: a machine is suspended for seconds while its process holds a lease.
/// The usual steady clock stands still meanwhile, so the process would go on as
/// leader or owner after others have taken over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
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

    /// Returns the time now.
    #[must_use]
    pub fn now(self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Returns the moment to sleep until for `at`.
    #[must_use]
    pub fn instant(self, at: Time) -> Instant {
        Instant::now() + at.since(self.now())
    }
}

/// Returns the time since the machine started.
///
/// # Panics
///
/// Panics where the system has no such clock; every Linux does.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux counts the time since boot");
    Duration::from(now)
}
