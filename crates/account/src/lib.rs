//! Client accounts: which account holds a caller's key, and how much it may use.
//!
//! A [`Directory`] comes with each configuration and maps keys to accounts. It keeps
//! digests of keys only, so that no log line or error can show a key.
//!
//! A limit holds over all entry instances together. Each has a [`Meter`] that decides
//! about its own callers at once. It reports what it has admitted to the control
//! instances; each of these adds up in a [`Tally`] what all instances report and tells
//! every one what the others have used.

mod directory;
mod key;
mod meter;
mod rate;
mod tally;

use std::time::Duration;

/// Time over which the demand is averaged by which instances share a limit: an instance
/// has some requests of an account in it.
const DEMAND_MEMORY: Duration = Duration::from_secs(3);

pub use crate::{
    directory::{Account, BadAccounts, Directory, Limit, RawAccount, Unit},
    key::KeyDigest,
    meter::{Denied, Left, Meter, Slack},
    rate::Rate,
    tally::Tally,
};
