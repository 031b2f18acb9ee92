//! What the shells of both daemons share: start and end of a process, its
//! clock, its signals and its links to others.
//!
//! It decides nothing; it only keeps the two shells from telling the same
//! story twice.

mod clock;
mod links;
mod start;

pub use crate::{
    clock::Clock,
    links::{Links, lock},
    start::{Listeners, main, stop_signal},
};
