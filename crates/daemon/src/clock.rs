//! The process's monotonic clock, as the node sees it.

use std::time::Duration;

use base::Time;
use tokio::time::Instant;

/// A monotonic clock that starts when it is made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Returns the moment to sleep until for `at`.
    #[must_use]
    pub fn instant(self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.0)
    }
}
