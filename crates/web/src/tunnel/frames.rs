//! Frames in which a helper passes on what the server sends.
//!
//! A helper that is killed closes its connections as a server does that has finished. So
//! each piece has its length before it, and an empty one says that the server has closed its
//! connection in order. Whatever else ends the connection is a break.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest piece in one frame, in bytes.
pub(super) const PIECE_MAX: usize = 16 << 10;

/// Size of a piece's length, in bytes.
const LENGTH: usize = size_of::<u16>();

/// A piece with its length before it.
pub(super) struct Frame(Vec<u8>);

impl Frame {
    pub(super) fn new() -> Self {
        Frame(vec![0; LENGTH + PIECE_MAX])
    }

    /// Returns the room for a piece.
    pub(super) fn room(&mut self) -> &mut [u8] {
        &mut self.0[LENGTH..]
    }

    /// Returns the frame of the first `length` bytes of the room; none end the stream.
    pub(super) fn of(&mut self, length: usize) -> &[u8] {
        let short = u16::try_from(length).expect("a piece is no larger than its room");
        self.0[..LENGTH].copy_from_slice(&short.to_be_bytes());
        &self.0[..LENGTH + length]
    }
}

/// The client's end of a tunnel.
#[derive(Debug)]
pub struct TunnelStream {
    io: TcpStream,
    /// Bytes that have come and were not read yet.
    raw: BytesMut,
    /// Bytes that are left of the present piece.
    left: usize,
    /// Whether the server has closed its connection in order.
    ended: bool,
}

impl TunnelStream {
    pub(super) fn new(io: TcpStream, early: &Bytes) -> Self {
        TunnelStream {
            io,
            raw: BytesMut::from(&early[..]),
            left: 0,
            ended: false,
        }
    }

    /// Returns the connection to the helper.
    #[must_use]
    pub fn get_ref(&self) -> &TcpStream {
        &self.io
    }

    /// Begins the next piece if the present one was read and its length has come.
    fn begin_piece(&mut self) {
        if self.left == 0 && !self.ended && self.raw.len() >= LENGTH {
            self.left = usize::from(self.raw.get_u16());
            self.ended = self.left == 0;
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            this.begin_piece();
            if this.ended {
                return Poll::Ready(Ok(()));
            }
            let ready = this.left.min(this.raw.len()).min(buf.remaining());
            if ready > 0 {
                buf.put_slice(&this.raw[..ready]);
                this.raw.advance(ready);
                this.left -= ready;
                return Poll::Ready(Ok(()));
            }
            let mut chunk = [0; PIECE_MAX];
            let mut read = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut this.io).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            this.raw.extend_from_slice(read.filled());
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
