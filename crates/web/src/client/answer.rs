//! The answer to a request; reading its body fails unless the body is complete.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING},
};
use tokio::time::Instant;

use super::{
    Ending,
    broken::{Broken, Cause},
    link::Link,
    pool::Pool,
    unframed::{HiddenChunks, Unframed},
};
use crate::{memory::HeldBack, sse::Parser, timeout::answer_by};

/// How the end of a body is shown (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, or there is none.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of its connection: the end of the message, or of whoever sent it.
    Connection,
}

impl Framing {
    /// Returns the framing of a head that [`HeadReader`](super::HeadReader) has accepted.
    fn of(headers: &HeaderMap) -> Framing {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Most bytes of a body that are read after its deadline: what the system holds back of one
/// connection.
const LATE_BYTES_MAX: usize = 1 << 20;

/// What came of waiting for the next piece of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A piece.
    Piece(Bytes),
    /// The body is complete, see [`Answer::next`].
    End,
    /// The rest of the body can't be read.
    Broken(Broken),
    /// Nothing has come. The rest may still be read.
    Silent,
}

/// The head of an answer, and its body as a sequence of pieces.
///
/// Dropping it before its end closes the connection: the target notices that nobody
/// waits any more, and no later request can read the rest of this answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    body: Incoming,
    framing: Framing,
    /// Parser that looks for `[DONE]` in an event stream.
    events: Option<Parser>,
    link: Option<Link>,
    /// Where the connection is returned to after a complete answer.
    pool: (Arc<Pool>, SocketAddr),
    idle: Duration,
    deadline: Instant,
    /// What may be chunks of a body without framing.
    unframed: Unframed,
    /// What is held back: an event that isn't complete, or a body that is read as a whole.
    held: HeldBack,
    /// Bytes of the body that were read after the deadline.
    late_bytes: usize,
    finished: bool,
}

/// How an answer is read.
#[derive(Debug)]
pub(crate) struct ReadBy {
    /// Whether the request's method is HEAD.
    pub(crate) is_head: bool,
    pub(crate) ending: Ending,
    /// Time between two pieces.
    pub(crate) idle: Duration,
    pub(crate) deadline: Instant,
    /// What is held back of it.
    pub(crate) held: HeldBack,
}

impl Answer {
    pub(crate) fn new(
        resp: Response<Incoming>,
        link: Link,
        pool: (Arc<Pool>, SocketAddr),
        read: ReadBy,
    ) -> Self {
        let ReadBy {
            is_head,
            ending,
            idle,
            deadline,
            held,
        } = read;
        let (mut parts, body) = resp.into_parts();
        say_length_once(&mut parts.headers);
        let bodiless = is_head || matches!(parts.status.as_u16(), 204 | 304);
        let framing = if bodiless {
            Framing::Length
        } else {
            Framing::of(&parts.headers)
        };
        let kind = parts.headers.get(CONTENT_TYPE);
        let sse = kind.is_some_and(|k| k.as_bytes().starts_with(b"text/event-stream"));
        Answer {
            status: parts.status,
            headers: parts.headers,
            body,
            framing,
            events: (sse && !bodiless && ending == Ending::Explicit).then(Parser::default),
            link: Some(link),
            pool,
            idle,
            deadline,
            unframed: Unframed::default(),
            held,
            late_bytes: 0,
            finished: false,
        }
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns how the end of the body is shown.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether more than the close of the connection shows that the body is complete,
    /// once it has ended.
    #[must_use]
    pub fn shows_end(&self) -> bool {
        self.framing != Framing::Connection || self.events.is_some()
    }

    /// Returns whether the target refused the request without starting it: an engine
    /// reports this by `x-engine-started: false`, an instance by its verdict.
    #[must_use]
    pub fn refused(&self) -> bool {
        if self.status.is_success() {
            return false;
        }
        self.header(wire::header::STARTED) == Some("false")
            || self.header(wire::header::VERDICT) == Some(Verdict::NotRun.as_str())
    }

    /// Returns whether all of a body with a length has been read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.framing == Framing::Length && self.body.is_end_stream()
    }

    /// Returns the next piece of the body, or `None` if the body is complete: its length
    /// was reached or its last chunk arrived, and an event stream had its `[DONE]` where
    /// [`Ending::Explicit`] asks for it. With [`Framing::Connection`] an orderly close is all
    /// that shows the end, so the body may be truncated.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        match self.next_by(Some(Instant::now() + self.idle)).await {
            Read::Piece(piece) => Some(Ok(piece)),
            Read::End => None,
            Read::Broken(broken) => Some(Err(broken)),
            Read::Silent => Some(self.broken(Cause::Idle)),
        }
    }

    /// Waits for the next piece of the body until the time `until`, if there is one, and not
    /// beyond the deadline.
    pub async fn next_by(&mut self, until: Option<Instant>) -> Read {
        let until = until.map_or(self.deadline, |until| until.min(self.deadline));
        loop {
            if self.finished {
                return Read::End;
            }
            let given_up = self.held.given_up();
            let frame = answer_by(until, self.body.frame());
            let frame = match given_up {
                None => Some(frame.await),
                // Boxed, as few answers are held back and each would hold the space for it.
                Some(given_up) => Box::pin(unless(given_up, frame)).await,
            };
            let Some(frame) = frame else {
                return Read::Broken(self.break_off(Cause::NoRoom));
            };
            let next = match frame {
                None if until == self.deadline => self.broken(Cause::Deadline),
                None => return Read::Silent,
                Some(None) => match self.unframed.end() {
                    Ok(held) if held.is_empty() => return self.finish(),
                    Ok(held) => self.piece(held),
                    Err(HiddenChunks) => self.broken(Cause::HiddenChunks),
                },
                Some(Some(Err(err))) => self.broken(Cause::Cut(err.to_string())),
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if self.is_overdue(&data) => self.broken(Cause::Deadline),
                    Ok(data) => match self.unchunked(data) {
                        Ok(data) if data.is_empty() => continue,
                        Ok(data) => self.piece(data),
                        Err(HiddenChunks) => self.broken(Cause::HiddenChunks),
                    },
                    Err(_) => continue,
                },
            };
            return match next {
                Ok(piece) => Read::Piece(piece),
                Err(broken) => Read::Broken(broken),
            };
        }
    }

    /// Counts a piece that was read, and returns whether the body goes on after what can have
    /// arrived by the deadline. Waiting for a piece alone doesn't tell, as one is always there if
    /// they don't end; nor does the time, as a caller may take slowly what has arrived.
    fn is_overdue(&mut self, piece: &Bytes) -> bool {
        if Instant::now() >= self.deadline {
            self.late_bytes += piece.len();
        }
        self.late_bytes > LATE_BYTES_MAX
    }

    /// Reads the rest of the body, at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete or larger than `max`, or when nothing shows that it is
    /// complete.
    pub async fn read_all(mut self, max: usize) -> Result<Bytes, Broken> {
        let bytes = self.read_rest(max).await?;
        if !self.shows_end() {
            base::hit!(unframed_body);
            return self.broken(Cause::Unframed);
        }
        Ok(bytes)
    }

    /// Reads the rest of a JSON document, at most `max` bytes. The end of a document shows that
    /// it is complete, so it needs no other framing.
    ///
    /// # Errors
    ///
    /// Fails when the document is incomplete or larger than `max`.
    pub async fn read_json(mut self, max: usize) -> Result<Bytes, Broken> {
        let bytes = self.read_rest(max).await?;
        if self.framing == Framing::Connection && !is_json(&bytes) {
            return self.broken(Cause::Unframed);
        }
        Ok(bytes)
    }

    async fn read_rest(&mut self, max: usize) -> Result<Bytes, Broken> {
        let mut bytes = BytesMut::new();
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if bytes.len() + piece.len() > max {
                return self.broken(Cause::TooLarge);
            }
            if !self.held.hold(bytes.len() + piece.len()) {
                return self.broken(Cause::NoRoom);
            }
            bytes.extend_from_slice(&piece);
        }
        Ok(bytes.freeze())
    }

    /// Returns what of a piece is known not to be part of chunks that the head doesn't tell of.
    fn unchunked(&mut self, piece: Bytes) -> Result<Bytes, HiddenChunks> {
        match self.framing {
            Framing::Length | Framing::Chunks => Ok(piece),
            Framing::Connection => self.unframed.push(piece),
        }
    }

    fn piece(&mut self, data: Bytes) -> Result<Bytes, Broken> {
        if self.status == StatusCode::RESET_CONTENT && !data.is_empty() {
            return self.broken(Cause::Cut(String::from("content where there is none")));
        }
        let Some(events) = &mut self.events else {
            return Ok(data);
        };
        let mut read = Vec::new();
        match events.push(&data, &mut read) {
            // Whoever reads the events holds back as much.
            Ok(()) if self.held.hold(2 * events.pending()) => Ok(data),
            Ok(()) => self.broken(Cause::NoRoom),
            Err(_) => self.broken(Cause::Cut(String::from("malformed event stream"))),
        }
    }

    /// Checks at the end of the HTTP body whether an event stream is complete.
    ///
    /// If the target or a proxy closes the connection in the middle of an answer, the part
    /// received may look complete. hyper reports bodies shorter than their length or
    /// without a last chunk, but not a stream that was closed in order without `[DONE]`.
    fn finish(&mut self) -> Read {
        let done = self.events.as_ref().is_none_or(Parser::is_done);
        if self.events.is_some() && !done {
            base::hit!(stream_without_done);
            return Read::Broken(self.break_off(Cause::NotDone));
        }
        self.finished = true;
        if let Some(link) = self.link.take()
            && self.framing != Framing::Connection
            && self.body.is_end_stream()
        {
            self.pool.0.keep(self.pool.1, link);
        }
        Read::End
    }

    fn broken(&mut self, cause: Cause) -> Result<Bytes, Broken> {
        Err(self.break_off(cause))
    }

    /// Closes the connection, as nothing more of the body can be used.
    fn break_off(&mut self, cause: Cause) -> Broken {
        self.finished = true;
        self.link = None;
        Broken {
            verdict: Verdict::MayHaveRun,
            cause,
        }
    }
}

/// Waits for what comes first; none if that is `given_up`.
async fn unless<T>(given_up: impl Future<Output = ()>, next: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        next = next => Some(next),
        () = given_up => None,
    }
}

/// Replaces several lengths, which are equal, by one, so that whoever gets the headers needn't
/// know that they may be repeated.
fn say_length_once(headers: &mut HeaderMap) {
    let said = headers
        .get(CONTENT_LENGTH)
        .and_then(|raw| raw.to_str().ok());
    let said = said.and_then(|raw| raw.split(',').next()?.trim().parse::<u64>().ok());
    if let Some(length) = said {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Returns whether `bytes` are a complete JSON object or array; the beginning of one never is.
#[must_use]
pub fn is_json(bytes: &[u8]) -> bool {
    let opens = matches!(bytes.trim_ascii_start().first(), Some(b'{' | b'['));
    opens && serde_json::from_slice::<serde::de::IgnoredAny>(bytes).is_ok()
}
