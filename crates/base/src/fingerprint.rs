//! A fingerprint of a request's content, or of a part of its prompt.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a fingerprint, in bytes.
const LEN: usize = 16;

/// First bytes of the fingerprint of a part of a prompt. That of a whole request begins
/// like this once in four billion times.
const PART: [u8; 4] = *b"part";

/// A digest of what a request asks for, the same on all machines and in all releases.
///
/// Two requests with one fingerprint have the same content. It is cryptographic, so that
/// no caller can make a request that is taken for another caller's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LEN]);

/// Error for a string that is not a fingerprint.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a fingerprint has 32 hexadecimal digits, `{0}` is none")]
pub struct BadFingerprint(String);

impl Fingerprint {
    /// Returns the fingerprint of a content in several parts. The same bytes divided into
    /// other parts have another fingerprint.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut short = [0; LEN];
        short.copy_from_slice(&digest[..LEN]);
        Fingerprint(short)
    }

    /// Returns the fingerprint of a part of a prompt, which is never that of a whole request.
    ///
    /// The kind is within the fingerprint, so that messages and log entries that hold one
    /// keep their form.
    #[must_use]
    pub fn of_part(parts: &[&[u8]]) -> Self {
        let Fingerprint(mut bytes) = Fingerprint::of(parts);
        bytes[..PART.len()].copy_from_slice(&PART);
        Fingerprint(bytes)
    }

    /// Returns what it stands for, for logs.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        if self.is_part() { "part" } else { "request" }
    }

    /// Returns whether this is the fingerprint of a part of a prompt.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

impl FromStr for Fingerprint {
    type Err = BadFingerprint;

    fn from_str(raw: &str) -> Result<Self, BadFingerprint> {
        let bad = || BadFingerprint(raw.to_owned());
        if raw.len() != LEN * 2 || !raw.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(bad());
        }
        let mut bytes = [0; LEN];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&raw[at * 2..at * 2 + 2], 16).map_err(|_| bad())?;
        }
        Ok(Fingerprint(bytes))
    }
}
