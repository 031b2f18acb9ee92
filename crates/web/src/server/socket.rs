//! The socket of a caller, with bounds on what its caller can have the process hold.

mod linger;

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use self::linger::Linger;
use super::slots::Slot;
use crate::memory::{Holder, Memory};

/// Most bytes of one read; hyper would let its buffer grow with what is there.
const READ_MAX: usize = 8 << 10;

/// Bytes of a head that each connection may hold without a reservation.
const SMALL_HEAD: usize = 8 << 10;

/// What the socket has to know of the request on it.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether a request is being answered.
    answering: AtomicBool,
    /// Whether the answer ends with the connection.
    ends: AtomicBool,
    /// Whether the request may not have been read when the connection is closed.
    lingers: AtomicBool,
    /// Whether the connection was handed over to another protocol.
    upgraded: AtomicBool,
    head: Mutex<Head>,
}

/// The head that is being read, and the room for large ones.
#[derive(Debug, Default)]
struct Head {
    bytes: usize,
    held: Option<Holder>,
}

impl Progress {
    /// Notes that a head is complete.
    pub(crate) fn begin_answer(&self) {
        self.answering.store(true, Ordering::Relaxed);
        let mut head = self.head();
        head.bytes = 0;
        if let Some(held) = &head.held {
            held.finish();
        }
    }

    /// Notes that an answer is complete, or was dropped. The buffer of a large head stays; the
    /// connection is closed if others need the room.
    pub(crate) fn end_answer(&self, connection: &CancellationToken) {
        if let Some(held) = &self.head().held {
            held.may_be_given_up(connection);
        }
        self.answering.store(false, Ordering::Relaxed);
    }

    /// Notes that the next answer ends with the connection.
    pub(crate) fn end_with_connection(&self) {
        self.ends.store(true, Ordering::Relaxed);
    }

    /// Notes that bytes may come that nobody reads.
    pub(crate) fn linger(&self) {
        self.lingers.store(true, Ordering::Relaxed);
    }

    /// Notes that the connection is handed over to another protocol.
    pub(crate) fn upgrade(&self) {
        self.upgraded.store(true, Ordering::Relaxed);
    }

    fn is(flag: &AtomicBool) -> bool {
        flag.load(Ordering::Relaxed)
    }

    fn head(&self) -> std::sync::MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's socket.
///
/// Writes fail if they make no progress for a time, or if there is no room for an answer that
/// waits: a caller that never reads its answer, or whose connection is dead, would hold buffers
/// until the kernel gives up after a quarter of an hour. Reads fail if there is no room for a
/// large head.
pub(crate) struct Socket {
    stream: TcpStream,
    /// The connection's slot; kept for as long as the socket is open.
    slot: Arc<Slot>,
    memory: Memory,
    progress: Arc<Progress>,
    /// Time without progress of a write after which it fails.
    limit: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
    /// The room for an answer while a write is pending.
    unread: Option<Holder>,
    /// Whether the kernel resets the connection unless it is shut down first.
    resets: bool,
    /// Reads what nobody waits for, once the connection is shut down.
    linger: Option<Linger>,
    /// Ends when the slot is taken by another connection, on an upgraded one.
    closed: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
}

impl Socket {
    pub(crate) fn new(
        stream: TcpStream,
        slot: Arc<Slot>,
        memory: Memory,
        progress: Arc<Progress>,
        limit: Duration,
    ) -> Self {
        Socket {
            stream,
            slot,
            memory,
            progress,
            limit,
            timer: None,
            unread: None,
            resets: false,
            linger: None,
            closed: None,
        }
    }

    /// Returns the socket without the bounds.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Has the connection reset, however it ends, unless it is shut down in order.
    ///
    /// An answer that ends with its connection looks complete after an orderly close, and a
    /// socket that is dropped, also by the kernel at the end of the process, is closed in
    /// order.
    fn reset_unless_shut_down(&mut self) -> io::Result<()> {
        if Progress::is(&self.progress.ends) && !self.resets {
            self.stream.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        res: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if res.is_ready() {
            self.timer = None;
            self.unread = None;
            return res;
        }
        if self.unread.is_none() {
            self.unread = self.memory.unread_answer();
        }
        if self.unread.is_none() {
            base::hit!(unread_answer_without_room);
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        base::hit!(stalled_reader);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Counts bytes of a head.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for a large one.
    fn count_head(&self, more: usize) -> io::Result<()> {
        if Progress::is(&self.progress.answering) {
            return Ok(());
        }
        let mut head = self.progress.head();
        head.bytes += more;
        if head.bytes <= SMALL_HEAD {
            return Ok(());
        }
        if let Some(held) = &head.held {
            held.progress();
            return Ok(());
        }
        head.held = self.memory.head(self.slot.token());
        if head.held.is_none() {
            base::hit!(head_without_room);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    /// Fails the reads of an upgraded connection whose slot another one has taken. Nothing
    /// else looks at the slot any more.
    fn check_slot(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let closed = &mut self.closed;
        let closed =
            closed.get_or_insert_with(|| Box::pin(self.slot.token().clone().cancelled_owned()));
        closed
            .as_mut()
            .poll(cx)
            .map(|()| io::ErrorKind::ConnectionAborted.into())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let upgraded = Progress::is(&this.progress.upgraded);
        if upgraded && let Poll::Ready(err) = this.check_slot(cx) {
            return Poll::Ready(Err(err));
        }
        let most = buf.remaining().min(READ_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if upgraded {
            this.slot.used();
        } else {
            this.count_head(read)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
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
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if !Progress::is(&this.progress.lingers) {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_with(Linger::start);
        linger.poll(cx, &mut this.stream).map(Ok)
    }
}
