//! Simulates the load and routing decisions in virtual time, from a seed, and compares
//! them with baselines.
//!
//! The [`workload`]s follow the sizes of the two deployments. [`world`] feeds the same
//! arrivals and faults to every [`Policy`], with the same simulated engines and weight
//! store; [`figures`] defines the metrics of a run. [`worlds`] holds synthetic workloads
//! with sizes that no deployment has. [`bound()`] computes an offline upper bound that
//! not even a clairvoyant policy exceeds.

mod baseline;
mod bound;
mod bound_gap;
mod comparison;
mod engine;
mod ours;
mod policy;
mod store;

pub mod figures;
pub mod workload;
pub mod world;
pub mod worlds;

pub use crate::{
    bound::bound,
    bound_gap::{BOUND_GAP_HEAD, BoundGap},
    comparison::{Comparison, compare, mean_stall_ratio},
    policy::{Evict, Placement, Policy},
};
