//! Limits that targets name: the requests a second that a target in need takes from all
//! entry instances together, for as long as its answers say so.
//!
//! An entry instance keeps what it has heard in [`KnownLimits`] and tells the zone owner
//! at once; the zone owner tells all others. From then on a request needs a permit of the
//! zone owner's [`Granter`], which counts for all instances together. Permits are asked
//! for one at a time, since a limit may be less than one request a second for each
//! instance. An instance that doesn't reach the zone owner keeps to an even part of the
//! limit.
//!
//! Pattern: a target names a limit while it still works on what it was sent before, and
//! instances that haven't heard of it go on sending. What they sent counts, so that the
//! first permits wait until little of it is left.

mod granter;
mod known;

use std::time::Duration;

use base::RequestRate;

pub use self::{
    granter::Granter,
    known::{Access, KnownLimits, Standing, Traffic},
};

/// Window over which requests to a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests within a window that a target takes beyond its limit.
const EXTRA: f64 = 5.0;

/// Longest time between two requests to a limited target: its answer is what tells that
/// the limit has ended.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Time for whose requests an unused limit is kept.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Shortest time after which a permit is asked for again.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// Longest time after which a permit is asked for again.
const LONGEST_WAIT: Duration = Duration::from_secs(4);

/// Part of a target's slots in use, from which it takes no requests over from targets that
/// name limits: the rest is for its own.
pub(crate) const ROOM: f64 = 0.8;

/// A change of what is known of a target's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The target, by id.
    pub target: String,
    /// The limit; `None` if the target no longer names one.
    pub limit: Option<RequestRate>,
    /// Time since the answer that said so, if that is known.
    pub age: Option<Duration>,
}

/// Returns the requests a second to send at the most.
fn send_rate(limit: RequestRate) -> f64 {
    1.0 / limit.interval(PROBE_INTERVAL).as_secs_f64()
}

/// Returns the most requests that a limit allows at once.
fn burst(rate: f64) -> f64 {
    1.0 + rate * BURST_TIME.as_secs_f64()
}
