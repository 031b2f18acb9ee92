//! Sizes, rates and counters as types of their own.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Says why a text is no number of the wanted kind.
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
                /// Returns the plain number.
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
    /// Tokens of a prompt or an answer.
    Tokens(u32), "tokens"
    /// Events a second.
    PerSecond(u32), "events a second"
    /// The version of an adapter; operators count it up.
    Version(u32), "an adapter's version"
    /// The version of the operators' text; the first accepted one is 1, and 0
    /// means that none has been accepted yet.
    TextVersion(u64), "the text's version"
    /// A fencing number; every new owner of an engine has a greater one.
    Fence(u64), "a fencing number"
    /// Tells two lives of one process or target apart; it never repeats.
    Incarnation(u64), "an incarnation"
    /// Seed of all that is random in a run.
    Seed(u64), "a seed"
}
