//! The digest of a key.

use std::fmt;

use base::Fingerprint;

/// Separates digests of keys from fingerprints of requests.
const PURPOSE: &[u8] = b"account key";

/// A cryptographic digest of a caller's key.
///
/// Keys are found by their digest: the time of a look-up doesn't tell how much of a
/// guessed key is right. `Debug` shows nothing of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(Fingerprint);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Fingerprint::of(&[PURPOSE, key]))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
