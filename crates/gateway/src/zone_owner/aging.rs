//! Aging: prevents starvation of rarely requested adapters.
//!
//! Pattern: starvation under a ranking by demand. Rarely requested adapters come last in
//! each plan; their callers are told to come back or leave, and start at the end of the
//! queue again. So the waiting time of an adapter is kept across its callers, and every
//! fourth load goes to the adapter that has waited longest. If the store loads `r`
//! adapters a second and `n` wait, a caller that keeps asking is served after `4 n / r`
//! seconds at the latest.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

/// How long the waiting time of an adapter is kept after its last request: callers of a
/// rare adapter come some seconds apart.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// One in this many loads goes to the adapter that has waited longest.
const OLDEST_EVERY: u64 = 4;

/// Waiting times of adapters.
#[derive(Debug, Default)]
pub(super) struct Aging {
    waiting: BTreeMap<String, Waiting>,
    /// Number of loads ordered so far.
    loads: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// When its first caller asked for it.
    since: Time,
    /// When it was last requested.
    last_asked: Time,
}

impl Aging {
    /// Notes that an adapter is requested and no engine holds it.
    pub(super) fn requested(&mut self, now: Time, adapter: &str) {
        if let Some(waiting) = self.waiting.get_mut(adapter) {
            waiting.last_asked = now;
            return;
        }
        let waiting = Waiting {
            since: now,
            last_asked: now,
        };
        self.waiting.insert(adapter.to_owned(), waiting);
    }

    /// Notes that a load of the adapter was ordered.
    pub(super) fn ordered(&mut self, adapter: &str) {
        self.loads += 1;
        self.waiting.remove(adapter);
    }

    /// Removes adapters that have not been requested within [`KEEP_TIME`].
    pub(super) fn expire(&mut self, now: Time) {
        self.waiting
            .retain(|_, waiting| now.since(waiting.last_asked) < KEEP_TIME);
    }

    /// Reorders adapters that are ranked by demand so that every fourth one is the one
    /// that has waited longest among the rest.
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
        let mut order = Vec::with_capacity(count);
        while order.len() < count {
            let take_oldest = (self.loads + order.len() as u64) % OLDEST_EVERY == OLDEST_EVERY - 1;
            let free = |adapter: &String| !taken.contains(adapter);
            let next = if take_oldest { oldest.find(free) } else { None };
            let Some(next) = next.or_else(|| ranked.find(free)) else {
                break;
            };
            taken.insert(next.clone());
            order.push(next);
        }
        order
    }
}
