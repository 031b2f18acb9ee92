//! Which engine has a prompt's head in its cache, as far as is known.

use std::time::Duration;

use base::{TargetNo, Time};

/// Entries; a power of two. Older ones are overwritten: a table that forgets
/// suits a cache that evicts without saying so.
const SIZE: usize = 4096;

/// After so long nothing is expected to be cached still.
const TRUSTED: Duration = Duration::from_secs(120);

/// A table of prompt heads of fixed size.
#[derive(Clone, Debug)]
pub(super) struct Prefixes {
    entries: Vec<(u64, TargetNo, Time)>,
}

impl Prefixes {
    pub(super) fn new() -> Self {
        Prefixes {
            entries: vec![(0, TargetNo(0), Time::ZERO); SIZE],
        }
    }

    /// Notes that `target` has computed the head, or reports it.
    pub(super) fn note(&mut self, now: Time, prefix: u64, target: TargetNo) {
        if prefix != 0 {
            self.entries[place(prefix)] = (prefix, target, now);
        }
    }

    pub(super) fn get(&self, now: Time, prefix: u64) -> Option<TargetNo> {
        let (found, target, at) = self.entries[place(prefix)];
        (prefix != 0 && found == prefix && now.since(at) < TRUSTED).then_some(target)
    }

    /// Forgets a target whose cache is gone.
    pub(super) fn forget(&mut self, target: TargetNo) {
        for entry in &mut self.entries {
            if entry.1 == target {
                entry.0 = 0;
            }
        }
    }
}

fn place(prefix: u64) -> usize {
    usize::try_from(prefix % SIZE as u64).unwrap_or(0)
}
