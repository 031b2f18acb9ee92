//! The part of a limit that an instance keeps to while the zone owner doesn't answer.
//!
//! Pattern: many instances lose the zone owner at the same moment, and each takes one
//! request for its part of the limit. Each begins at a random point of its interval
//! instead, so that together they send no more than the limit.

use std::time::Duration;

use base::{RequestRate, StableHash, Time};

use crate::target_limit::{EXTRA, SHORTEST_WAIT, WINDOW, send_rate};

/// Number of points at which an interval may begin.
const POINTS: u64 = 1 << 16;

/// An even part of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Alone {
    /// Requests that may be sent, below one at first.
    level: f64,
    filled: Time,
}

impl Alone {
    pub(super) fn new(now: Time, draw: StableHash) -> Self {
        let point = draw % POINTS;
        Alone {
            level: point as f64 / POINTS as f64,
            filled: now,
        }
    }

    /// Takes one request out of this instance's part, as one of `instances`, that has sent
    /// `recent` requests within the window of the limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the next one may be sent.
    pub(super) fn take(
        &mut self,
        now: Time,
        limit: RequestRate,
        instances: u32,
        recent: u32,
    ) -> Result<(), Duration> {
        let instances = f64::from(instances);
        let rate = send_rate(limit) / instances;
        let part = rate * WINDOW.as_secs_f64() + EXTRA / instances;
        let refill = rate * now.since(self.filled).as_secs_f64();
        self.level = (self.level + refill).min(1.0);
        self.filled = now;
        let used_up = f64::from(recent) >= part.max(1.0);
        if self.level >= 1.0 && !used_up {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((1.0 - self.level) / rate);
        Err(wait.max(SHORTEST_WAIT))
    }
}
