//! Membership: which entry instances and targets exist, from the platform's lagging list,
//! from heartbeats and from observations of targets.
//!
//! No source suffices alone. The list tells what has been removed but lags behind what
//! has started; a heartbeat doesn't announce a planned shutdown before it begins. An
//! observation of a target counts only if the target did not change after the observation
//! began; see [`Observation`].

mod instances;
mod targets;

pub use crate::{
    instances::{Instances, Liveness},
    targets::{Epoch, Observation, Observed, Outdated, Phase, Target, Targets},
};
