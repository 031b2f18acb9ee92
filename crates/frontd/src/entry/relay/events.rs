//! Progress of a stream of events that is passed on.

use anyhow::{Result, ensure};
use bytes::{Bytes, BytesMut};
use web::sse::EventEnds;

/// Largest size of one event, in bytes, that is held back until it is complete.
const EVENT_MAX: usize = 1 << 20;

/// The events of a stream.
#[derive(Debug, Default)]
pub(in crate::entry) struct Events {
    ends: EventEnds,
    /// The id of the last complete event.
    last: Option<String>,
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
}

impl Events {
    /// Takes a chunk and returns the events that it completes.
    ///
    /// Failure: a target stops in the middle of an event. If that part had been passed
    /// on, the caller would see it joined to the complete event of the next target, or
    /// take it for one.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large to be held back and the stream may go on at another
    /// target. The parts of such an event are passed on where it may not.
    pub(super) fn push(&mut self, chunk: Bytes, resumable: bool) -> Result<Bytes> {
        let end = self.ends.push(&chunk);
        if self.partial.is_empty() && end == Some(chunk.len()) {
            self.note_last(&chunk);
            return Ok(chunk);
        }
        let before = self.partial.len();
        self.partial.extend_from_slice(&chunk);
        if let Some(end) = end {
            let complete = self.partial.split_to(before + end).freeze();
            self.note_last(&complete);
            return Ok(complete);
        }
        if self.partial.len() <= EVENT_MAX {
            return Ok(Bytes::new());
        }
        ensure!(
            !resumable,
            "an event of the stream exceeds {EVENT_MAX} bytes"
        );
        Ok(self.partial.split().freeze())
    }

    /// Returns the id of the last complete event.
    pub(super) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether an event has begun and not ended.
    pub(super) fn is_within(&self) -> bool {
        self.ends.is_within()
    }

    /// Returns what is held back of an event that isn't complete.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops what has come of an event that its target won't complete.
    pub(super) fn drop_partial(&mut self) {
        self.partial.clear();
        self.ends = EventEnds::default();
    }

    fn note_last(&mut self, events: &[u8]) {
        if let Some(id) = last_id(events) {
            self.last = Some(id);
        }
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n' || *b == b'\r');
    for line in lines {
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = std::str::from_utf8(id).ok()?;
            return Some(id.trim().to_owned());
        }
    }
    None
}
