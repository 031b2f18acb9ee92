//! Limits the number of open connections and closes idle ones to make room: first those that
//! have never sent a whole request, then the others, the longest idle first.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use super::socket::Progress;
use crate::{
    body::Body,
    memory::{Held, Limited, Memory},
};

/// Longest wait for a socket that is to be closed.
const CLOSE_WAIT: Duration = Duration::from_millis(100);

/// The slots for open connections.
#[derive(Debug)]
pub(crate) struct Slots {
    max: usize,
    memory: Memory,
    state: Mutex<State>,
    /// Notified when a socket has been closed.
    closed: Notify,
}

/// When a connection became idle, and whether it has had a request before; those that are
/// closed first come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Idle {
    served: bool,
    stamp: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Incremented for each stamp; orders idle connections by the time they became idle.
    stamp: u64,
    /// Sockets that aren't closed yet: those of open connections, and of connections that make
    /// room.
    sockets: usize,
    /// Open connections by id, each with the token that closes it.
    open: BTreeMap<u64, CancellationToken>,
    /// Ids of idle connections, the first one to close first.
    idle: BTreeMap<Idle, u64>,
}

impl Slots {
    pub(crate) fn new(max: usize, memory: Memory) -> Self {
        Slots {
            max,
            memory,
            state: Mutex::default(),
            closed: Notify::new(),
        }
    }

    /// Waits until the connections that make room for others have closed their sockets. A busy
    /// process closes them late, and would accept others meanwhile.
    pub(crate) async fn settled(&self) {
        loop {
            let closed = self.closed.notified();
            if self.lock().sockets <= self.max {
                return;
            }
            if timeout(CLOSE_WAIT, closed).await.is_err() {
                return;
            }
        }
    }

    /// Takes a slot. If all are taken, closes an idle connection; returns `None` if every
    /// connection is busy.
    ///
    /// Otherwise thousands of connections that send nothing could take all slots, and
    /// callers would be refused while the instance has nothing to do. An idle connection
    /// has no request, so closing one loses nothing.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Slot> {
        let mut state = self.lock();
        if state.open.len() >= self.max {
            let Some((_, id)) = state.idle.pop_first() else {
                self.memory.report(Limited::Connection);
                return None;
            };
            base::hit!(idle_connection_closed);
            self.memory.report(Limited::Idle);
            if let Some(kill) = state.open.remove(&id) {
                kill.cancel();
            }
        }
        let kill = CancellationToken::new();
        state.stamp += 1;
        state.sockets += 1;
        let id = state.stamp;
        let idle = Idle {
            served: false,
            stamp: id,
        };
        state.open.insert(id, kill.clone());
        state.idle.insert(idle, id);
        Some(Slot {
            slots: Arc::clone(self),
            id,
            kill,
            idle: Mutex::new(idle),
        })
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        let state = self.lock();
        state.open.values().for_each(CancellationToken::cancel);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of one connection.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    id: u64,
    kill: CancellationToken,
    idle: Mutex<Idle>,
}

impl Slot {
    /// Waits until the connection must be closed, to make room or at the end of a shutdown.
    pub(crate) fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.kill.cancelled()
    }

    /// Returns the token that closes the connection.
    pub(crate) fn token(&self) -> &CancellationToken {
        &self.kill
    }

    /// Marks the connection busy until the returned value is dropped, and has it hold `held`
    /// until then.
    pub(crate) fn busy(self: &Arc<Self>, progress: Arc<Progress>, held: Held) -> Busy {
        let idle = *self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        self.slots.lock().idle.remove(&idle);
        progress.begin_answer();
        Busy {
            slot: Arc::clone(self),
            progress,
            _held: held,
        }
    }

    /// Notes that an idle connection was used.
    pub(crate) fn used(&self) {
        let idle = *self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        self.slots.lock().idle.remove(&idle);
        self.idle();
    }

    fn idle(&self) {
        let mut state = self.slots.lock();
        if !state.open.contains_key(&self.id) {
            return;
        }
        state.stamp += 1;
        let idle = Idle {
            served: true,
            stamp: state.stamp,
        };
        state.idle.insert(idle, self.id);
        *self.idle.lock().unwrap_or_else(PoisonError::into_inner) = idle;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let idle = *self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.slots.lock();
        state.open.remove(&self.id);
        state.idle.remove(&idle);
        state.sockets -= 1;
        drop(state);
        self.slots.closed.notify_one();
    }
}

/// Keeps a connection marked as busy while a request is under way on it.
#[derive(Debug)]
pub(crate) struct Busy {
    slot: Arc<Slot>,
    progress: Arc<Progress>,
    _held: Held,
}

impl Busy {
    /// Returns `body` wrapped so that the connection stays busy until the body is written
    /// or dropped.
    pub(crate) fn until_end_of(self, body: Body) -> Body {
        BusyBody { body, _busy: self }.boxed_unsync()
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.progress.end_answer(self.slot.token());
        self.slot.idle();
    }
}

/// A body that keeps its connection marked as busy.
struct BusyBody {
    body: Body,
    _busy: Busy,
}

impl HttpBody for BusyBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
