//! Urgency of a request, and whether it may be sent more than once.

use std::{fmt, str::FromStr};

use thiserror::Error;

/// A string is not the name of a class.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a class; expected critical, live or batch")]
pub struct BadClass(String);

crate::value! {
    /// Urgency of a request; greater classes go first.
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Work without a waiting user, such as overnight jobs with a deadline.
        Batch,
        /// A user waits for the answer.
        Live,
        /// Most urgent, such as listing pages and receipts: answered before all else, also
        /// under overload.
        Critical,
    }

    /// Whether a request may run more than once.
    #[serde(rename_all = "lowercase")]
    pub enum Mark {
        /// Running it more than once is harmless.
        Repeatable,
        /// A marked request: it must run at most once.
        Once,
    }
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Critical, Class::Live, Class::Batch];

    /// Returns the class as written in configuration texts and headers.
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
