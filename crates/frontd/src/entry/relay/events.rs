//! Progress of a stream of events that is passed on.

use anyhow::{Result, ensure};
use bytes::{Bytes, BytesMut};
use web::{memory::HeldBack, sse::EventEnds};

/// Largest size of one event, in bytes, that is held back until it is complete.
const EVENT_MAX: usize = 1 << 20;

/// The events of a stream.
#[derive(Debug)]
pub(in crate::entry) struct Events {
    ends: EventEnds,
    /// The id of the last complete event.
    last: Option<String>,
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
    /// The room for them.
    held: HeldBack,
}

impl Events {
    /// Creates the events of a stream that has just begun.
    pub(super) fn new(held: HeldBack) -> Self {
        Events {
            ends: EventEnds::default(),
            last: None,
            partial: BytesMut::new(),
            held,
        }
    }

    /// Takes a chunk and returns the events that it completes.
    ///
    /// Failure: a target stops in the middle of an event. If that part had been passed
    /// on, the caller would see it joined to the complete event of the next target, or
    /// take it for one.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large to be held back, or there is no room for it, and the stream
    /// may go on at another target. The parts of such an event are passed on where it may not.
    pub(super) fn push(&mut self, chunk: Bytes, resumable: bool) -> Result<Bytes> {
        let end = self.ends.push(&chunk);
        if self.partial.is_empty() && end == Some(chunk.len()) {
            self.note_last(&chunk);
            return Ok(chunk);
        }
        let Some(end) = end else {
            return self.hold_back(chunk, resumable);
        };
        let before = self.partial.len();
        let mut complete = std::mem::take(&mut self.partial);
        complete.extend_from_slice(&chunk);
        // A buffer of its own, as the complete events keep theirs.
        self.partial = BytesMut::from(&complete[before + end..]);
        complete.truncate(before + end);
        // The rest of one read always finds room.
        let _ = self.held.hold(self.partial.len());
        self.note_last(&complete);
        Ok(complete.freeze())
    }

    /// Holds back a chunk in which no event ends.
    fn hold_back(&mut self, chunk: Bytes, resumable: bool) -> Result<Bytes> {
        let bytes = self.partial.len() + chunk.len();
        if bytes <= EVENT_MAX && self.held.hold(bytes) {
            self.partial.extend_from_slice(&chunk);
            return Ok(Bytes::new());
        }
        ensure!(!resumable, "there is no room for an event of the stream");
        if self.partial.is_empty() {
            return Ok(chunk);
        }
        self.partial.extend_from_slice(&chunk);
        Ok(self.take_partial())
    }

    /// Waits until an event that isn't complete is given up for others; none if none may be.
    pub(super) fn given_up(&self) -> Option<impl Future<Output = ()> + Send + use<>> {
        self.held.given_up()
    }

    /// Returns the id of the last complete event.
    pub(super) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether an event has begun and not ended.
    pub(super) fn is_within(&self) -> bool {
        self.ends.is_within()
    }

    /// Returns whether a part of an event is held back.
    pub(super) fn holds_back(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns what is held back of an event that isn't complete.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.held.clear();
        std::mem::take(&mut self.partial).freeze()
    }

    /// Drops what has come of an event that its target won't complete.
    pub(super) fn drop_partial(&mut self) {
        self.partial = BytesMut::new();
        self.held.clear();
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
