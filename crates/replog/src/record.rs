//! On-disk format of the log and of snapshots.
//!
//! A file is a sequence of frames. Each frame holds what one sync made durable:
//!
//! ```text
//! magic u32 | length u32 | sequence u64 | crc of payload u32 | crc of header u32 | payload
//! ```
//!
//! Numbers are little-endian, payloads MessagePack. The first frame of a log file gives
//! the format, the owner and the snapshot that the log continues. The header has a
//! checksum of its own, so that a corrupt length is distinguished from a truncated file.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{Entry, Members, Position, ReplicaId, Snapshot, Term};

/// The format written by this release; no other one is read.
pub const FORMAT: u32 = 1;

const MAGIC: u32 = u32::from_le_bytes(*b"qzlg");
const HEADER_LEN: usize = 24;

base::record! {
    /// The first frame of a log file.
    pub struct Header {
        /// The format of the file; see [`FORMAT`].
        pub format: u32,
        /// The replica that owns the log.
        pub id: ReplicaId,
        /// The snapshot that the log continues, if any.
        pub base: Option<Position>,
        /// The number of frames that were synced before the file was renamed into place;
        /// none of them can be a torn write.
        pub sealed: u64,
    }

    /// A record of the state that a replica persists.
    pub enum Record {
        /// The initial membership.
        Found(Members),
        /// The current term and the vote given in it.
        Vote {
            /// The term.
            term: Term,
            /// The candidate voted for.
            voted: Option<ReplicaId>,
        },
        /// An entry. It replaces any entry at or after its index.
        Entry(Entry),
    }
}

/// The state of a log file after its last valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Nothing follows the last valid frame.
    Intact,
    /// A torn write: interrupted by a crash and never acknowledged, so it may be
    /// truncated.
    Torn,
    /// Data that was durable is unreadable: the file has lost votes or entries that other
    /// replicas rely on.
    Damaged,
    /// The file is intact but was written by another release in a format that this one
    /// doesn't read.
    OtherFormat,
}

/// The content of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The first frame, if it is readable.
    pub header: Option<Header>,
    /// All records, in order of writing.
    pub records: Vec<Record>,
    /// The length of the readable part in bytes.
    pub len: u64,
    /// The sequence number of the next frame.
    pub next: u64,
    /// The state of the file after the readable part.
    pub tail: Tail,
}

/// Bytes that are not a valid snapshot file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the snapshot file is corrupt")]
pub struct BadSnapshot;

/// Encodes the first frame of a log file.
#[must_use]
pub fn encode_header(header: &Header) -> Vec<u8> {
    frame(0, header)
}

/// Encodes the log file of an empty data folder.
#[must_use]
pub fn encode_first_log(id: &ReplicaId) -> Vec<u8> {
    encode_header(&Header {
        format: FORMAT,
        id: id.clone(),
        base: None,
        sealed: 0,
    })
}

/// Encodes the log file that continues the snapshot at `base`; `records` make up its one
/// sealed frame (see [`Header::sealed`]).
#[must_use]
pub fn encode_next_log(id: &ReplicaId, base: Position, records: &[Record]) -> Vec<u8> {
    let mut raw = encode_header(&Header {
        format: FORMAT,
        id: id.clone(),
        base: Some(base),
        sealed: 1,
    });
    raw.extend(encode_frame(1, records));
    raw
}

/// Encodes the records of one sync as frame number `seq`.
#[must_use]
pub fn encode_frame(seq: u64, records: &[Record]) -> Vec<u8> {
    frame(seq, &records)
}

/// Encodes a snapshot file.
#[must_use]
pub fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    frame(0, snapshot)
}

/// Decodes a snapshot file.
///
/// # Errors
///
/// Fails when a byte is missing, added or changed.
pub fn recover_snapshot(raw: &[u8]) -> Result<Snapshot, BadSnapshot> {
    match read_frame(raw, 0) {
        Some((payload, len)) if len == raw.len() => decode(payload).ok_or(BadSnapshot),
        _ => Err(BadSnapshot),
    }
}

/// Reads a log file up to its last valid frame.
#[must_use]
pub fn recover(raw: &[u8]) -> Recovered {
    let mut found = Recovered {
        header: None,
        records: Vec::new(),
        len: 0,
        next: 0,
        tail: Tail::Damaged,
    };
    let Some((payload, len)) = read_frame(raw, 0) else {
        return found;
    };
    found.header = decode::<Header>(payload).filter(|header| header.format == FORMAT);
    if found.header.is_none() {
        found.tail = Tail::OtherFormat;
        return found;
    }
    let mut at = len;
    found.next = 1;
    while let Some((payload, len)) = read_frame(&raw[at..], found.next) {
        let Some(mut records) = decode::<Vec<Record>>(payload) else {
            found.len = at as u64;
            return found;
        };
        found.records.append(&mut records);
        found.next += 1;
        at += len;
    }
    found.len = at as u64;
    let sealed = found.header.as_ref().map_or(0, |header| header.sealed);
    if found.next <= sealed {
        base::hit!(damaged_sealed);
        return found;
    }
    found.tail = classify_tail(&raw[at..], found.next);
    found
}

/// Distinguishes a torn write from corruption.
///
/// A frame is written only after the previous one was synced, so a crash can tear only
/// the last frame. A valid frame header with another sequence number after an unreadable
/// frame proves that the unreadable frame had been durable. Truncating it would revoke a
/// vote or an acknowledgement, and two leaders could be elected in one term.
fn classify_tail(rest: &[u8], next: u64) -> Tail {
    if rest.is_empty() {
        return Tail::Intact;
    }
    let later =
        (0..rest.len()).any(|at| read_header(&rest[at..]).is_some_and(|found| found.seq != next));
    if later {
        base::hit!(damaged_middle);
        return Tail::Damaged;
    }
    base::hit!(torn_tail);
    Tail::Torn
}

struct FrameHeader {
    len: usize,
    seq: u64,
    crc: u32,
}

fn frame<T: Serialize>(seq: u64, value: &T) -> Vec<u8> {
    let payload = rmp_serde::to_vec(value).expect("records have only encodable fields");
    let len = u32::try_from(payload.len()).expect("a frame is shorter than 4 GiB");
    let mut raw = Vec::with_capacity(HEADER_LEN + payload.len());
    raw.extend(MAGIC.to_le_bytes());
    raw.extend(len.to_le_bytes());
    raw.extend(seq.to_le_bytes());
    raw.extend(crc32fast::hash(&payload).to_le_bytes());
    raw.extend(crc32fast::hash(&raw).to_le_bytes());
    raw.extend(payload);
    raw
}

fn read_header(raw: &[u8]) -> Option<FrameHeader> {
    let raw = raw.get(..HEADER_LEN)?;
    let word = |at: usize| Some(u32::from_le_bytes(raw.get(at..at + 4)?.try_into().ok()?));
    if word(0)? != MAGIC || word(20)? != crc32fast::hash(&raw[..20]) {
        return None;
    }
    Some(FrameHeader {
        len: word(4)? as usize,
        seq: u64::from_le_bytes(raw[8..16].try_into().ok()?),
        crc: word(16)?,
    })
}

/// Returns the payload of the frame `seq` and the frame's length, if the frame is valid.
fn read_frame(raw: &[u8], seq: u64) -> Option<(&[u8], usize)> {
    let header = read_header(raw)?;
    let len = HEADER_LEN.checked_add(header.len)?;
    let payload = raw.get(HEADER_LEN..len)?;
    let good = header.seq == seq && header.crc == crc32fast::hash(payload);
    good.then_some((payload, len))
}

fn decode<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    rmp_serde::from_slice(payload).ok()
}
