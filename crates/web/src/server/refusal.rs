//! Refuses callers when the maximum number of connections is reached.

use std::{sync::Arc, time::Duration};

use base::{Failure, Refusal};
use http_body_util::BodyExt;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::reply;

/// Maximum number of refusals at the same time; further connections are closed without an
/// answer.
const MAX_REFUSALS: usize = 64;

/// Time that a refused caller has to read the answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Size of the buffer into which the refused request is read and discarded, in bytes.
const CHUNK: usize = 4 << 10;

/// Answers refused callers, up to [`MAX_REFUSALS`] at the same time.
#[derive(Debug)]
pub(crate) struct Refusals(Arc<Semaphore>);

impl Default for Refusals {
    fn default() -> Self {
        Refusals(Arc::new(Semaphore::new(MAX_REFUSALS)))
    }
}

impl Refusals {
    /// Answers that the request did not run.
    ///
    /// If the connection were closed without an answer, the caller, which has already
    /// sent its request, would have to assume that it may have run.
    pub(crate) fn refuse(&self, stream: TcpStream) {
        base::hit!(all_connections_busy);
        let Ok(permit) = Arc::clone(&self.0).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            // The connection is closed even if the caller doesn't read the answer.
            let _ = timeout(TIMEOUT, answer(stream, permit)).await;
        });
    }
}

async fn answer(mut stream: TcpStream, _permit: OwnedSemaphorePermit) -> anyhow::Result<()> {
    stream.write_all(&refusal().await?).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, and the caller would
    // lose the answer.
    let mut unread = [0; CHUNK];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}

async fn refusal() -> anyhow::Result<Vec<u8>> {
    let failure = Failure::not_run(Refusal::Overloaded).retry_after(RETRY_AFTER);
    let (mut head, body) = reply::failure(&failure).into_parts();
    let body = body.collect().await?.to_bytes();
    head.headers.insert(CONTENT_LENGTH, body.len().into());
    let close = HeaderValue::from_static("close");
    head.headers.insert(CONNECTION, close);
    let mut bytes = format!("HTTP/1.1 {}\r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&body);
    Ok(bytes)
}
