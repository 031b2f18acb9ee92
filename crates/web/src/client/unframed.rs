//! Finds out whether a body that ends with its connection is written in chunks.
//!
//! If the name of the field that says so is spoilt, and still is a name, nothing in the head
//! tells: the sizes of the chunks would be taken for part of the body. A body that is a whole
//! chunked one from its first byte to its last chunk is nothing else.

use bytes::{Bytes, BytesMut};

/// Most bytes that are held back while a body may consist of chunks.
const HELD_MAX: usize = 8 << 10;

/// The body is written in chunks, which its head doesn't say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HiddenChunks;

/// What can follow if the body consists of chunks (RFC 9112, section 7.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    /// The first digit of a chunk's size.
    #[default]
    Size,
    /// Another digit, an extension, or the end of the line.
    Digit(u64),
    /// An extension after a size.
    Extension(u64),
    /// The LF that ends the line of a size.
    SizeLf(u64),
    /// Bytes of a chunk.
    Data(u64),
    /// The CR, or then the LF, after a chunk.
    DataCr,
    DataLf,
    /// A trailer, or the empty line; the flag says whether the line has any byte.
    Trailer(bool),
    /// The LF that ends that line.
    TrailerLf(bool),
    /// No chunks.
    Plain,
    /// The last chunk has come.
    Last,
}

/// A body without framing, as it is read.
#[derive(Debug, Default)]
pub(crate) struct Unframed {
    next: Next,
    /// Complete chunks so far.
    chunks: usize,
    held: BytesMut,
}

impl Unframed {
    /// Takes a piece and returns what can be passed on, which may be nothing yet.
    ///
    /// # Errors
    ///
    /// Fails if the body is known to consist of chunks.
    pub(crate) fn push(&mut self, piece: Bytes) -> Result<Bytes, HiddenChunks> {
        if self.next == Next::Plain {
            return Ok(piece);
        }
        self.read(&piece);
        match self.next {
            Next::Last => Err(HiddenChunks),
            Next::Plain if self.held.is_empty() => Ok(piece),
            _ => self.hold(&piece),
        }
    }

    fn hold(&mut self, piece: &[u8]) -> Result<Bytes, HiddenChunks> {
        self.held.extend_from_slice(piece);
        let may_be_chunks = self.next != Next::Plain;
        if may_be_chunks && self.held.len() <= HELD_MAX {
            return Ok(Bytes::new());
        }
        if may_be_chunks && self.chunks > 0 {
            return Err(HiddenChunks);
        }
        Ok(self.held.split().freeze())
    }

    /// Returns what was held back, once the connection has been closed.
    ///
    /// # Errors
    ///
    /// Fails if what came began with whole chunks and was nothing else. Within the first one it
    /// may still be a text that begins with a number.
    pub(crate) fn end(&mut self) -> Result<Bytes, HiddenChunks> {
        if self.next != Next::Plain && self.chunks > 0 {
            return Err(HiddenChunks);
        }
        self.next = Next::Plain;
        Ok(self.held.split().freeze())
    }

    fn read(&mut self, mut bytes: &[u8]) {
        while let [first, rest @ ..] = bytes {
            match self.next {
                Next::Plain | Next::Last => return,
                Next::Data(left) => {
                    let taken = usize::try_from(left).map_or(bytes.len(), |n| n.min(bytes.len()));
                    let left = left - taken as u64;
                    self.next = if left == 0 {
                        Next::DataCr
                    } else {
                        Next::Data(left)
                    };
                    bytes = &bytes[taken..];
                }
                next => {
                    self.next = next.after(*first);
                    self.chunks += usize::from(next == Next::DataLf && *first == b'\n');
                    bytes = rest;
                }
            }
        }
    }
}

impl Next {
    /// Returns what can follow after `byte`.
    fn after(self, byte: u8) -> Next {
        match (self, byte) {
            (Next::Size, _) => Next::digit(0, byte),
            (Next::Digit(size) | Next::Extension(size), b'\r') => Next::SizeLf(size),
            (Next::Digit(size), b' ' | b'\t' | b';') => Next::Extension(size),
            (Next::Digit(size), _) => Next::digit(size, byte),
            (Next::Extension(size), b' '..=b'~' | b'\t' | 0x80..) => Next::Extension(size),
            (Next::SizeLf(0), b'\n') => Next::Trailer(false),
            (Next::SizeLf(size), b'\n') => Next::Data(size),
            (Next::DataCr, b'\r') => Next::DataLf,
            (Next::DataLf, b'\n') => Next::Size,
            (Next::Trailer(any), b'\r') => Next::TrailerLf(any),
            (Next::Trailer(_), b' '..=b'~' | b'\t' | 0x80..) => Next::Trailer(true),
            (Next::TrailerLf(true), b'\n') => Next::Trailer(false),
            (Next::TrailerLf(false), b'\n') => Next::Last,
            _ => Next::Plain,
        }
    }

    fn digit(size: u64, byte: u8) -> Next {
        let digit = char::from(byte).to_digit(16).map(u64::from);
        let size = size.checked_mul(16).zip(digit);
        size.map_or(Next::Plain, |(size, digit)| Next::Digit(size + digit))
    }
}
