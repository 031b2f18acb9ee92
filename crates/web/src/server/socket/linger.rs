//! Reads on after an answer to a request that wasn't read to its end.
//!
//! Closing a socket with unread bytes resets the connection, and the caller, which may still
//! be sending, would lose the answer.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Longest time for which a connection lingers.
const LINGER: Duration = Duration::from_secs(1);

/// Most bytes that are read meanwhile.
const LINGER_BYTES: usize = 8 << 20;

/// Size of the buffer into which they are read, in bytes.
const CHUNK: usize = 4 << 10;

/// A connection that lingers.
pub(super) struct Linger {
    timer: Pin<Box<Sleep>>,
    left: usize,
}

impl Linger {
    pub(super) fn start() -> Self {
        Linger {
            timer: Box::pin(sleep(LINGER)),
            left: LINGER_BYTES,
        }
    }

    /// Reads until the caller closes its side, or has had its time.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, stream: &mut TcpStream) -> Poll<()> {
        let mut chunk = [0; CHUNK];
        while self.timer.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut chunk);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) => {}
            }
            let read = buf.filled().len();
            if read == 0 || read >= self.left {
                return Poll::Ready(());
            }
            self.left -= read;
        }
        Poll::Ready(())
    }
}
