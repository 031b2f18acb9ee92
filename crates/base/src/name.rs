//! Names that operators write and that travel between processes.
//!
//! A name is short, lower case and safe in a URL path, a header and a log
//! line, so no later code needs to escape it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest accepted name, in bytes; long enough for a UUID with a prefix.
pub const NAME_MAX: usize = 64;

/// Says why a text is no name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadName {
    /// The text has no characters.
    #[error("a name may not be empty")]
    Empty,
    /// The text has more than [`NAME_MAX`] bytes.
    #[error("a name has at most {NAME_MAX} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside `a-z`, `0-9`, `-`, `_`.
    #[error(
        "`{0}` may not stand in a name: only a-z, 0-9, `-` and `_` may, and a letter or digit first"
    )]
    BadChar(char),
}

/// A hash that is the same on every machine and in every release.
pub type StableHash = u64;

/// Hashes `parts` the same way everywhere; the basis of rendezvous choices.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> StableHash {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

fn check_name(raw: &str) -> Result<(), BadName> {
    if raw.is_empty() {
        return Err(BadName::Empty);
    }
    if raw.len() > NAME_MAX {
        return Err(BadName::TooLong(raw.len()));
    }
    for (i, c) in raw.chars().enumerate() {
        let plain = c.is_ascii_lowercase() || c.is_ascii_digit();
        let inner = i > 0 && matches!(c, '-' | '_');
        if !plain && !inner {
            return Err(BadName::BadChar(c));
        }
    }
    Ok(())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(try_from = "SmolStr", into = "SmolStr")]
            pub struct $name(SmolStr);

            impl $name {
                /// Returns the name as written.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<&str> for $name {
                type Error = BadName;

                fn try_from(raw: &str) -> Result<Self, BadName> {
                    check_name(raw)?;
                    Ok($name(SmolStr::new(raw)))
                }
            }

            impl TryFrom<SmolStr> for $name {
                type Error = BadName;

                fn try_from(raw: SmolStr) -> Result<Self, BadName> {
                    check_name(&raw)?;
                    Ok($name(raw))
                }
            }

            impl From<$name> for SmolStr {
                fn from(name: $name) -> SmolStr {
                    name.0
                }
            }

            impl FromStr for $name {
                type Err = BadName;

                fn from_str(raw: &str) -> Result<Self, BadName> {
                    $name::try_from(raw)
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

names! {
    /// Names a brand: one audience or organisation with its own assistants.
    BrandName
    /// Names an adapter; unique over all brands.
    AdapterName
    /// Names a service of a brand.
    ServiceName
    /// Names a target: an engine or a plain service's replica.
    TargetName
    /// Names a pool: targets that are alike and stand in for each other.
    PoolName
    /// Names a base model.
    BaseName
    /// Names an instance: one machine that runs the system's own processes.
    InstanceName
    /// Names an availability zone.
    ZoneName
    /// Names one change by an operator, so that a resend is recognised.
    ChangeId
}
