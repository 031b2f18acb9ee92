//! Retry budget, shared by all entry instances.
//!
//! If each instance retries at will, a failing target gets the same requests over and
//! over from all of them. So all instances share one budget per service: a fraction of
//! its requests, plus a fixed number. No instance counts for all: each limits itself to
//! the fraction of its own requests and an even share of the fixed number, so the sum
//! holds even while instances can't reach each other.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

/// The budget of one service, shared by all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, over all instances.
    pub extra: f64,
    /// The sliding window over which both are counted.
    pub window: Duration,
}

/// Fraction of the budget that is used. The rest is margin, since the windows of other
/// instances start at other moments, and a request counts for its window only once it has
/// arrived.
const USABLE: f64 = 0.7;

/// Requests and retries of this instance, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Budget {
    /// Creates the budget of an instance that has sent nothing yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Budget {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Counts a caller's request for `service`.
    pub fn request(&mut self, now: Time, service: &str) {
        let counts = self.counts(now, service);
        counts.requests.push_back(now);
    }

    /// Returns whether one more retry is allowed while `instances` share the budget, and
    /// counts it if so.
    pub fn try_retry(&mut self, now: Time, service: &str, instances: u32) -> bool {
        let limits = self.limits;
        let counts = self.counts(now, service);
        let own = limits.ratio * counts.requests.len() as f64;
        let share = limits.extra / f64::from(instances.max(1));
        if counts.retries.len() as f64 + 1.0 > USABLE * (own + share) {
            base::hit!(retry_over_budget);
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn counts(&mut self, now: Time, service: &str) -> &mut Counts {
        let window = self.limits.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        let counts = self.services.get_mut(service).expect("was just inserted");
        for times in [&mut counts.requests, &mut counts.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
        counts
    }
}
