//! Callers' keys, of which the text holds only hashes.

use std::collections::BTreeMap;

use base::BrandName;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::model::Model;

/// Hex digits of a hash.
const HASH_DIGITS: usize = 64;

/// Says that a text is no key's hash.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a key is written as its SHA-256: {HASH_DIGITS} hex digits, not {0} characters of text")]
pub struct BadHash(usize);

/// Hashes a caller's key as the text writes it.
#[must_use]
pub fn key_hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Reads a key's hash from hex digits.
///
/// # Errors
///
/// Fails on anything but 64 hex digits. The message doesn't repeat the text:
/// it may be a key that was pasted by mistake.
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

/// Finds the brand that a key names.
///
/// The search compares hashes, not keys: how long it takes depends on the
/// hash of what a caller sent, which tells nothing about how near that was to
/// a real key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys(BTreeMap<[u8; 32], BrandName>);

impl Keys {
    /// Returns the brand that the key with this hash names.
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
