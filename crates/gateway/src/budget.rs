//! Retry budget, shared by all entry instances.
//!
//! If each instance retries at will, a failing target gets the same requests over and
//! over from all of them. So all instances share one budget per service: a fraction of
//! its requests, plus a fixed number. No instance counts for all: each limits itself to
//! the fraction of its own requests and an even share of the fixed number, so the sum
//! holds even while instances can't reach each other.
//!
//! What an instance has sent counts for a whole window, also after it has ended. So the
//! fixed number is divided by all instances that were heard from for many windows
//! ([`Sharers`]), and an instance takes its share a window after its start at the earliest.
//!
//! Where routes have tight goals, instances lend what they don't need to those that run out,
//! by way of a control instance ([`Broker`]).

mod broker;
mod lending;
mod sharers;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Seed, Time};

use self::lending::{LIFE, lent_for};
pub use self::{broker::Broker, sharers::Sharers};

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

/// Part of what an instance may send again up to which retries are allowed that aren't needed
/// yet; the rest is left to failures.
const EARLY: f64 = 0.5;

/// How long the largest number of instances that was told stays in use: longer than zones
/// are cut off from each other.
const TOLD_MAX_AGE: Duration = Duration::from_mins(10);

/// Why a retry was or wasn't allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests of this instance within the window.
    pub requests: usize,
    /// Its retries within the window, without this one and those that it borrowed.
    pub retries: usize,
    /// Retries that it has lent, and that others may have sent within the window.
    pub lent: usize,
    /// Its share of the fixed number.
    pub share: f64,
    /// Whether one more retry was allowed.
    pub allowed: bool,
}

/// Requests and retries of this instance, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    started: Time,
    /// Part of a retry from which on it is allowed, above 0 and at most 1. It differs between
    /// instances, so that what they leave unused of a retry each adds up to nothing.
    rounding: f64,
    /// Whether instances lend retries to each other.
    tight: bool,
    /// Numbers of instances that were told: later ones are smaller.
    told: VecDeque<(Time, u32)>,
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// When retries were needed lately, where instances lend them.
    needs: VecDeque<Time>,
    /// When how many retries were lent.
    lent: VecDeque<(Time, usize)>,
    /// Until when how many retries of others may be sent.
    borrowed: Vec<(Time, usize)>,
}

impl Budget {
    /// Creates the budget of an instance that starts now. `seed` has to differ between
    /// instances.
    #[must_use]
    pub fn new(limits: Limits, now: Time, seed: Seed) -> Self {
        Budget {
            limits,
            started: now,
            rounding: (seed.0 as f64 + 1.0) / (u64::MAX as f64 + 1.0),
            tight: false,
            told: VecDeque::new(),
            services: BTreeMap::new(),
        }
    }

    /// Notes how many instances share the budget, as a control instance has counted them.
    pub fn told(&mut self, now: Time, instances: u32) {
        while self.told.back().is_some_and(|(_, old)| *old <= instances) {
            self.told.pop_back();
        }
        self.told.push_back((now, instances));
        let old = |(at, _): &(Time, u32)| now.since(*at) > TOLD_MAX_AGE;
        while self.told.front().is_some_and(old) {
            self.told.pop_front();
        }
    }

    /// Returns the number of instances that the fixed number is divided by, if one was told.
    #[must_use]
    pub fn instances(&self) -> Option<u32> {
        self.told.front().map(|(_, instances)| *instances)
    }

    /// Counts a caller's request for `service`.
    pub fn request(&mut self, now: Time, service: &str) {
        let counts = self.counts(now, service);
        counts.requests.push_back(now);
    }

    /// Returns whether one more retry is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Time, service: &str) -> Allowance {
        let tight = self.tight;
        let counts = self.counts(now, service);
        if tight {
            counts.needs.push_back(now);
        }
        if counts.use_borrowed() {
            let (requests, retries) = (counts.requests.len(), counts.retries.len());
            let lent = counts.lent();
            return Allowance {
                requests,
                retries,
                lent,
                share: self.share(now),
                allowed: true,
            };
        }
        self.try_own(now, service, 1.0)
    }

    /// Returns whether one more retry is allowed that isn't needed yet, such as one beside a
    /// slow answer, and counts it if so. It leaves half of what this instance may send by
    /// itself to failures.
    pub fn try_early(&mut self, now: Time, service: &str) -> Allowance {
        self.try_own(now, service, EARLY)
    }

    /// Returns whether one more retry is within `part` of what this instance may send by
    /// itself, and counts it if so.
    fn try_own(&mut self, now: Time, service: &str, part: f64) -> Allowance {
        let (usable, used) = self.usable(now, service);
        let (share, rounding) = (self.share(now), self.rounding);
        let counts = self.counts(now, service);
        let (requests, retries) = (counts.requests.len(), counts.retries.len());
        let lent = counts.lent();
        let allowed = used as f64 + rounding <= part * usable;
        if allowed {
            counts.retries.push_back(now);
        } else {
            base::hit!(retry_over_budget);
        }
        Allowance {
            requests,
            retries,
            lent,
            share,
            allowed,
        }
    }

    /// Returns what may be used of this instance's part of the budget, and what it has sent
    /// and lent of that.
    fn usable(&mut self, now: Time, service: &str) -> (f64, usize) {
        let (ratio, share) = (self.limits.ratio, self.share(now));
        let counts = self.counts(now, service);
        let usable = USABLE * (ratio * counts.requests.len() as f64 + share);
        (usable, counts.retries.len() + counts.lent())
    }

    /// Returns this instance's share of the fixed number. What it sent before a restart
    /// still counts until a window after that, and what it lent for as long as that may be used.
    fn share(&self, now: Time) -> f64 {
        let lent_for = if self.tight {
            lent_for()
        } else {
            Duration::ZERO
        };
        match self.instances() {
            Some(instances) if now.since(self.started) >= self.limits.window + lent_for => {
                self.limits.extra / f64::from(instances.max(1))
            }
            _ => 0.0,
        }
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
        counts.expire(now, window);
        counts
    }
}
