//! Compressed parts of an edition, sized for links of low bandwidth.

use std::io::{self, Read, Write};

use base::record;
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use super::Edition;

/// Uncompressed text in one part, in bytes. It usually compresses to 8 to 12 KB, which
/// a link of 10 Mbit/s carries in 10 ms. Incompressible text has 64 KB, which takes
/// 52 ms: a part delays other messages on the link, such as a [`Sync`](super::Sync), by
/// no more than that.
pub const PART_SIZE: usize = 64 << 10;

record! {
    /// A part of an edition.
    pub struct Part {
        /// Number of the edition.
        pub number: u64,
        /// Length of the edition's full text, in bytes.
        pub size: u64,
        /// Hash of the edition's full text; see [`crate::patch::digest`].
        pub digest: u64,
        /// Offset of the part in the text, in bytes; a multiple of [`PART_SIZE`].
        pub from: u64,
        /// The part's text, compressed with DEFLATE.
        pub packed: Bytes,
    }
}

impl Part {
    /// Returns the part of an edition that begins at `from`, or `None` if no part begins
    /// there. `digest` is the hash of the edition's full text.
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

    /// Returns the part's text, decompressed.
    ///
    /// # Errors
    ///
    /// Fails when decompression fails or gives more than [`PART_SIZE`] bytes.
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
