//! What the shells of both daemons share: start and end of a process, its
//! clock, its signals and its links to others.
//!
//! It decides nothing; it only keeps the two shells from telling the same
//! story twice.

mod clock;
mod folder;
mod links;
mod pending;
mod start;

pub use crate::{
    clock::Clock,
    folder::{report_fate, start_writer, wall_clock},
    links::{Links, lock},
    pending::Pending,
    start::{Listeners, listen, main, stop_signal},
};
