//! Uses of the retry budget that yield to failures.

use base::Time;

use super::{Budget, USABLE};

/// Part of what may be used that is left to failures.
const LEFT_TO_FAILURES: f64 = 0.5;

impl Budget {
    /// Returns whether a repeat is allowed that no failure calls for, and counts it if so: at
    /// most half of what may be used is used then.
    pub fn try_spare(&mut self, now: Time, service: &str) -> bool {
        let ratio = self.limits.ratio;
        let share = self.share(now);
        let counts = self.counts(now, service);
        let own = ratio * counts.requests.len() as f64;
        let most = USABLE * (own + share) * (1.0 - LEFT_TO_FAILURES);
        let allowed = (counts.retries.len() + 1) as f64 <= most;
        if allowed {
            counts.retries.push_back(now);
        }
        allowed
    }
}
