//! Counts of connections to targets, for the log.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::Time;

/// Least time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Connections tried since the last summary.
#[derive(Clone, Debug, Default)]
pub(super) struct Counted {
    since: Time,
    made: u32,
    failed: u32,
    targets: BTreeSet<SocketAddr>,
}

/// Connections tried in some time in which at least one failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Connections that were made.
    pub made: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// Number of targets at which an attempt failed.
    pub targets: usize,
    /// The time in which they were counted.
    pub during: Duration,
}

impl Counted {
    pub(super) fn made(&mut self) {
        self.made += 1;
    }

    /// Counts an attempt that failed. Returns a summary once a second.
    pub(super) fn failed(&mut self, now: Time, target: SocketAddr) -> Option<Summary> {
        self.failed += 1;
        self.targets.insert(target);
        let during = now.since(self.since);
        if during < SUMMARY_INTERVAL {
            return None;
        }
        let counted = std::mem::take(self);
        self.since = now;
        Some(Summary {
            made: counted.made,
            failed: counted.failed,
            targets: counted.targets.len(),
            during,
        })
    }
}
