//! How many entry instances share the retry budget, as a control instance counts them.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Time};

/// How long an instance counts after it was last heard from: longer than zones are cut off
/// from each other. Counting one that is gone makes the shares of the others smaller.
const COUNTED_FOR: Duration = Duration::from_mins(10);

/// Time with a leader after which all entry instances in reach have been heard from: they
/// exchange twice a second, and some restart at the same moment as this instance.
const COUNTING_TIME: Duration = Duration::from_secs(2);

/// The entry instances that a control instance has heard from.
#[derive(Clone, Debug, Default)]
pub struct Sharers {
    heard: BTreeMap<InstanceName, Time>,
    leader_since: Option<Time>,
    complete: bool,
}

impl Sharers {
    /// Notes that an entry instance was heard from.
    pub fn heard(&mut self, now: Time, instance: &InstanceName) {
        match self.heard.get_mut(instance) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(instance.clone(), now);
            }
        }
    }

    /// Notes whether the replicated log has a leader. An instance that knows none may have
    /// restarted in a zone that is cut off, and hears from a part of the instances only.
    pub fn leader(&mut self, now: Time, known: bool) {
        if !known {
            self.leader_since = None;
            return;
        }
        let since = *self.leader_since.get_or_insert(now);
        self.complete |= now.since(since) >= COUNTING_TIME;
        self.heard.retain(|_, at| now.since(*at) < COUNTED_FOR);
    }

    /// Returns the number of instances, once all in reach have been heard from.
    #[must_use]
    pub fn count(&self) -> Option<u32> {
        let count = u32::try_from(self.heard.len()).unwrap_or(u32::MAX);
        self.complete.then_some(count)
    }
}
