//! Measures the load and routing decisions in virtual time, from a seed,
//! against baselines.
//!
//! The [`workload`]s follow the sizes of the two deployments. [`world`] feeds
//! the same arrivals and faults to every [`Policy`], with the same fakes of
//! engine and weight store; [`figures`] says what came of it. [`worlds`] are
//! those that no deployment has. [`bound()`] says what nobody can exceed, not
//! even knowing all that will come.

mod baseline;
mod bound;
mod engine;
mod ours;
mod policy;
mod standing;
mod store;
mod verdict;

pub mod figures;
pub mod workload;
pub mod world;
pub mod worlds;

pub use crate::{
    bound::bound,
    policy::{Evict, Policy, Spread},
    standing::{STANDINGS, Standing},
    verdict::{Comparison, compare, mean_stalls},
};
