//! Who is there: the platform's lagging list, heartbeats, and what is seen of
//! targets.
//!
//! Neither source is enough. The list names what is gone and misses what has
//! come; a heartbeat says nothing about a planned stop before it begins. An
//! observation of a target counts only if nothing has overtaken it since it
//! began, see [`Watch`].

mod instances;
mod targets;

pub use crate::{
    instances::{Instances, Standing},
    targets::{Epoch, Look, Overtaken, Phase, Target, Targets, Watch},
};
