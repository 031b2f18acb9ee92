//! Decides which requests are let in while a service has too little room.
//!
//! Each entry instance has a [`Gate`] that counts what callers offer, and refuses a part of
//! it while a service is short. It reports its counts to the control instances; each of
//! these adds up in a [`Tally`] what all instances report, and tells it with the room of the
//! zones that it owns. [`parts`] divides the room among accounts and ranks.
//!
//! While a service has room, everything is let in.

mod gate;
mod share;
mod tally;

use std::time::Duration;

use base::AccountName;

pub use crate::{
    gate::{Ask, Change, Gate, Refused, Shortage},
    share::{Demand, parts},
    tally::Tally,
};

/// Time over which rates are averaged.
const RATE_MEMORY: Duration = Duration::from_secs(1);

/// Part of its places that a service has taken from which on rates are told.
const TOLD_FROM: f64 = 0.5;

/// Who offers work: an account, if there is one, and a rank.
type Offerer = (Option<AccountName>, u8);
