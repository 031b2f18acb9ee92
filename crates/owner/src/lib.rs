//! Who may order an engine.
//!
//! One instance owns an engine at a time. The replicated log holds the
//! [`Table`] of owners; the leader's [`Grantor`] decides who gets what and
//! renews leases by heartbeat; each entry instance asks its [`Holder`]
//! immediately before every request and order. docs/design/ownership.md
//! gives the ways that were weighed and what remains possible.

mod grantor;
mod holder;
mod store;
mod table;

use std::time::Duration;

use base::DriftMargin;

pub use crate::{
    grantor::{Grantor, Part},
    holder::{Holder, Input, Order, Output, Own},
    store::{fixed_share, shares},
    table::{Change, Engine, Former, Life, Member, Table},
};

/// Time constants that holders and the grantor must share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between two beats of an entry instance.
    pub beat: Duration,
    /// How long a lease holds, counted from when the beat was sent.
    pub lease: Duration,
    /// How long an owner without leader may go on by the word of its zone
    /// alone; a newcomer that it can't know of waits as long.
    pub alone: Duration,
    /// How long an order may be on its way: an unload is only sent if the
    /// lease holds for so long after.
    pub flight: Duration,
    /// How far apart clocks may run.
    pub margin: DriftMargin,
}

impl Default for Config {
    /// A lost beat costs nothing, three cost the lease. Ten minutes alone
    /// cover most cuts, and bound how long a replacement under a new name
    /// waits in a zone whose only instance crashed.
    fn default() -> Self {
        Config {
            beat: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            alone: Duration::from_secs(600),
            flight: Duration::from_millis(500),
            margin: DriftMargin::DEFAULT,
        }
    }
}
