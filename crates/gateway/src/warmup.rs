//! Tells whether a restarted entry instance already knows which targets it can use.
//!
//! Failure: all processes are killed at once. An entry instance is back before the zone
//! owners have read the lists of their targets. As it knew of no target, it rejected 170
//! callers within 300 ms, although the targets were known only 700 ms later. So until
//! every zone has been heard from, an instance without a target has to wait and must not
//! conclude that there is none.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use wire::fleet::Target;

/// A zone not heard from within this time is cut off or has no targets: control instances
/// start, elect a leader and read their lists within a second.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The zones that a restarted entry instance has not heard from.
#[derive(Clone, Debug)]
pub struct Warmup {
    until: Time,
    unheard: BTreeSet<String>,
}

impl Warmup {
    /// Starts with no zone of `zones` heard from.
    #[must_use]
    pub fn new(now: Time, zones: &[String]) -> Self {
        Warmup {
            until: now + MAX_WAIT,
            unheard: zones.iter().cloned().collect(),
        }
    }

    /// Applies the targets that a zone owner reports. An instance that has just become
    /// the owner reports none yet, so only a reported target counts as hearing from its
    /// zone.
    pub fn heard(&mut self, targets: &[Target]) {
        for target in targets {
            self.unheard.remove(&target.zone);
        }
    }

    /// Returns whether targets may still become known that are not known now.
    #[must_use]
    pub fn pending(&self, now: Time) -> bool {
        now < self.until && !self.unheard.is_empty()
    }
}
