//! The operators' text: from raw TOML to a checked model.
//!
//! `Model::try_from(text)` reads and checks in two passes. The first turns the
//! TOML into raw types that remember where each value stands; the second
//! turns raw types into the [`Model`]. Both go on after an error, so that all
//! errors come out together, each with its line and column.

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
    diff::{Change, Diff, How, What, diff},
    errors::{Error, Errors},
    fault::Fault,
    keys::{BadHash, Keys, key_hash, parse_hash},
    model::Model,
    order::Cycle,
};
