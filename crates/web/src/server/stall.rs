//! A socket that gives up when the other end doesn't read.

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

/// Fails a write that made no progress for `limit`.
///
/// Failure: a caller opens a long stream and never reads, or its connection
/// went silent. It shows as a place and buffers held until the kernel gives
/// up, a quarter of an hour later. Progress is measured here, by our own
/// clock.
pub(crate) struct Stalling {
    stream: TcpStream,
    limit: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Stalling {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Stalling {
            stream,
            limit,
            stalled: None,
        }
    }

    fn judge<T>(&mut self, cx: &mut Context<'_>, res: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if res.is_ready() {
            self.stalled = None;
            return res;
        }
        let limit = self.limit;
        let timer = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        base::hit!(stalled_reader);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stalling {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stalling {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.judge(cx, res)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.judge(cx, res)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let res = Pin::new(&mut this.stream).poll_flush(cx);
        this.judge(cx, res)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
