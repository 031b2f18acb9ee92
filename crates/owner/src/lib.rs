//! Decides which entry instance may send requests and orders to an engine.
//!
//! An engine has one owner at a time, an entry instance of its availability zone. The
//! replicated log holds the [`Table`] of owners. The [`Grantor`] of the leading control
//! instance assigns engines and renews leases in its replies to heartbeats. Each entry
//! instance consults its [`Lessee`] immediately before every request and order.
//! docs/design/ownership.md compares the alternatives and lists the cases that remain
//! possible.

mod grantor;
mod lessee;
mod store;
mod table;

use std::time::Duration;

use base::DriftMargin;

pub use crate::{
    grantor::{Grant, Grantor},
    lessee::{Input, Lessee, Order, Output, Ownership},
    store::{fixed_share, shares},
    table::{Change, Engine, Former, InstanceId, Member, Table},
};

/// Time limits that the grantor and all lessees must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Interval between two heartbeats of an entry instance.
    pub heartbeat: Duration,
    /// How long a lease is valid, counted from when the heartbeat was sent.
    pub lease: Duration,
    /// How long an owner that can't reach the leader may go on with the confirmation of
    /// its zone peers alone. An instance that such an owner can't know of waits as long
    /// before it gets an engine.
    pub leaderless: Duration,
    /// Upper limit for the delivery of an order: an unload is sent only if the lease
    /// stays valid for at least this long.
    pub delivery: Duration,
    /// How far the rates of two clocks may differ.
    pub margin: DriftMargin,
}

impl Default for Config {
    /// The lease survives one lost heartbeat and ends after three. Ten minutes without
    /// leader outlast most network partitions; they also bound how long a replacement
    /// under a new name waits in a zone whose only instance crashed.
    fn default() -> Self {
        Config {
            heartbeat: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            leaderless: Duration::from_secs(600),
            delivery: Duration::from_millis(500),
            margin: DriftMargin::DEFAULT,
        }
    }
}
