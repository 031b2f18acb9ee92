//! Bodies: fixed ones, streamed ones that can't end by accident, and the
//! bounded reading of a caller's body.

use std::time::Duration;

use anyhow::anyhow;
use base::{Failure, Refusal};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Frame};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

/// The body of an answer; an error in it cuts the connection, so that the
/// caller never takes a part for the whole.
pub type Body = UnsyncBoxBody<Bytes, anyhow::Error>;

/// Makes a body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// One step of a streamed body.
enum Step {
    Piece(Bytes),
    End,
}

/// Writes a streamed body.
///
/// Dropping it before [`Writer::end`] cuts the body off visibly: a handler
/// that panics or is cancelled never makes half an answer look whole.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<Step>);

/// Says that the reader of a streamed body has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Makes a streamed body; `depth` pieces wait in it before the writer waits.
///
/// # Panics
///
/// Panics when `depth` is zero.
#[must_use]
pub fn channel(depth: usize) -> (Writer, Body) {
    let (tx, rx) = mpsc::channel(depth);
    (Writer(tx), body_of(rx, None))
}

/// Makes a streamed body that writes `sign` whenever its writer was silent for
/// `every`; whole pieces must be written, so that the sign falls between them.
///
/// Failure: a stream waits for an engine, and its reader can't tell that from
/// a connection that went silent for good. With signs of life it can give up
/// long before an engine's silence would mean anything.
///
/// # Panics
///
/// Panics when `depth` is zero.
#[must_use]
pub fn lively(depth: usize, every: Duration, sign: Bytes) -> (Writer, Body) {
    let (tx, rx) = mpsc::channel(depth);
    (Writer(tx), body_of(rx, Some((every, sign))))
}

fn body_of(rx: mpsc::Receiver<Step>, life: Option<(Duration, Bytes)>) -> Body {
    let steps = futures::stream::unfold(Some((rx, life)), |state| async move {
        let (mut rx, life) = state?;
        let step = match &life {
            None => rx.recv().await,
            Some((every, sign)) => match timeout(*every, rx.recv()).await {
                Ok(step) => step,
                Err(_) => {
                    base::hit!(sign_of_life);
                    Some(Step::Piece(sign.clone()))
                }
            },
        };
        match step {
            Some(Step::Piece(bytes)) => Some((Ok(Frame::data(bytes)), Some((rx, life)))),
            Some(Step::End) => None,
            None => Some((Err(anyhow!("the writer left before the end")), None)),
        }
    });
    StreamBody::new(steps.boxed()).boxed_unsync()
}

impl Writer {
    /// Writes one piece; waits while the reader is slow.
    ///
    /// # Errors
    ///
    /// Fails when the reader has left.
    pub async fn piece(&self, bytes: Bytes) -> Result<(), Gone> {
        self.0.send(Step::Piece(bytes)).await.map_err(|_| Gone)
    }

    /// Ends the body properly.
    ///
    /// # Errors
    ///
    /// Fails when the reader has left.
    pub async fn end(self) -> Result<(), Gone> {
        self.0.send(Step::End).await.map_err(|_| Gone)
    }

    /// Waits until the reader has left.
    pub async fn gone(&self) {
        self.0.closed().await;
    }
}

/// Bounds the reading of one caller's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Most bytes taken.
    pub bytes: usize,
    /// Fewest bytes a second, counted once [`ReadLimits::grace`] is over.
    pub rate: usize,
    /// Time before the rate counts; also the longest silence.
    pub grace: Duration,
}

impl Default for ReadLimits {
    fn default() -> Self {
        ReadLimits {
            // A long prompt with its history is well below 1 MiB.
            bytes: 1 << 20,
            // The slowest mobile link still in use gives several KiB a second.
            rate: 1 << 10,
            grace: Duration::from_secs(5),
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails with `too-large` beyond the limit, and with `bad-request` when the
/// body is cut, malformed or sent too slowly. Nothing has run by then.
pub async fn read(mut body: hyper::body::Incoming, limits: ReadLimits) -> Result<Bytes, Failure> {
    let start = Instant::now();
    let mut whole = BytesMut::new();
    while !body.is_end_stream() {
        let Ok(next) = timeout(limits.grace, body.frame()).await else {
            base::hit!(silent_sender);
            return Err(Failure::not_run(Refusal::BadRequest));
        };
        let Some(frame) = next else { break };
        let frame = frame.map_err(|_| Failure::not_run(Refusal::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limits.bytes {
            base::hit!(body_too_large);
            return Err(Failure::not_run(Refusal::TooLarge));
        }
        whole.extend_from_slice(&data);
        if too_slow(start.elapsed(), whole.len(), limits) {
            base::hit!(slow_sender);
            return Err(Failure::not_run(Refusal::BadRequest));
        }
    }
    Ok(whole.freeze())
}

/// A sender that trickles a byte now and then would hold memory and a place
/// for hours without ever being silent; the mean rate gives it away.
fn too_slow(elapsed: Duration, got: usize, limits: ReadLimits) -> bool {
    let counted = elapsed.saturating_sub(limits.grace);
    (got as f64) < counted.as_secs_f64() * limits.rate as f64
}
