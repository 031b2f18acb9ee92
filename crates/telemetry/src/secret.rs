//! A value that must not be read in a log, a span or a panic.

use std::fmt;

use serde::{Serialize, Serializer};

/// What stands in place of a secret.
const STARS: &str = "***";

/// Hides a key or a prompt from whoever formats or serialises it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Hides `value`.
    pub fn new(value: T) -> Self {
        Secret(value)
    }

    /// Returns the value, for the one use that needs it.
    pub fn reveal(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(STARS)
    }
}

impl<T> fmt::Display for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(STARS)
    }
}

impl<T> Serialize for Secret<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(STARS)
    }
}
