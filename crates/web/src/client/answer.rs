//! An answer whose body says by itself whether it is whole.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use tokio::time::{Instant, timeout_at};

use super::{
    Ending,
    broken::{Broken, Cause},
    link::Link,
    pool::Pool,
};
use crate::sse::Parser;

/// The head of an answer and its body, piece by piece.
///
/// Dropping it before its end closes the connection: the target sees that
/// nobody waits, and no later request can meet the rest of this answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    body: Incoming,
    framed: bool,
    events: Option<Parser>,
    ending: Ending,
    link: Option<Link>,
    home: (Arc<Pool>, SocketAddr),
    idle: Duration,
    end: Instant,
    over: bool,
}

impl Answer {
    pub(crate) fn new(
        resp: Response<Incoming>,
        link: Link,
        home: (Arc<Pool>, SocketAddr),
        (head, ending): (bool, Ending),
        idle: Duration,
        end: Instant,
    ) -> Self {
        let (parts, body) = resp.into_parts();
        let bare = head || matches!(parts.status.as_u16(), 204 | 304);
        let named = |h| parts.headers.contains_key(h);
        let framed = bare || named(CONTENT_LENGTH) || named(TRANSFER_ENCODING);
        let kind = parts.headers.get(CONTENT_TYPE);
        let sse = kind.is_some_and(|k| k.as_bytes().starts_with(b"text/event-stream"));
        Answer {
            status: parts.status,
            headers: parts.headers,
            body,
            framed,
            events: (sse && !bare && ending == Ending::Marked).then(Parser::default),
            ending,
            link: Some(link),
            home,
            idle,
            end,
            over: false,
        }
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns whether the target itself refused before it started: an engine
    /// says so by `x-engine-started: false`, an instance by its verdict.
    #[must_use]
    pub fn refused(&self) -> bool {
        if self.status.is_success() {
            return false;
        }
        self.header(wire::header::STARTED) == Some("false")
            || self.header(wire::header::VERDICT) == Some(Verdict::NotRun.as_str())
    }

    /// Returns the next piece, or `None` when the body ended properly: its
    /// length was met or its last chunk came, and a stream of events had its
    /// `[DONE]`.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if self.over {
                return None;
            }
            let until = self.end.min(Instant::now() + self.idle);
            let frame = match timeout_at(until, self.body.frame()).await {
                Err(_) if until == self.end => return Some(self.broken(Cause::Deadline)),
                Err(_) => return Some(self.broken(Cause::Idle)),
                Ok(None) => return self.finish(),
                Ok(Some(Err(err))) => return Some(self.broken(Cause::Cut(err.to_string()))),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                return Some(self.piece(data));
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is not whole or larger than `max`.
    pub async fn whole(mut self, max: usize) -> Result<Bytes, Broken> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if whole.len() + piece.len() > max {
                return self.broken(Cause::TooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn piece(&mut self, data: Bytes) -> Result<Bytes, Broken> {
        let Some(events) = &mut self.events else {
            return Ok(data);
        };
        let mut read = Vec::new();
        match events.push(&data, &mut read) {
            Ok(()) => Ok(data),
            Err(_) => self.broken(Cause::Cut(String::from("the stream is malformed"))),
        }
    }

    /// Judges the end of the body's framing.
    ///
    /// Failure: the target or something before it closes amid an answer, and
    /// the part that came looks complete. hyper reports a length or chunk cut
    /// short; what it can't know is an answer with neither (its end is the
    /// close itself) and a stream of events closed in order without `[DONE]`.
    fn finish(&mut self) -> Option<Result<Bytes, Broken>> {
        let done = self.events.as_ref().is_none_or(Parser::is_done);
        if self.events.is_some() && !done {
            base::hit!(stream_without_done);
            return Some(self.broken(Cause::NotDone));
        }
        if !self.framed && self.events.is_none() && self.ending == Ending::Marked {
            base::hit!(unframed_body);
            return Some(self.broken(Cause::Unframed));
        }
        self.over = true;
        if let Some(link) = self.link.take()
            && self.framed
            && self.body.is_end_stream()
        {
            self.home.0.keep(self.home.1, link);
        }
        None
    }

    fn broken(&mut self, cause: Cause) -> Result<Bytes, Broken> {
        self.over = true;
        self.link = None;
        Err(Broken {
            verdict: Verdict::MayHaveRun,
            cause,
        })
    }
}
