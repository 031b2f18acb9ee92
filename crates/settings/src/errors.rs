//! Errors in the settings, and their messages.

use std::fmt;

use thiserror::Error;

/// Exit code of a daemon whose settings are wrong; command line tools commonly use 2 for
/// wrong usage.
const EXIT_USAGE: u8 = 2;

/// One wrong setting.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("--{name} ({env}): {what}")]
pub struct BadSetting {
    /// The flag without its dashes.
    pub name: String,
    /// The environment variable of the same name.
    pub env: String,
    /// What is wrong.
    pub what: String,
}

/// Why the settings could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Errors {
    /// The user asked for help or the version, which is not a failure.
    Help(String),
    /// The command line has a flag that doesn't exist or lacks its value.
    Usage(String),
    /// Every wrong setting, in the order of the settings table.
    Bad(Vec<BadSetting>),
}

impl Errors {
    /// Returns the exit code of the daemon.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Errors::Help(_) => 0,
            Errors::Usage(_) | Errors::Bad(_) => EXIT_USAGE,
        }
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Errors::Help(text) | Errors::Usage(text) => f.write_str(text.trim_end()),
            Errors::Bad(errors) => {
                write!(f, "{} wrong setting(s):", errors.len())?;
                errors.iter().try_for_each(|err| write!(f, "\n  {err}"))
            }
        }
    }
}

impl std::error::Error for Errors {}
