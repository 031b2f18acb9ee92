//! Names that operators assign and that are sent between processes.
//!
//! A name is short, lower case and safe in URL paths, headers and log lines, so that it
//! never needs to be escaped.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a name, in bytes; long enough for a UUID with a prefix.
pub const NAME_MAX: usize = 64;

/// Why a string is not a valid name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadName {
    /// The string is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The string has more than [`NAME_MAX`] bytes.
    #[error("a name has at most {NAME_MAX} bytes, this one has {0}")]
    TooLong(usize),
    /// The string contains a character other than `a-z`, `0-9`, `-` and `_`, or begins
    /// with `-` or `_`.
    #[error(
        "`{0}` may not stand in a name: only a-z, 0-9, `-` and `_` may, and a letter or digit first"
    )]
    BadChar(char),
}

/// A hash value that is the same on all machines and in all releases.
pub type StableHash = u64;

/// Hashes `parts` in the same way on all machines and in all releases, as rendezvous
/// hashing requires.
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
        let alphanumeric = c.is_ascii_lowercase() || c.is_ascii_digit();
        let separator = i > 0 && matches!(c, '-' | '_');
        if !alphanumeric && !separator {
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
    /// Name of a brand: an audience or organisation with its own assistants.
    BrandName
    /// Name of an adapter; unique across all brands.
    AdapterName
    /// Name of a service of a brand.
    ServiceName
    /// Name of a target: an engine, or a replica of a plain service (one without
    /// adapters).
    TargetName
    /// Name of a pool: a set of interchangeable targets.
    PoolName
    /// Name of a base model.
    BaseName
    /// Name of an instance: a machine that runs processes of the serving layer itself.
    InstanceName
    /// Name of an availability zone.
    ZoneName
    /// Id of a change by an operator, by which a retry of the change is recognised.
    ChangeId
}
