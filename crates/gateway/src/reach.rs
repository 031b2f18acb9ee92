//! Which connections to targets an entry instance gets.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::Time;

/// Least time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that an entry instance has tried to make.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    counted: Counted,
}

/// Connections tried since the last summary.
#[derive(Clone, Debug, Default)]
struct Counted {
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

impl Reach {
    /// Notes that a connection was made.
    pub fn connected(&mut self) {
        self.counted.made += 1;
    }

    /// Notes that no connection to a target could be made. Returns a summary once a second.
    pub fn failed(&mut self, now: Time, target: SocketAddr) -> Option<Summary> {
        let counted = &mut self.counted;
        counted.failed += 1;
        counted.targets.insert(target);
        let during = now.since(counted.since);
        if during < SUMMARY_INTERVAL {
            return None;
        }
        let counted = std::mem::take(counted);
        self.counted.since = now;
        Some(Summary {
            made: counted.made,
            failed: counted.failed,
            targets: counted.targets.len(),
            during,
        })
    }
}
