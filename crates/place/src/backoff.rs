//! Failed loads backed off per adapter and engine.

use std::{collections::BTreeMap, time::Duration};

use base::{AdapterKey, TargetNo, Time};

/// Wait after the first failure; doubled by each further one.
const FIRST: Duration = Duration::from_secs(1);

/// Longest wait: a repaired adapter is found within five minutes.
const LONGEST: Duration = Duration::from_secs(300);

/// Doublings after which [`LONGEST`] is reached for certain.
const DOUBLINGS_MAX: u32 = 9;

/// Loads that failed, by engine and adapter version.
///
/// Guards against one broken adapter that is loaded over and over: it would
/// eat the store's budget, and everything queued behind would show as load
/// stalls. Only its own loads wait; a success forgets the failures.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failed: BTreeMap<(TargetNo, AdapterKey), (u32, Time)>,
}

impl Backoff {
    /// Notes a failed load; returns when it may be tried again.
    pub fn failed(&mut self, now: Time, target: TargetNo, key: AdapterKey) -> Time {
        let entry = self.failed.entry((target, key)).or_insert((0, now));
        let wait = LONGEST.min(FIRST * 2u32.pow(entry.0.min(DOUBLINGS_MAX)));
        *entry = (entry.0 + 1, now + wait);
        entry.1
    }

    /// Notes a load that succeeded.
    pub fn succeeded(&mut self, target: TargetNo, key: AdapterKey) {
        self.failed.remove(&(target, key));
    }

    /// Returns until when the load has to wait, if it has to.
    #[must_use]
    pub fn until(&self, now: Time, target: TargetNo, key: AdapterKey) -> Option<Time> {
        let (_, until) = self.failed.get(&(target, key))?;
        (*until > now).then_some(*until)
    }

    /// Forgets an engine that this instance no longer owns.
    pub fn forget(&mut self, target: TargetNo) {
        self.failed.retain(|(t, _), _| *t != target);
    }
}
