//! How often an instance may send a request once more.
//!
//! A target in trouble gets the same requests again and again from everybody
//! if each instance repeats as it likes. All instances share one budget for
//! each service: a part of its requests, and a fixed number beside it. Nobody
//! counts for all: each instance keeps to the part that its own requests give
//! it and to an even share of the fixed number, so the sum holds even while
//! instances can't hear each other.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

/// The shared budget of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, over all instances.
    pub extra: f64,
    /// The time over which both count.
    pub window: Duration,
}

/// Part of the budget that is used. Windows of others begin at other moments,
/// and a request counts for its window only once it has arrived.
const USED: f64 = 0.7;

/// Requests and repeats of this instance, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Makes the budget of an instance that has sent nothing yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Budget {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Counts a caller's request for `service`.
    pub fn request(&mut self, now: Time, service: &str) {
        let counts = self.of(now, service);
        counts.requests.push_back(now);
    }

    /// Tells whether one more send is allowed while `instances` share the
    /// budget, and counts it if so.
    pub fn repeat(&mut self, now: Time, service: &str, instances: u32) -> bool {
        let limits = self.limits;
        let counts = self.of(now, service);
        let own = limits.ratio * counts.requests.len() as f64;
        let share = limits.extra / f64::from(instances.max(1));
        if counts.repeats.len() as f64 + 1.0 > USED * (own + share) {
            base::hit!(repeat_over_budget);
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn of(&mut self, now: Time, service: &str) -> &mut Counts {
        let window = self.limits.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        let counts = self.services.get_mut(service).expect("was just inserted");
        for times in [&mut counts.requests, &mut counts.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
        counts
    }
}
