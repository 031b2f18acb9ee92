//! Fault injection for tests of the replicated log: fake network, disks and clocks.
//!
//! A [`Cluster`] drives the production replicas in virtual time from one seed. Its
//! [`History`] checks every output and panics at the first violated invariant. Scenarios
//! are written in Rhai ([`script`]); [`random`] generates faults from a seed.

mod cluster;
mod disk;
mod history;
mod net;
pub mod random;
pub mod script;

pub use crate::{
    cluster::{Cluster, ClusterConfig},
    disk::FakeDisk,
    history::History,
    net::Net,
};
