//! A connection whose answers are checked as they are read.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::head::{HeadFault, HeadReader, Upgrade};

/// The head that is awaited on a connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct AwaitedHead(Arc<Mutex<Awaited>>);

#[derive(Debug, Default)]
struct Awaited {
    reader: Option<HeadReader>,
    fault: Option<HeadFault>,
}

impl AwaitedHead {
    /// Creates the head of the next answer.
    #[must_use]
    pub fn new(upgrade: Upgrade) -> Self {
        let head = AwaitedHead::default();
        head.begin(upgrade);
        head
    }

    /// Notes that the next bytes are the head of an answer.
    pub(crate) fn begin(&self, upgrade: Upgrade) {
        let mut awaited = self.lock();
        awaited.reader = Some(HeadReader::new(upgrade));
        awaited.fault = None;
    }

    /// Notes that the head has been taken.
    pub(crate) fn end(&self) {
        self.lock().reader = None;
    }

    /// Returns why what came is no head.
    #[must_use]
    pub fn fault(&self) -> Option<HeadFault> {
        self.lock().fault
    }

    fn push(&self, bytes: &[u8]) -> Result<(), HeadFault> {
        let mut awaited = self.lock();
        let Some(reader) = &mut awaited.reader else {
            return Ok(());
        };
        reader.push(bytes).inspect_err(|fault| {
            base::hit!(malformed_head);
            awaited.fault = Some(*fault);
        })
    }

    fn lock(&self) -> MutexGuard<'_, Awaited> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that fails as soon as what is read isn't the head of an answer where one is
/// awaited.
#[derive(Debug)]
pub struct Checked<S> {
    stream: S,
    head: AwaitedHead,
}

impl<S> Checked<S> {
    /// Wraps a connection.
    pub fn new(stream: S, head: AwaitedHead) -> Self {
        Checked { stream, head }
    }

    /// Returns the connection.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Checked<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = self.head.push(&buf.filled()[before..]);
        Poll::Ready(read.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Checked<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
