//! The version of a target's software.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a software version, in bytes.
const SOFTWARE_MAX: usize = 128;

/// The version of the software that a target runs, as the platform names it. Versions have
/// no order: they are the same or they aren't.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct SoftwareVersion(SmolStr);

/// Why a string is not a software version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadSoftwareVersion {
    /// The string is empty.
    #[error("a software version may not be empty")]
    Empty,
    /// The string is too long.
    #[error("a software version has at most {SOFTWARE_MAX} bytes, this one has {0}")]
    TooLong(usize),
}

impl SoftwareVersion {
    /// Returns the version as written.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<SmolStr> for SoftwareVersion {
    type Error = BadSoftwareVersion;

    fn try_from(raw: SmolStr) -> Result<Self, BadSoftwareVersion> {
        if raw.is_empty() {
            return Err(BadSoftwareVersion::Empty);
        }
        if raw.len() > SOFTWARE_MAX {
            return Err(BadSoftwareVersion::TooLong(raw.len()));
        }
        Ok(SoftwareVersion(raw))
    }
}

impl From<SoftwareVersion> for SmolStr {
    fn from(version: SoftwareVersion) -> SmolStr {
        version.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = BadSoftwareVersion;

    fn from_str(raw: &str) -> Result<Self, BadSoftwareVersion> {
        SoftwareVersion::try_from(SmolStr::new(raw))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
