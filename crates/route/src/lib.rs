//! Routing and scheduling: which engine runs a request, and which requests wait.
//!
//! [`Router`] runs on every entry instance: it keeps a directory of the targets, the
//! adapters resident on them and their load, and chooses a target for each request.
//! [`Scheduler`] runs on the instance that owns an engine: it queues requests for the
//! engines that this instance owns, divides their capacity between classes and brands,
//! and orders loads and unloads. Both are deterministic: time is an argument, and random
//! numbers come from a seed.

mod retry;
mod rng;
mod router;
mod scheduler;
mod scheduler_io;
mod spec;
mod update;

pub use crate::{
    retry::{Attempts, RetryBudget},
    router::{Candidate, Eligibility, Explanation, Router},
    scheduler::Scheduler,
    scheduler_io::{BrandShare, Engine, Input, LoadEnd, LoadPolicy, Output},
    spec::{Choice, PoolNo, RequestSpec, ZoneNo},
    update::{Report, Residents, RouterUpdate, Target},
};
