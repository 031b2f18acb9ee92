//! Limits that targets name: the requests a second that a target in need takes from all
//! entry instances together, for as long as its answers say so.
//!
//! An entry instance keeps what it has heard of them in [`KnownLimits`].

mod known;

pub use self::known::{Change, KnownLimits, Traffic};
