//! What is loaded where: demand that fades, home engines, the slots of one
//! engine, the store's budget, and failed loads backed off.
//!
//! Everything here is a part of `route`: the router asks for demand and homes,
//! the scheduler for slots, budget and backoff.

mod backoff;
mod budget;
mod demand;
mod home;
mod slots;

pub use crate::{
    backoff::Backoff,
    budget::Budget,
    demand::{Demand, Faded},
    home::home_rank,
    slots::{Slot, SlotState, Slots},
};
