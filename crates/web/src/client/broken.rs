//! What went wrong with an exchange, and whether the request may have run.

use std::fmt;

use base::{Refusal, Verdict};

/// A failed exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub cause: Cause,
}

/// What went wrong with an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The path or a header can't be written.
    BadRequest,
    /// No connection, with the system's error.
    Connect(String),
    /// No connection within the limit.
    ConnectTimeout,
    /// No head within the limit.
    FirstByte,
    /// No next piece within the limit.
    Idle,
    /// The whole exchange took too long.
    Deadline,
    /// The connection broke, or what came on it is no HTTP.
    Cut(String),
    /// The body has neither a length nor chunks, so its end can't be told
    /// from a cut.
    Unframed,
    /// The stream ended without its last event.
    NotDone,
    /// The body is larger than the reader takes.
    TooLarge,
}

impl Broken {
    /// Joins this failure with an `earlier` one of the same request.
    pub(crate) fn after(self, earlier: &Broken) -> Self {
        Broken {
            verdict: self.verdict.max(earlier.verdict),
            ..self
        }
    }

    /// Returns the reason as callers see it.
    #[must_use]
    pub fn reason(&self) -> Refusal {
        match self.cause {
            Cause::BadRequest => Refusal::BadRequest,
            Cause::Connect(_) | Cause::ConnectTimeout => Refusal::Unavailable,
            Cause::Deadline => Refusal::Deadline,
            _ => Refusal::TargetFailed,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::BadRequest => f.write_str("the request can't be written"),
            Cause::Connect(err) => write!(f, "no connection: {err}"),
            Cause::ConnectTimeout => f.write_str("no connection in time"),
            Cause::FirstByte => f.write_str("no answer in time"),
            Cause::Idle => f.write_str("the answer fell silent"),
            Cause::Deadline => f.write_str("the deadline passed"),
            Cause::Cut(err) => write!(f, "the connection broke: {err}"),
            Cause::Unframed => f.write_str("the answer's end can't be told"),
            Cause::NotDone => f.write_str("the stream ended before its last event"),
            Cause::TooLarge => f.write_str("the answer is too large"),
        }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl std::error::Error for Broken {}
