//! A socket whose writes fail when the peer stops reading.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// A socket whose writes fail if they make no progress for `limit`.
///
/// If a caller opens a long stream and never reads it, or its connection is dead, the
/// kernel would give up only after a quarter of an hour, and the connection's slot and
/// buffers would be occupied until then.
pub(crate) struct StallLimited {
    stream: TcpStream,
    limit: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallLimited {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        StallLimited {
            stream,
            limit,
            timer: None,
        }
    }

    /// Returns the socket without the limit.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        res: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if res.is_ready() {
            self.timer = None;
            return res;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        base::hit!(stalled_reader);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallLimited {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.check_stall(cx, res)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.check_stall(cx, res)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_flush(cx);
        this.check_stall(cx, res)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
