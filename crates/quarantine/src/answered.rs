//! The requests that were answered in full lately.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use base::{Fingerprint, Time};

/// How long an answer is remembered.
const ANSWERED_TIME: Duration = Duration::from_secs(60);

/// Most answers that are remembered.
const MAX_ANSWERED: usize = 4_096;

/// Requests that were answered in full lately. Only looked up, never iterated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answered {
    order: VecDeque<(Fingerprint, Time)>,
    set: HashSet<Fingerprint>,
}

impl Answered {
    pub(crate) fn add(&mut self, now: Time, fingerprint: Fingerprint) {
        self.expire(now);
        if !self.set.insert(fingerprint) {
            return;
        }
        self.order.push_back((fingerprint, now));
        if self.order.len() > MAX_ANSWERED {
            self.remove_oldest();
        }
    }

    pub(crate) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.set.contains(fingerprint)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        let old = |at: &Time| now.since(*at) >= ANSWERED_TIME;
        while self.order.front().is_some_and(|(_, at)| old(at)) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((fingerprint, _)) = self.order.pop_front() {
            self.set.remove(&fingerprint);
        }
    }
}
