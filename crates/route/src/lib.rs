//! Which engine runs a request, and who waits.
//!
//! [`Router`] is the entry instance's side: it knows which targets exist, what
//! they hold and how busy they are, and chooses one for each request.
//! [`Scheduler`] is the owner's side: it queues requests before the engines that
//! this instance owns, shares them between classes and brands, and orders
//! loads. Both take time as an argument and draw from a seed.

mod ask;
mod draw;
mod news;
mod retry;
mod router;
mod scheduler;
mod scheduler_io;

pub use crate::{
    ask::{Ask, Choice, PoolNo, ZoneNo},
    news::{News, Report, Residents, Target},
    retry::{Attempts, RetryBudget},
    router::{Candidate, Explanation, Router, Standing},
    scheduler::Scheduler,
    scheduler_io::{BrandShare, Engine, Input, LoadEnd, Ordering, Output},
};
