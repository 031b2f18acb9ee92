//! Which engine probably has the beginning of a prompt in its prefix cache.

use std::time::Duration;

use base::{TargetNo, Time};

/// Number of entries, a power of two. A colliding entry overwrites the older one; engines
/// evict cached prefixes without notice, so a table that loses entries is good enough.
const ENTRIES: usize = 4096;

/// Age after which a prefix is assumed to be evicted.
const EXPIRY: Duration = Duration::from_secs(120);

/// A fixed-size table of prefix hashes and the engines that computed them last.
#[derive(Clone, Debug)]
pub(super) struct Prefixes {
    entries: Vec<(u64, TargetNo, Time)>,
}

impl Prefixes {
    pub(super) fn new() -> Self {
        Prefixes {
            entries: vec![(0, TargetNo(0), Time::ZERO); ENTRIES],
        }
    }

    /// Records that `target` computes the prefix now or reports it as cached.
    pub(super) fn note(&mut self, now: Time, prefix: u64, target: TargetNo) {
        if prefix != 0 {
            self.entries[index(prefix)] = (prefix, target, now);
        }
    }

    pub(super) fn get(&self, now: Time, prefix: u64) -> Option<TargetNo> {
        let (found, target, at) = self.entries[index(prefix)];
        (prefix != 0 && found == prefix && now.since(at) < EXPIRY).then_some(target)
    }

    /// Removes all entries of a target whose cache is gone.
    pub(super) fn forget(&mut self, target: TargetNo) {
        for entry in &mut self.entries {
            if entry.1 == target {
                entry.0 = 0;
            }
        }
    }
}

fn index(prefix: u64) -> usize {
    usize::try_from(prefix % ENTRIES as u64).unwrap_or(0)
}
