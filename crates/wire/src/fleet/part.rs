//! Parts of an edition, packed for thin links.

use std::io::{self, Read, Write};

use base::record;
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use super::Edition;

/// Text in one part, in bytes. Packed it has 8 to 12 KB, which a link of 10 Mbit/s
/// carries in 10 ms, and at most 64 KB, for which it needs 52 ms: whatever else
/// waits for the link, like an exchange, is delayed by no more.
pub const PART_SIZE: usize = 64 << 10;

record! {
    /// A part of an edition.
    pub struct Part {
        /// Number of the edition.
        pub number: u64,
        /// Length of the whole text, in bytes.
        pub size: u64,
        /// Hash of the whole text; see [`crate::patch::digest`].
        pub digest: u64,
        /// Where the part begins in the text, in bytes.
        pub from: u64,
        /// Its piece of the text, packed.
        pub packed: Bytes,
    }
}

impl Part {
    /// Cuts the part that begins at `from` off an edition whose text has the hash
    /// `digest`; nothing where no part begins.
    #[must_use]
    pub fn of(edition: &Edition, digest: u64, from: u64) -> Option<Self> {
        let text = edition.body.as_bytes();
        let begin = usize::try_from(from).ok()?;
        if !begin.is_multiple_of(PART_SIZE) {
            return None;
        }
        let rest = text
            .get(begin..)
            .filter(|rest| !rest.is_empty() || begin == 0)?;
        let piece = &rest[..rest.len().min(PART_SIZE)];
        Some(Part {
            number: edition.number,
            size: text.len() as u64,
            digest,
            from,
            packed: pack(piece).ok()?.into(),
        })
    }

    /// Returns its piece of the text.
    ///
    /// # Errors
    ///
    /// Fails when it can't be unpacked, or is longer than any part.
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut piece = Vec::new();
        let most = PART_SIZE as u64 + 1;
        DeflateDecoder::new(&self.packed[..])
            .take(most)
            .read_to_end(&mut piece)?;
        if piece.len() > PART_SIZE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(piece)
    }
}

fn pack(piece: &[u8]) -> io::Result<Vec<u8>> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(piece)?;
    packed.finish()
}
