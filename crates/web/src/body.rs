//! Bodies of answers, of known length or streamed, and reading of request bodies within
//! limits.
//!
//! A streamed body ends properly only if its writer says so; otherwise the connection is
//! cut.

use std::time::Duration;

use anyhow::anyhow;
use base::{Failure, Refusal};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, Version,
    body::{Body as _, Frame},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use tokio::{
    sync::mpsc,
    task::yield_now,
    time::{Instant, timeout},
};

use crate::memory::{self, Held};

/// The body of an answer. An error in it cuts the connection, so that the caller never
/// takes a truncated answer for a complete one.
pub type Body = UnsyncBoxBody<Bytes, anyhow::Error>;

/// Creates a body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A message from a [`Writer`] to its body.
enum Step {
    Piece(Bytes),
    End,
}

/// Writes a streamed body.
///
/// Dropping it before [`Writer::end`] makes the body fail, so that a handler that panics
/// or is cancelled never makes a truncated answer look complete.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<Step>);

/// The reader of a streamed body has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Creates a body whose length isn't said to the caller.
pub fn unsized_full(bytes: impl Into<Bytes>) -> Body {
    let frame = Ok(Frame::data(bytes.into()));
    StreamBody::new(futures::stream::iter([frame])).boxed_unsync()
}

/// Makes the body of an answer end with its connection, without a length or chunks. A body
/// that fails resets the connection.
///
/// hyper writes such a body only in an answer of HTTP/1.0, so its status line says this
/// version.
pub fn end_with_connection(resp: &mut Response<Body>) {
    *resp.version_mut() = Version::HTTP_10;
    resp.headers_mut().remove(CONTENT_LENGTH);
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(CONNECTION, close);
}

/// Creates a streamed body that buffers up to `depth` pieces.
///
/// # Panics
///
/// Panics when `depth` is zero.
#[must_use]
pub fn channel(depth: usize) -> (Writer, Body) {
    let (tx, rx) = mpsc::channel(depth);
    (Writer(tx), body_of(rx, None))
}

/// Creates a streamed body that sends `ping` as a keep-alive whenever its writer has
/// written nothing for `every`. Each written piece must be complete in itself (such as a
/// whole event), since a keep-alive may follow it.
///
/// Without keep-alives a reader can't tell a stream that waits for an engine from a dead
/// connection. With them its idle timeout can be much shorter than the time that an
/// engine may take.
///
/// # Panics
///
/// Panics when `depth` is zero.
#[must_use]
pub fn keepalive_channel(depth: usize, every: Duration, ping: Bytes) -> (Writer, Body) {
    let (tx, rx) = mpsc::channel(depth);
    (Writer(tx), body_of(rx, Some((every, ping))))
}

fn body_of(rx: mpsc::Receiver<Step>, keepalive: Option<(Duration, Bytes)>) -> Body {
    let steps = futures::stream::unfold(Some((rx, keepalive)), |state| async move {
        let (mut rx, keepalive) = state?;
        let step = match &keepalive {
            None => rx.recv().await,
            Some((every, ping)) => match timeout(*every, rx.recv()).await {
                Ok(step) => step,
                Err(_) => {
                    base::hit!(sign_of_life);
                    Some(Step::Piece(ping.clone()))
                }
            },
        };
        match step {
            Some(Step::Piece(bytes)) => Some((Ok(Frame::data(bytes)), Some((rx, keepalive)))),
            Some(Step::End) => None,
            None => {
                // hyper drops what it hasn't written when the body fails, also the head. It
                // writes that while the body is pending.
                yield_now().await;
                let why = "the body's writer was dropped before the end of the body";
                Some((Err(anyhow!(why)), None))
            }
        }
    });
    StreamBody::new(steps.boxed()).boxed_unsync()
}

impl Writer {
    /// Writes one piece; waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Fails when the reader has gone.
    pub async fn piece(&self, bytes: Bytes) -> Result<(), Gone> {
        self.0.send(Step::Piece(bytes)).await.map_err(|_| Gone)
    }

    /// Ends the body properly.
    ///
    /// # Errors
    ///
    /// Fails when the reader has gone.
    pub async fn end(self) -> Result<(), Gone> {
        self.0.send(Step::End).await.map_err(|_| Gone)
    }

    /// Waits until the reader has gone.
    pub async fn gone(&self) {
        self.0.closed().await;
    }
}

/// Limits for reading one request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Maximum size, in bytes.
    pub bytes: usize,
    /// Minimum average rate, in bytes a second, applied after [`ReadLimits::grace`].
    pub rate: usize,
    /// Time before the rate applies; also the longest pause between two pieces.
    pub grace: Duration,
}

impl Default for ReadLimits {
    fn default() -> Self {
        ReadLimits {
            // Long prompts with their history stay well below 1 MiB.
            bytes: 1 << 20,
            // The slowest mobile links in use transfer several KiB a second.
            rate: 1 << 10,
            grace: Duration::from_secs(5),
        }
    }
}

/// Reads the complete body of a request, whoever else has bodies here.
///
/// # Errors
///
/// Fails as [`read_held`] does, but for room.
pub async fn read(body: hyper::body::Incoming, limits: ReadLimits) -> Result<Bytes, Failure> {
    read_held(body, limits, &Held::default()).await
}

/// Reads the complete body of a request. What is returned is part of what the request holds,
/// for as long as any clone of it lives.
///
/// # Errors
///
/// Fails with [`Refusal::TooLarge`] if the body is larger than the limit, with
/// [`Refusal::BadRequest`] if it is truncated or malformed, with [`Refusal::SlowBody`] if it is
/// sent too slowly, and with [`Refusal::Overloaded`] if there is no room for it. The verdict is "not run" in all cases.
pub async fn read_held(
    mut body: hyper::body::Incoming,
    limits: ReadLimits,
    held: &Held,
) -> Result<Bytes, Failure> {
    let announced = body.size_hint().lower();
    if announced > limits.bytes as u64 {
        base::hit!(body_too_large);
        return Err(Failure::not_run(Refusal::TooLarge));
    }
    held.hold_body(announced)?;
    let start = Instant::now();
    let mut bytes = Vec::with_capacity(usize::try_from(announced).unwrap_or_default());
    let reading = held.reading();
    while !body.is_end_stream() {
        let next = tokio::select! {
            biased;
            () = reading.given_up() => {
                base::hit!(stalled_body_given_up);
                return Err(memory::no_room());
            }
            next = timeout(limits.grace, body.frame()) => next,
        };
        let Ok(next) = next else {
            base::hit!(silent_sender);
            return Err(Failure::not_run(Refusal::SlowBody));
        };
        let Some(frame) = next else { break };
        let frame = frame.map_err(|_| Failure::not_run(Refusal::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limits.bytes {
            base::hit!(body_too_large);
            return Err(Failure::not_run(Refusal::TooLarge));
        }
        reserve(&mut bytes, data.len(), limits, held)?;
        bytes.extend_from_slice(&data);
        reading.progress();
        if too_slow(start.elapsed(), bytes.len(), limits) {
            base::hit!(slow_sender);
            return Err(Failure::not_run(Refusal::SlowBody));
        }
    }
    drop(reading);
    Ok(Bytes::from_owner(HeldBody {
        bytes,
        _held: held.clone(),
    }))
}

/// A body that is part of what its request holds.
struct HeldBody {
    bytes: Vec<u8>,
    _held: Held,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Makes room for `more` bytes, in the buffer and in what the request holds.
fn reserve(
    bytes: &mut Vec<u8>,
    more: usize,
    limits: ReadLimits,
    held: &Held,
) -> Result<(), Failure> {
    let needed = bytes.len() + more;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let capacity = (2 * bytes.capacity()).clamp(needed, limits.bytes.max(needed));
    held.hold_body(capacity as u64)?;
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}

/// Returns whether the average rate of a body is below the limit.
///
/// A sender of single bytes would otherwise occupy memory and a connection for hours
/// without ever exceeding the limit on pauses.
fn too_slow(elapsed: Duration, got: usize, limits: ReadLimits) -> bool {
    let counted = elapsed.saturating_sub(limits.grace);
    (got as f64) < counted.as_secs_f64() * limits.rate as f64
}
