//! The operators' configuration text ("the text"): from TOML to a checked model.
//!
//! `Model::try_from(text)` works in two passes. The first parses the TOML into raw
//! types that keep the position of each value; the second checks these and builds
//! the [`Model`]. Both continue after an error, so that all errors are reported
//! together, each with its line and column.

mod check;
mod diff;
mod errors;
mod fault;
mod keys;
mod order;
mod query;
mod raw;
mod read;

pub mod model;

pub use crate::{
    diff::{Change, ChangeKind, Diff, ItemKind, diff},
    errors::{Error, Errors},
    fault::Fault,
    keys::{BadHash, Keys, key_hash, parse_hash},
    model::Model,
    order::Cycle,
};
