//! Decisions of a deployment that forwards by host and path, without clock,
//! socket or thread.
//!
//! An entry instance finds the route ([`table`]), chooses a target ([`view`])
//! and asks whether it may send once more ([`budget`]). The leader of the
//! control instances is the one [`holder`] that gives orders to engines: it
//! gathers what all entry instances run and miss, and decides which adapter
//! goes where.

pub mod budget;
pub mod holder;
pub mod table;
pub mod view;
