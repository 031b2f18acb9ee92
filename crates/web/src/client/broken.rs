//! Errors of exchanges, each with the verdict whether the request may have run.

use std::fmt;

use base::{Refusal, Verdict};

use super::head::HeadFault;

/// A failed exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The cause of the failure.
    pub cause: Cause,
}

/// The cause of a failed exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The path or the `host` header is invalid.
    BadRequest,
    /// The connection could not be established; contains the system's error.
    Connect(String),
    /// The connection was not established within the limit.
    ConnectTimeout,
    /// No way to the server is known.
    NoPath,
    /// The request was not written, as [`Checks::write`](super::Checks::write) failed.
    Withdrawn,
    /// The head of the answer did not arrive within the limit.
    FirstByte,
    /// The next piece of the answer's body did not arrive within the limit.
    Idle,
    /// The complete exchange took too long.
    Deadline,
    /// The connection broke, or the received bytes were not valid HTTP.
    Cut(String),
    /// What came is not the head of an answer.
    Malformed(HeadFault),
    /// The body ends with its connection as its head says, and consists of chunks.
    HiddenChunks,
    /// The body has neither a length nor chunks, so its end can't be distinguished from
    /// a truncation.
    Unframed,
    /// The event stream ended without `[DONE]`.
    NotDone,
    /// The body is larger than the caller accepts.
    TooLarge,
    /// What has to be held back of the body found no room.
    NoRoom,
}

impl Broken {
    /// Creates the failure of a request of which nothing was written.
    pub(crate) fn unsent(cause: Cause) -> Self {
        Broken {
            verdict: Verdict::NotRun,
            cause,
        }
    }

    /// Combines this failure with an `earlier` one of the same request: keeps this cause
    /// and the more cautious of both verdicts.
    pub(crate) fn after(self, earlier: &Broken) -> Self {
        Broken {
            verdict: self.verdict.max(earlier.verdict),
            ..self
        }
    }

    /// Returns whether the target, or its connection, broke the answer off or answered with
    /// something else, which a crash of the target may have caused.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        matches!(
            self.cause,
            Cause::Cut(_) | Cause::Malformed(_) | Cause::HiddenChunks
        )
    }

    /// Returns the reason that callers are given.
    #[must_use]
    pub fn reason(&self) -> Refusal {
        match self.cause {
            Cause::BadRequest => Refusal::BadRequest,
            Cause::Connect(_) | Cause::ConnectTimeout | Cause::NoPath | Cause::Withdrawn => {
                Refusal::Unavailable
            }
            Cause::Deadline => Refusal::Deadline,
            _ => Refusal::TargetFailed,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::BadRequest => {
                f.write_str("the path or the host header of the request is invalid")
            }
            Cause::Connect(err) => write!(f, "no connection: {err}"),
            Cause::ConnectTimeout => f.write_str("no connection in time"),
            Cause::Withdrawn => write!(f, "the request was withdrawn before it was written"),
            Cause::NoPath => f.write_str("no way to the server is known"),
            Cause::FirstByte => f.write_str("no answer in time"),
            Cause::Idle => f.write_str("no data of the answer within the idle timeout"),
            Cause::Deadline => f.write_str("the deadline passed"),
            Cause::Cut(err) => write!(f, "the connection broke: {err}"),
            Cause::Malformed(fault) => write!(f, "the answer has no valid head: {fault}"),
            Cause::HiddenChunks => {
                f.write_str("the body consists of chunks, and its head doesn't say so")
            }
            Cause::Unframed => {
                f.write_str("the answer has neither a length nor chunks, so it may be truncated")
            }
            Cause::NotDone => f.write_str("the stream ended before its last event"),
            Cause::TooLarge => f.write_str("the answer is too large"),
            Cause::NoRoom => f.write_str("there is no room for the answer"),
        }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl std::error::Error for Broken {}
