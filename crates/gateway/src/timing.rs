//! Intervals and time-outs on the way of the platform's list of targets to entry instances.
//!
//! How long a target that leaves still gets requests is a sum of them. The sums are in
//! docs/CAPACITY.md, and a test holds them to the bounds.

use std::time::Duration;

/// Interval at which a zone's owner reads the platform's list of it.
pub const LIST_INTERVAL: Duration = Duration::from_millis(600);

/// Time-out of such a read.
pub const OWNER_LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time-out of a read of a list that others wait for, and of a question to a control instance
/// for one.
pub const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// Age up to which a control instance gives a list to others without reading it again.
pub const LIST_REUSE: Duration = Duration::from_millis(400);

/// Interval between two exchanges with one control instance. A change of the
/// configuration has to be in force within two seconds, so that several exchanges may be
/// lost.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(250);

/// Interval while a control instance doesn't answer.
pub const SYNC_INTERVAL_UNRESPONSIVE: Duration = Duration::from_millis(300);

/// Time-out of one exchange. A control instance answers within 150 ms at the longest; a
/// message between availability zones takes 2 ms.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(400);

/// A control instance that has not been heard from for this long is not relied on to give
/// orders.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time until an entry instance looks again for lists that are old.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest such time.
pub const LOOK_PAUSE: Duration = Duration::from_millis(10);
