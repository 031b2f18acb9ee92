//! Exponential backoff of failed loads, per adapter version and engine.

use std::{collections::BTreeMap, time::Duration};

use base::{AdapterKey, TargetNo, Time};

/// Wait after the first failure; doubled by each further one.
const WAIT_FIRST: Duration = Duration::from_secs(1);

/// Longest wait: a repaired adapter is loaded within five minutes.
const WAIT_MAX: Duration = Duration::from_secs(300);

/// Number of doublings after which [`WAIT_MAX`] has been reached, so that the power can't
/// overflow.
const DOUBLINGS_MAX: u32 = 9;

/// Loads that failed, by engine and adapter version.
///
/// Guards against one broken adapter that is loaded over and over: it would use up the
/// store's budget and delay all other loads. Only loads of that adapter version on that
/// engine wait; a success resets the wait.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failed: BTreeMap<(TargetNo, AdapterKey), (u32, Time)>,
}

impl Backoff {
    /// Records a failed load and returns when it may be tried again.
    pub fn failed(&mut self, now: Time, target: TargetNo, key: AdapterKey) -> Time {
        let entry = self.failed.entry((target, key)).or_insert((0, now));
        let wait = WAIT_MAX.min(WAIT_FIRST * 2u32.pow(entry.0.min(DOUBLINGS_MAX)));
        *entry = (entry.0 + 1, now + wait);
        entry.1
    }

    /// Records a successful load.
    pub fn succeeded(&mut self, target: TargetNo, key: AdapterKey) {
        self.failed.remove(&(target, key));
    }

    /// Returns until when the load has to wait, if it has to.
    #[must_use]
    pub fn until(&self, now: Time, target: TargetNo, key: AdapterKey) -> Option<Time> {
        let (_, until) = self.failed.get(&(target, key))?;
        (*until > now).then_some(*until)
    }

    /// Removes all entries of an engine that this instance no longer owns.
    pub fn forget(&mut self, target: TargetNo) {
        self.failed.retain(|(t, _), _| *t != target);
    }
}
