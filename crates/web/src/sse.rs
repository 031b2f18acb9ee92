//! Server-sent events of streamed chat completions.
//!
//! A stream is complete only if its last event is `data: [DONE]`. A body that ends
//! without it was truncated by its sender, even if its HTTP framing is correct.

mod ends;

use base::{Failure, Refusal, Verdict};
use bytes::Bytes;
use serde::Deserialize;

pub use self::ends::EventEnds;
use crate::reply::{ErrorBody, ErrorInfo};

/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// The last event of a complete stream, encoded.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A comment, which readers ignore; serves as a keep-alive.
pub const PING: &[u8] = b": ping\n\n";

/// Maximum size of an event, in bytes; events of engines have a few hundred.
pub const EVENT_MAX: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its data lines, joined by line feeds.
    pub data: String,
}

/// A stream does not consist of valid events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadStream;

/// Incremental parser; its input may be split at any byte.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    /// The incomplete last line.
    rest: Vec<u8>,
    /// Data lines of the current event, joined by line feeds.
    data: Vec<u8>,
    /// Whether the current event has any data lines.
    has_data: bool,
    tokens: u32,
    done: bool,
}

impl Parser {
    /// Reads `piece` and appends the events that it completes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when an event is larger than [`EVENT_MAX`], or when something
    /// follows `[DONE]`.
    pub fn push(&mut self, piece: &[u8], out: &mut Vec<Event>) -> Result<(), BadStream> {
        let mut piece = piece;
        while let Some(at) = piece.iter().position(|&b| b == b'\n') {
            self.rest.extend_from_slice(&piece[..at]);
            piece = &piece[at + 1..];
            let mut line = std::mem::take(&mut self.rest);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            self.line(&line, out)?;
        }
        self.rest.extend_from_slice(piece);
        if self.rest.len() + self.data.len() > EVENT_MAX {
            return Err(BadStream);
        }
        Ok(())
    }

    /// Returns how many events carried a token.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether `[DONE]` was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the bytes of the event that isn't complete.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.rest.len() + self.data.len()
    }

    fn line(&mut self, line: &[u8], out: &mut Vec<Event>) -> Result<(), BadStream> {
        if line.is_empty() {
            return self.dispatch(out);
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(());
        };
        let data = data.strip_prefix(b" ").unwrap_or(data);
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data.extend_from_slice(data);
        if self.data.len() > EVENT_MAX {
            return Err(BadStream);
        }
        Ok(())
    }

    fn dispatch(&mut self, out: &mut Vec<Event>) -> Result<(), BadStream> {
        if !std::mem::take(&mut self.has_data) {
            return Ok(());
        }
        if self.done {
            return Err(BadStream);
        }
        let data = String::from_utf8(std::mem::take(&mut self.data)).map_err(|_| BadStream)?;
        let event = Event { data };
        self.done = event.is_done();
        if event.token().is_some() {
            self.tokens += 1;
        }
        out.push(event);
        Ok(())
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    role: Option<String>,
    content: Option<String>,
}

impl Event {
    /// Returns whether this is the last event.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// Returns the token's text, if the event contains one.
    #[must_use]
    pub fn token(&self) -> Option<String> {
        let chunk: Chunk = serde_json::from_str(&self.data).ok()?;
        let text = chunk.choices.into_iter().next()?.delta.content?;
        (!text.is_empty()).then_some(text)
    }

    /// Returns whether this event only announces the role, before the first token.
    #[must_use]
    pub fn is_preamble(&self) -> bool {
        let chunk = serde_json::from_str::<Chunk>(&self.data).ok();
        let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
        let opens = |delta: &Delta| delta.content.as_deref().unwrap_or_default().is_empty();
        choice.is_some_and(|choice| choice.delta.role.is_some() && opens(&choice.delta))
    }

    /// Returns the error that the stream ends with, if the event contains one. An error
    /// in an engine's own format becomes [`Refusal::TargetFailed`].
    #[must_use]
    pub fn error(&self) -> Option<ErrorInfo> {
        let value: serde_json::Value = serde_json::from_str(&self.data).ok()?;
        let error = value.get("error")?;
        let own = serde_json::from_value(error.clone()).ok();
        Some(own.unwrap_or_else(|| ErrorInfo {
            message: error.to_string(),
            kind: Refusal::TargetFailed,
            verdict: Verdict::MayHaveRun,
            retry_after_ms: None,
        }))
    }

    /// Returns the event encoded.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        data(&self.data)
    }
}

/// Encodes an event with the given data.
#[must_use]
pub fn data(text: &str) -> Bytes {
    let mut event = String::with_capacity(text.len() + 8);
    for line in text.split('\n') {
        event.push_str("data: ");
        event.push_str(line);
        event.push('\n');
    }
    event.push('\n');
    Bytes::from(event)
}

/// Encodes the event that ends a stream which can't be continued. No `[DONE]` follows it,
/// so no reader takes the stream for complete.
#[must_use]
pub fn error(failure: &Failure) -> Bytes {
    let body = serde_json::to_string(&ErrorBody::from(failure));
    data(&body.unwrap_or_else(|_| String::from(r#"{"error":{}}"#)))
}
