//! Limits the number of open connections and closes idle ones to make room.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use crate::body::Body;

/// The slots for open connections.
#[derive(Debug)]
pub(crate) struct Slots {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Incremented for each stamp; orders idle connections by the time they became idle.
    stamp: u64,
    /// Open connections by id, each with the token that closes it.
    open: BTreeMap<u64, CancellationToken>,
    /// Ids of idle connections by stamp.
    idle: BTreeMap<u64, u64>,
}

impl Slots {
    pub(crate) fn new(max: usize) -> Self {
        Slots {
            max,
            state: Mutex::default(),
        }
    }

    /// Takes a slot. If all are taken, closes the connection that has been idle longest;
    /// returns `None` if every connection is busy.
    ///
    /// Otherwise thousands of connections that send nothing could take all slots, and
    /// callers would be refused while the instance has nothing to do. An idle connection
    /// has no request, so closing one loses nothing.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Slot> {
        let mut state = self.lock();
        if state.open.len() >= self.max {
            let (_, id) = state.idle.pop_first()?;
            base::hit!(idle_connection_closed);
            if let Some(kill) = state.open.remove(&id) {
                kill.cancel();
            }
        }
        let kill = CancellationToken::new();
        state.stamp += 1;
        let id = state.stamp;
        state.open.insert(id, kill.clone());
        state.idle.insert(id, id);
        Some(Slot {
            slots: Arc::clone(self),
            id,
            kill,
            stamp: Mutex::new(id),
        })
    }

    /// Closes all connections and returns their number.
    pub(crate) fn close_all(&self) -> usize {
        let state = self.lock();
        state.open.values().for_each(CancellationToken::cancel);
        state.open.len()
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
    stamp: Mutex<u64>,
}

impl Slot {
    /// Waits until the connection must be closed, to make room or at the end of a shutdown.
    pub(crate) fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.kill.cancelled()
    }

    /// Marks the connection busy until the returned value is dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> Busy {
        let stamp = *self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        self.slots.lock().idle.remove(&stamp);
        Busy(Arc::clone(self))
    }

    fn idle(&self) {
        let mut state = self.slots.lock();
        if !state.open.contains_key(&self.id) {
            return;
        }
        state.stamp += 1;
        let now = state.stamp;
        state.idle.insert(now, self.id);
        *self.stamp.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let stamp = *self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.slots.lock();
        state.open.remove(&self.id);
        state.idle.remove(&stamp);
    }
}

/// Keeps a connection marked as busy while a request is under way on it.
#[derive(Debug)]
pub(crate) struct Busy(Arc<Slot>);

impl Busy {
    /// Returns `body` wrapped so that the connection stays busy until the body is written
    /// or dropped.
    pub(crate) fn until_end_of(self, body: Body) -> Body {
        BusyBody { body, _busy: self }.boxed_unsync()
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.idle();
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
