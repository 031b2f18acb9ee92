//! What an entry instance knows of the limits that targets name.

use std::{collections::BTreeMap, time::Duration};

use base::{RequestRate, Time};

/// Interval at which the requests that were sent to a limited target are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// A change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target names this limit now.
    Named(RequestRate),
    /// The target no longer names a limit.
    Ended,
}

/// The requests that this instance has sent to a limited target in some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The limit that the target names.
    pub limit: RequestRate,
    /// Number of requests.
    pub sent: u32,
    /// The time in which they were sent.
    pub during: Duration,
}

/// The limits of targets, as one entry instance knows them.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    targets: BTreeMap<String, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    limit: RequestRate,
    /// Requests sent there since they were last reported.
    sent: u32,
    reported: Time,
}

impl KnownLimits {
    /// Takes over what an answer of a target says: its limit, or that it has none. Returns
    /// what has changed.
    pub fn seen(&mut self, now: Time, id: &str, limit: Option<RequestRate>) -> Option<Change> {
        let Some(limit) = limit else {
            return self.targets.remove(id).map(|_| Change::Ended);
        };
        let before = self.targets.get_mut(id);
        if let Some(known) = before {
            let changed = known.limit != limit;
            known.limit = limit;
            return changed.then_some(Change::Named(limit));
        }
        let known = Known {
            limit,
            sent: 0,
            reported: now,
        };
        self.targets.insert(id.to_owned(), known);
        Some(Change::Named(limit))
    }

    /// Counts a request that is sent to a target. Returns what was sent there lately, if
    /// the target is limited and that is due to be reported.
    pub fn sent(&mut self, now: Time, id: &str) -> Option<Traffic> {
        let known = self.targets.get_mut(id)?;
        known.sent += 1;
        let during = now.since(known.reported);
        if during < REPORT_INTERVAL {
            return None;
        }
        known.reported = now;
        Some(Traffic {
            limit: known.limit,
            sent: std::mem::take(&mut known.sent),
            during,
        })
    }
}
