//! Building blocks for deciding which adapter is loaded on which engine: decaying demand
//! per adapter, home engines by rendezvous hashing, the adapter slots of one engine, the
//! weight store's budget, and backoff of failed loads.
//!
//! Used by the crate `route`: its router uses demand and home engines, its scheduler uses
//! demand, slots, budget and backoff.

mod backoff;
mod budget;
mod demand;
mod home;
mod slots;

pub use crate::{
    backoff::Backoff,
    budget::Budget,
    demand::{DecayingRate, Demand},
    home::home_rank,
    slots::{Slot, SlotState, Slots},
};
