//! Whose turn it is, whatever others are asked for more.
//!
//! Pattern: starvation under a rank by demand. Adapters that are asked for seldom come
//! last in each plan; their callers are told to come back or leave, and begin at the end
//! again. So how long an adapter has waited is remembered between its callers, and each
//! fourth load goes to the one that has waited longest. Where the store brings `r` adapters
//! a second and `n` wait, whoever asks again and again is served after `4 n / r` seconds at
//! the latest.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

/// How long a turn is kept for whoever doesn't ask any more: callers of a rare adapter
/// come some seconds apart.
const KEPT: Duration = Duration::from_secs(10);

/// One in so many loads goes to the adapter that has waited longest.
const ONE_IN: u64 = 4;

/// How long adapters have waited.
#[derive(Debug, Default)]
pub(super) struct Turns {
    waiting: BTreeMap<String, Waiting>,
    /// Loads given.
    given: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Since when, by its first caller.
    since: Time,
    /// When it was last asked for.
    asked: Time,
}

impl Turns {
    /// Notes that an adapter is asked for and nobody holds it.
    pub(super) fn asked(&mut self, now: Time, adapter: &str) {
        if let Some(waiting) = self.waiting.get_mut(adapter) {
            waiting.asked = now;
            return;
        }
        let waiting = Waiting {
            since: now,
            asked: now,
        };
        self.waiting.insert(adapter.to_owned(), waiting);
    }

    /// Notes that an adapter is on its way.
    pub(super) fn served(&mut self, adapter: &str) {
        self.given += 1;
        self.waiting.remove(adapter);
    }

    /// Drops the turns of adapters that nobody asks for any more.
    pub(super) fn forget(&mut self, now: Time) {
        self.waiting
            .retain(|_, waiting| now.since(waiting.asked) < KEPT);
    }

    /// Orders adapters that are ranked by demand so that each fourth is the one that has
    /// waited longest among the rest.
    pub(super) fn order(&self, ranked: Vec<String>) -> Vec<String> {
        let since = |adapter: &String| self.waiting.get(adapter).map(|w| w.since);
        let mut oldest: Vec<_> = ranked
            .iter()
            .filter_map(|a| Some((since(a)?, a.clone())))
            .collect();
        oldest.sort();
        let mut oldest = oldest.into_iter().map(|(_, adapter)| adapter);
        let count = ranked.len();
        let mut ranked = ranked.into_iter();
        let mut taken = BTreeSet::new();
        let mut ordered = Vec::with_capacity(count);
        while ordered.len() < count {
            let turn = (self.given + ordered.len() as u64) % ONE_IN == ONE_IN - 1;
            let free = |adapter: &String| !taken.contains(adapter);
            let next = if turn { oldest.find(free) } else { None };
            let Some(next) = next.or_else(|| ranked.find(free)) else {
                break;
            };
            taken.insert(next.clone());
            ordered.push(next);
        }
        ordered
    }
}
