//! A connection of a peer whose unfinished messages are part of what all may have the process
//! hold.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::CancellationToken;
use web::memory::{Holder, Memory};

/// Size of the length before each message, in bytes.
const LENGTH: usize = 4;

/// Size up to which a message needs no reservation, in bytes.
const SMALL_MESSAGE: usize = 64 << 10;

/// A connection that fails if there is no room for a message.
///
/// A peer that announces a large message and sends all but its last byte would have the process
/// hold it for as long as the connection stands.
pub(crate) struct Bounded<S> {
    stream: S,
    memory: Memory,
    /// Cancelled if the message is given up for others.
    closed: CancellationToken,
    next: Next,
}

/// What comes next on the connection.
enum Next {
    /// The rest of a length; what has come of it.
    Length(Vec<u8>),
    /// So many bytes of a message.
    Message { left: usize, held: Option<Holder> },
}

impl<S> Bounded<S> {
    pub(crate) fn new(stream: S, memory: Memory, closed: CancellationToken) -> Self {
        Bounded {
            stream,
            memory,
            closed,
            next: Next::Length(Vec::new()),
        }
    }

    /// Follows the messages in what was read.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for one.
    fn follow(&mut self, mut read: &[u8]) -> io::Result<()> {
        while !read.is_empty() {
            read = match &mut self.next {
                Next::Length(begun) => {
                    let (part, rest) = read.split_at(read.len().min(LENGTH - begun.len()));
                    begun.extend_from_slice(part);
                    if let Ok(length) = <[u8; LENGTH]>::try_from(begun.as_slice()) {
                        self.begin(u32::from_be_bytes(length) as usize)?;
                    }
                    rest
                }
                Next::Message { left, held } => {
                    let (part, rest) = read.split_at(read.len().min(*left));
                    *left -= part.len();
                    if let Some(held) = held {
                        held.progress();
                    }
                    if *left == 0 {
                        self.next = Next::Length(Vec::new());
                    }
                    rest
                }
            };
        }
        Ok(())
    }

    fn begin(&mut self, left: usize) -> io::Result<()> {
        let held = match left > SMALL_MESSAGE {
            true => {
                let held = self.memory.message(left as u64, &self.closed);
                Some(held.ok_or(io::ErrorKind::OutOfMemory)?)
            }
            false => None,
        };
        self.next = match left {
            0 => Next::Length(Vec::new()),
            _ => Next::Message { left, held },
        };
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Bounded<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        Poll::Ready(this.follow(&buf.filled()[before..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Bounded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
