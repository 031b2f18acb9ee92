//! Which requests may still be sent to a target while their instance is being stopped.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

/// Runs of a route that are remembered.
const RUNS_KEPT: usize = 16;

/// Most routes that are remembered; those of a configuration are fewer.
const ROUTES_MAX: usize = 4_096;

/// How long the requests of each route have run lately.
#[derive(Clone, Debug, Default)]
pub struct RunTimes(BTreeMap<String, VecDeque<Duration>>);

impl RunTimes {
    /// Notes the time from a request's send to the end of its answer.
    pub fn note(&mut self, route: &str, ran: Duration) {
        if !self.0.contains_key(route) && self.0.len() >= ROUTES_MAX {
            self.0.clear();
        }
        let times = self.0.entry(route.to_owned()).or_default();
        if times.len() == RUNS_KEPT {
            times.pop_front();
        }
        times.push_back(ran);
    }

    /// Returns the time that half of the last requests took at most; none if there were none.
    #[must_use]
    pub fn typical(&self, route: &str) -> Option<Duration> {
        let mut times: Vec<_> = self.0.get(route)?.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len().checked_sub(1)? / 2).copied()
    }
}

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Until when new connections are taken.
    pub taken_until: Time,
    /// When what still runs is ended.
    pub ends: Time,
}

impl Stop {
    /// Returns whether a request may be sent whose caller waits until `deadline`, and whose
    /// like typically run for so long. Where that isn't known, the time that is left for new
    /// connections has to be enough.
    #[must_use]
    pub fn may_begin(&self, now: Time, deadline: Time, typical: Option<Duration>) -> bool {
        let is_answered = deadline <= self.ends;
        is_answered
            || match typical {
                Some(typical) => now + typical <= self.ends,
                None => now <= self.taken_until,
            }
    }
}
