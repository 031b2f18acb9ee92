//! How urgent a request is, and whether it may be repeated.

use std::{fmt, str::FromStr};

use thiserror::Error;

/// Says that a text names no class.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no class: critical, live or batch")]
pub struct BadClass(String);

crate::value! {
    /// How urgent a request is; the greater class goes first.
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Overnight work with a time to finish by.
        Batch,
        /// Somebody waits for the answer.
        Live,
        /// Listing pages and receipts: always answered, and first.
        Critical,
    }

    /// Whether a request may run more than once.
    #[serde(rename_all = "lowercase")]
    pub enum Mark {
        /// A second run does no harm.
        Repeatable,
        /// A second run does harm: at most one, ever.
        Once,
    }
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Critical, Class::Live, Class::Batch];

    /// Returns the class as written in texts and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Batch => "batch",
            Class::Live => "live",
            Class::Critical => "critical",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = BadClass;

    fn from_str(raw: &str) -> Result<Self, BadClass> {
        let found = Class::ALL.into_iter().find(|class| class.as_str() == raw);
        found.ok_or_else(|| BadClass(raw.to_owned()))
    }
}
