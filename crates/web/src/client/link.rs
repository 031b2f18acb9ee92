//! One connection to a target, which counts the bytes written to its socket.

#[cfg(test)]
mod tests;

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use base::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    task::AbortHandle,
};

use super::{
    broken::{Broken, Cause},
    checked::{AwaitedHead, Checked},
    dial::{Dialed, Stream},
    head::Upgrade,
};

/// Most bytes that a connection buffers: heads of answers, and what of a body nobody takes.
const BUFFER_MAX: usize = 32 << 10;

/// Most bytes of one read, where hyper would let its buffer grow with what is there.
const READ_MAX: usize = 8 << 10;

/// An open connection; dropping it closes the socket immediately.
///
/// When a caller leaves while a large request is half written to a target that reads
/// slowly, hyper alone would go on writing, and the target would receive and run a
/// complete request that nobody waits for. So dropping the link aborts the connection's
/// task, which stops writing.
#[derive(Debug)]
pub(crate) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    /// Bytes written before the current request.
    before: u64,
    /// The head of the answer to the current request, until it has arrived.
    head: AwaitedHead,
    /// Whether further requests may be sent on it.
    reusable: bool,
    task: AbortHandle,
}

impl Link {
    /// Speaks HTTP over a connection.
    pub(crate) async fn over(dialed: Dialed) -> Result<Link, Broken> {
        let Dialed { stream, reusable } = dialed;
        let meter = Arc::new(Meter::default());
        let head = AwaitedHead::default();
        let io = TokioIo::new(Metered {
            stream: Checked::new(stream, head.clone()),
            meter: Arc::clone(&meter),
        });
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_MAX)
            .handshake(io)
            .await;
        let (sender, conn) =
            handshake.map_err(|err| Broken::unsent(Cause::Connect(err.to_string())))?;
        let task = tokio::spawn(async move {
            // The sender returns the same error.
            let _ = conn.await;
        });
        Ok(Link {
            sender,
            meter,
            before: 0,
            head,
            reusable,
            task: task.abort_handle(),
        })
    }

    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.before = self.meter.written();
        self.head.begin(Upgrade::No);
        let answer = self.sender.send_request(req).await;
        self.head.end();
        answer
    }

    /// Waits until the next request may be sent; returns false if the connection is
    /// closed.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether no further request may be sent.
    pub(crate) fn is_closed(&self) -> bool {
        !self.reusable || self.sender.is_closed()
    }

    /// Closes the connection and determines whether the current request may have run.
    ///
    /// When a timeout fires and no byte was written so far, the connection's task, on
    /// another thread, may be about to write. The verdict would then be "not run" for a
    /// request that runs. So writes are sealed first: the lock that guards the counter
    /// also refuses all later writes, and the count can't grow after it was read.
    pub(crate) fn broken(self, cause: Cause) -> Broken {
        let verdict = if self.meter.seal() == self.before {
            base::hit!(nothing_was_written);
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        let cause = self.head.fault().map_or(cause, Cause::Malformed);
        Broken { verdict, cause }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts the bytes written to a socket.
#[derive(Debug, Default)]
struct Meter(Mutex<Written>);

#[derive(Debug, Default)]
struct Written {
    bytes: u64,
    sealed: bool,
}

impl Meter {
    fn written(&self) -> u64 {
        let written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        written.bytes
    }

    /// Refuses all later writes and returns the final count.
    fn seal(&self) -> u64 {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        written.sealed = true;
        written.bytes
    }

    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if written.sealed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let res = write();
        if let Poll::Ready(Ok(n)) = &res {
            written.bytes += *n as u64;
        }
        res
    }
}

/// A socket whose writes are counted.
#[derive(Debug)]
struct Metered {
    stream: Checked<Box<dyn Stream>>,
    meter: Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buf.remaining().min(READ_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Metered { stream, meter, .. } = self.get_mut();
        meter.write(|| Pin::new(stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Metered { stream, meter, .. } = self.get_mut();
        meter.write(|| Pin::new(stream).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
