//! A socket whose writes fail when the peer stops reading, and that is reset where closing
//! it would look like the end of an answer.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Whether the answer on a connection ends with that.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Notes that the next answer ends with the connection.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

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
    ends: EndsWithConnection,
    /// Whether the kernel resets the connection unless it is shut down first.
    resets: bool,
}

impl StallLimited {
    pub(crate) fn new(stream: TcpStream, limit: Duration, ends: EndsWithConnection) -> Self {
        StallLimited {
            stream,
            limit,
            timer: None,
            ends,
            resets: false,
        }
    }

    /// Has the connection reset, however it ends, unless it is shut down in order.
    ///
    /// An answer that ends with its connection looks complete after an orderly close, and a
    /// socket that is dropped, also by the kernel at the end of the process, is closed in
    /// order.
    fn reset_unless_shut_down(&mut self) -> io::Result<()> {
        if self.ends.is_set() && !self.resets {
            self.stream.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
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
        this.reset_unless_shut_down()?;
        let res = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.check_stall(cx, res)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.reset_unless_shut_down()?;
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

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.resets {
            SockRef::from(&this.stream).set_linger(None)?;
            this.resets = false;
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
