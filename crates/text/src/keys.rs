//! Callers' keys. The text contains only their hashes.

use std::collections::BTreeMap;

use base::BrandName;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::model::Model;

/// Hex digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// A string that is not the hash of a key; holds its length in characters.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a key must be given as its SHA-256: {HASH_DIGITS} hex digits, not {0} characters of text")]
pub struct BadHash(usize);

/// Returns the hash under which the text lists a caller's key.
#[must_use]
pub fn key_hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses a key's hash from hex digits.
///
/// # Errors
///
/// Fails on anything but 64 hex digits. The message doesn't repeat the
/// input, which may be a key that was pasted by mistake.
pub fn parse_hash(raw: &str) -> Result<[u8; 32], BadHash> {
    let bad = || BadHash(raw.chars().count());
    if raw.len() != HASH_DIGITS || !raw.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(bad());
    }
    let mut hash = [0; 32];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&raw[2 * i..2 * i + 2], 16).map_err(|_| bad())?;
    }
    Ok(hash)
}

/// Maps the hashes of keys to brands.
///
/// The lookup compares hashes, not keys, so its timing depends only on the hash of
/// what a caller sent and doesn't reveal how similar that was to a valid key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys(BTreeMap<[u8; 32], BrandName>);

impl Keys {
    /// Returns the brand of the key with this hash.
    #[must_use]
    pub fn brand(&self, hash: &[u8; 32]) -> Option<&BrandName> {
        self.0.get(hash)
    }
}

impl From<&Model> for Keys {
    fn from(model: &Model) -> Self {
        let brands = model.brands.iter();
        let pairs =
            brands.flat_map(|(name, brand)| brand.keys.iter().map(|key| (*key, name.clone())));
        Keys(pairs.collect())
    }
}
