//! The name of a client account.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of the name of an account, in bytes.
const LEN_MAX: usize = 256;

/// Name of a client account: whoever holds some keys and is counted as one. It is sent to
/// targets in a header, so that it has visible ASCII characters only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct AccountName(SmolStr);

/// Error for a string that is no name of an account.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the name of an account has 1 to {LEN_MAX} visible ASCII characters")]
pub struct BadAccountName;

impl AccountName {
    /// Returns the name as written.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<SmolStr> for AccountName {
    type Error = BadAccountName;

    fn try_from(raw: SmolStr) -> Result<Self, BadAccountName> {
        let fits = !raw.is_empty() && raw.len() <= LEN_MAX;
        let visible = raw.bytes().all(|b| b.is_ascii_graphic());
        if fits && visible {
            Ok(AccountName(raw))
        } else {
            Err(BadAccountName)
        }
    }
}

impl TryFrom<&str> for AccountName {
    type Error = BadAccountName;

    fn try_from(raw: &str) -> Result<Self, BadAccountName> {
        AccountName::try_from(SmolStr::new(raw))
    }
}

impl FromStr for AccountName {
    type Err = BadAccountName;

    fn from_str(raw: &str) -> Result<Self, BadAccountName> {
        AccountName::try_from(raw)
    }
}

impl From<AccountName> for SmolStr {
    fn from(name: AccountName) -> SmolStr {
        name.0
    }
}

impl fmt::Display for AccountName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
