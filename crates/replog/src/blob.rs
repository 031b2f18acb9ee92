//! Immutable bytes that are shared instead of copied.

use std::{fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Immutable bytes with cheap clones.
///
/// It serialises as one byte string, where a plain `Vec<u8>` would become a
/// sequence of numbers of up to twice the length.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(Arc<[u8]>);

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Blob {
    fn from(raw: Vec<u8>) -> Self {
        Blob(raw.into())
    }
}

impl From<&[u8]> for Blob {
    fn from(raw: &[u8]) -> Self {
        Blob(raw.into())
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({})", self.0.escape_ascii())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BlobVisitor)
    }
}

struct BlobVisitor;

impl de::Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, raw: &[u8]) -> Result<Blob, E> {
        Ok(Blob::from(raw))
    }
}
