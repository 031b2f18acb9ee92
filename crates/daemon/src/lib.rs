//! Parts that the I/O shells of the daemons share: start and stop of the process, its
//! clock, its signals and its links to other processes.
//!
//! This crate makes no decisions; they are made by the state machines that the shells
//! drive.

mod capacity;
mod clock;
mod crash;
mod folder;
mod links;
mod pending;
mod start;

pub use crate::{
    capacity::{Capacity, answers, descriptors},
    clock::Clock,
    crash::{Fate, log_quarantine},
    folder::{log_folder_state, start_writer, wall_clock},
    links::{Links, lock},
    pending::Pending,
    start::{Listeners, listen, main, stop_signal},
};
