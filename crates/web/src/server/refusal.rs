//! Refuses callers for whom there is no connection left.

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

/// Refusals under way; a flood beyond them is closed unanswered.
const AT_ONCE: usize = 64;

/// How long a refused caller may take to read why.
const TIME: Duration = Duration::from_secs(1);

/// When a refused caller may come back.
const RETRY: Duration = Duration::from_secs(1);

/// Bytes of the refused request read at once, and thrown away.
const CHUNK: usize = 4 << 10;

/// Answers a bounded number of refused callers at once.
#[derive(Debug)]
pub(crate) struct Refusals(Arc<Semaphore>);

impl Default for Refusals {
    fn default() -> Self {
        Refusals(Arc::new(Semaphore::new(AT_ONCE)))
    }
}

impl Refusals {
    /// Tells the caller that its request did not run.
    ///
    /// Failure: a caller is closed on without a word while every connection
    /// is busy. It has sent its request by then and must take it for one that
    /// may have run, though nobody read it.
    pub(crate) fn refuse(&self, stream: TcpStream) {
        base::hit!(all_connections_busy);
        let Ok(permit) = Arc::clone(&self.0).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            // A caller that doesn't listen is closed on all the same.
            let _ = timeout(TIME, answer(stream, permit)).await;
        });
    }
}

async fn answer(mut stream: TcpStream, _permit: OwnedSemaphorePermit) -> anyhow::Result<()> {
    stream.write_all(&refusal().await?).await?;
    stream.shutdown().await?;
    // Closing with unread bytes resets the connection, and the answer with it.
    let mut unread = [0; CHUNK];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}

async fn refusal() -> anyhow::Result<Vec<u8>> {
    let failure = Failure::not_run(Refusal::Overloaded).retry_after(RETRY);
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
