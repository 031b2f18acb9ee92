//! Newtypes for sizes, rates, versions and counters.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A string is not a valid number of the expected unit.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{raw}` is not a number of {unit}: {source}")]
pub struct BadNumber {
    raw: String,
    unit: &'static str,
    source: ParseIntError,
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $unit:literal)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                Serialize, Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl $name {
                /// Returns the inner number.
                #[must_use]
                pub fn get(self) -> $inner {
                    self.0
                }

                /// Returns the number after this one.
                #[must_use]
                pub fn next(self) -> Self {
                    $name(self.0 + 1)
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    fmt::Display::fmt(&self.0, f)
                }
            }

            impl FromStr for $name {
                type Err = BadNumber;

                fn from_str(raw: &str) -> Result<Self, BadNumber> {
                    match raw.parse() {
                        Ok(n) => Ok($name(n)),
                        Err(source) => {
                            Err(BadNumber { raw: raw.to_owned(), unit: $unit, source })
                        }
                    }
                }
            }
        )+
    };
}

numbers! {
    /// Bytes of memory, disk or network.
    Bytes(u64), "bytes"
    /// Open descriptors of a process: sockets, pipes and files.
    Descriptors(u32), "descriptors"
    /// Tokens of a prompt or an answer.
    Tokens(u32), "tokens"
    /// Events per second.
    PerSecond(u32), "events a second"
    /// The version of an adapter, incremented by operators.
    Version(u32), "an adapter's version"
    /// The version of the operators' configuration text. The first accepted text has
    /// version 1; 0 means that none has been accepted yet.
    TextVersion(u64), "the text's version"
    /// A fencing number. Each new owner of an engine gets a greater one, so that orders of
    /// former owners can be refused.
    Fence(u64), "a fencing number"
    /// Identifies one run of a process or target between its start and its end; never
    /// reused.
    Incarnation(u64), "an incarnation"
    /// Seed of the random number generators of a run.
    Seed(u64), "a seed"
}
