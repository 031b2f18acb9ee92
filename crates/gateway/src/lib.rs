//! Decisions of a deployment that forwards by host and path, without clock,
//! socket or thread.
//!
//! An entry instance finds the route ([`table`]), chooses a target ([`view`])
//! and asks whether it may send once more ([`budget`]). Newer routes come by
//! [`download`], named versions by [`revisions`]. In each availability
//! zone one control instance is the [`holder`] that gives orders to engines, for
//! as long as its [`tenure`] lasts: it gathers what all entry instances run and
//! miss, and decides which adapter goes where.

pub mod alone;
pub mod budget;
pub mod download;
pub mod holder;
pub mod home;
pub mod revisions;
pub mod settle;
pub mod table;
pub mod tenure;
pub mod view;
