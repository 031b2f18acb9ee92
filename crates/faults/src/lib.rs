//! Small fakes of network, disk and clock for failure tests of the log.
//!
//! A [`Cluster`] drives real replicas in virtual time from one seed. Its
//! [`History`] looks at every output and panics at the first one that breaks a
//! promise. Scenarios are written in Rhai ([`script`]); [`random`] makes up
//! faults from a seed.

mod cluster;
mod disk;
mod history;
mod net;
pub mod random;
pub mod script;

pub use crate::{
    cluster::{Cluster, Plan},
    disk::FakeDisk,
    history::History,
    net::Net,
};
