//! Whether a restarted entry instance knows yet what it can serve.
//!
//! Failure: all processes are killed at once. An entry instance is back before
//! the owners of the zones have read what their targets are. It knows of no
//! target and sent 170 callers away within 300 ms, who were back only after
//! 700 ms. Until every zone has been heard of, knowing nothing means that it has
//! to wait, not that there is nothing.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use wire::fleet::Target;

/// After so long a zone that is still silent is cut off or has no targets:
/// control instances start, elect a leader and read their lists within a second.
const LONGEST: Duration = Duration::from_secs(3);

/// The zones that a restarted instance hasn't heard of.
#[derive(Clone, Debug)]
pub struct Settle {
    until: Time,
    silent: BTreeSet<String>,
}

impl Settle {
    /// Begins with all `zones` silent.
    #[must_use]
    pub fn new(now: Time, zones: &[String]) -> Self {
        Settle {
            until: now + LONGEST,
            silent: zones.iter().cloned().collect(),
        }
    }

    /// Takes what an owner says of its zones. One that has just become the owner
    /// names none of their targets yet.
    pub fn heard(&mut self, targets: &[Target]) {
        for target in targets {
            self.silent.remove(&target.zone);
        }
    }

    /// Tells whether what isn't known may still be told.
    #[must_use]
    pub fn pending(&self, now: Time) -> bool {
        now < self.until && !self.silent.is_empty()
    }
}
