//! The data of one request: the caller's body and the answer until its last piece is
//! written.
//!
//! The node decides what to do with each part of an answer and never sees the bytes. They
//! wait here until the node's decision, an [`Output::Flow`](node::Output::Flow), arrives.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::Ticket;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header::HeaderValue};
use node::{Ending, Flow, Input};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    task::AbortHandle,
};
use tracing::Span;
use web::{
    body::{self, Body, Writer},
    client::is_json,
    memory::HeldBack,
    reply, sse,
};
use wire::call::Answer;

use crate::state::State;

/// Most bytes of an answer that wait for a slow caller, in units of [`WAITING_UNIT`]. Beyond
/// them, the attempt's connection isn't read any further.
const MAX_WAITING: u32 = 64;

/// Least that a waiting piece counts for, in bytes.
const WAITING_UNIT: usize = 2 << 10;

/// Time without an event after which a keep-alive comment is written to an event stream.
/// A few of them fit into the shortest idle timeout of a reader.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A request as the caller sent it.
#[derive(Debug)]
pub(crate) enum CallerRequest {
    /// A chat completion.
    Chat {
        /// Its JSON body as the caller sent it; `model` and `priority` are replaced when it is
        /// sent to an engine.
        body: Bytes,
        /// Whether the answer is to be streamed.
        stream: bool,
        /// Hash of the beginning of the prompt.
        prefix: u64,
    },
    /// A request to a plain service.
    Plain {
        method: Method,
        /// Path and query to send to the target.
        path: String,
        headers: HeaderMap,
        body: Bytes,
    },
}

/// The head of an answer.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether only the end of the target's connection shows the end of the answer.
    pub(crate) closes: bool,
}

/// The head or a piece of an answer.
#[derive(Debug)]
pub(crate) enum Item {
    Head(Head),
    Piece(Bytes, OwnedSemaphorePermit),
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) ticket: Ticket,
    pub(crate) request: CallerRequest,
    /// The idempotency key as the caller wrote it. It is passed on to targets; the node
    /// gets only its hash.
    pub(crate) key: Option<String>,
    pub(crate) span: Span,
    /// Permits for pieces that may wait, see [`MAX_WAITING`].
    permits: Arc<Semaphore>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Takes the answer's head; none once it was sent.
    answer: Option<oneshot::Sender<Response<Body>>>,
    /// Takes the pieces of a body that is being passed on.
    pump: Option<mpsc::UnboundedSender<Write>>,
    /// Head of an answer that is held back until it is complete.
    held_head: Option<Head>,
    /// Pieces of an answer that is held back until it is complete.
    held_body: Vec<Bytes>,
    held_bytes: usize,
    /// The room for them, once they are complete.
    room: Option<HeldBack>,
    /// Heads and pieces that the node has not decided about, by the number of their step.
    undecided: BTreeMap<u64, Item>,
    /// Tasks of the attempts, by the number of the attempt.
    attempts: BTreeMap<u32, AbortHandle>,
}

/// A write to the body of the answer.
enum Write {
    Piece(Bytes, OwnedSemaphorePermit),
    /// A piece after which the body ends.
    Last(Bytes),
    End,
}

impl Exchange {
    /// Creates an exchange, and the channel on which the head of its answer arrives.
    pub(crate) fn new(
        ticket: Ticket,
        request: CallerRequest,
        key: Option<String>,
        span: Span,
    ) -> (Arc<Self>, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        let inner = Inner {
            answer: Some(tx),
            ..Inner::default()
        };
        let exchange = Exchange {
            ticket,
            request,
            key,
            span,
            permits: Arc::new(Semaphore::new(MAX_WAITING as usize)),
            inner: Mutex::new(inner),
        };
        (Arc::new(exchange), rx)
    }

    /// Waits until one more piece of `bytes` may be queued for the caller.
    pub(crate) async fn permit(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(WAITING_UNIT)).unwrap_or(u32::MAX);
        let units = units.clamp(1, MAX_WAITING);
        let permits = Arc::clone(&self.permits);
        permits.acquire_many_owned(units).await.ok()
    }

    pub(crate) fn insert_attempt(&self, attempt: u32, task: AbortHandle) {
        self.lock().attempts.insert(attempt, task);
    }

    /// Cancels an attempt, which closes its connection.
    pub(crate) fn cancel(&self, attempt: u32) {
        if let Some(task) = self.lock().attempts.remove(&attempt) {
            task.abort();
        }
    }

    /// Stores a head or piece until the node has decided about `step`.
    pub(crate) fn store(&self, step: u64, item: Item) {
        self.lock().undecided.insert(step, item);
    }

    /// Returns the bytes of the answer that is held back.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Has a complete answer keep the room that it takes.
    pub(crate) fn keep(&self, room: HeldBack) {
        room.finish();
        self.lock().room = Some(room);
    }

    /// Drops the head or piece of `step` if it is still stored.
    pub(crate) fn discard(&self, step: u64) {
        self.lock().undecided.remove(&step);
    }

    /// Carries out the node's decision about a step.
    pub(crate) fn flow(self: &Arc<Self>, state: &Arc<State>, step: u64, flow: Flow) {
        let mut inner = self.lock();
        match flow {
            Flow::Pass => {
                if let Some(item) = inner.undecided.remove(&step) {
                    self.pass(&mut inner, state, item);
                }
            }
            Flow::Hold => {
                if let Some(item) = inner.undecided.remove(&step) {
                    inner.hold(item);
                }
            }
            Flow::Drop => inner.drop_held(),
            Flow::Release => inner.release(),
        }
    }

    fn pass(self: &Arc<Self>, inner: &mut Inner, state: &Arc<State>, item: Item) {
        match item {
            Item::Head(head) => {
                let (writer, body) = open_body(&head.headers);
                let (tx, rx) = mpsc::unbounded_channel();
                tokio::spawn(pump(Arc::clone(state), self.ticket, writer, rx));
                inner.pump = Some(tx);
                inner.respond(response(head, body));
            }
            Item::Piece(bytes, permit) => inner.write(Write::Piece(bytes, permit)),
        }
    }

    /// Ends the answer as the node decided.
    pub(crate) fn finish(&self, end: Ending) {
        let mut inner = self.lock();
        match end {
            Ending::Whole => inner.write(Write::End),
            Ending::Replay(answer) => inner.respond(replay(answer)),
            Ending::Failed(failure) => inner.respond(reply::failure(&failure)),
            Ending::Broken(failure) if self.streams() => {
                inner.write(Write::Last(sse::error(&failure)));
            }
            // Only an event stream can carry an error. Any other body is cut off, which
            // the caller sees as an incomplete transfer.
            Ending::Broken(_) => inner.pump = None,
        }
    }

    fn streams(&self) -> bool {
        matches!(self.request, CallerRequest::Chat { stream: true, .. })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Holds a head or piece back. The piece's permit is released, as answers that are
    /// held back have a size limit of their own.
    fn hold(&mut self, item: Item) {
        match item {
            Item::Head(head) => self.held_head = Some(head),
            Item::Piece(bytes, _) => {
                self.held_bytes += bytes.len();
                self.held_body.push(bytes);
            }
        }
    }

    fn drop_held(&mut self) {
        self.held_head = None;
        self.held_bytes = 0;
        self.room = None;
        self.held_body.clear();
    }

    /// Sends an answer that was held back until it was complete to the caller.
    fn release(&mut self) {
        let body = std::mem::take(&mut self.held_body).concat();
        let room = self.room.take();
        let Some(mut head) = self.held_head.take() else {
            return;
        };
        // A JSON document was checked to be complete, so its length may be said.
        head.closes &= !is_json(&body);
        let body = Bytes::from_owner(HeldAnswer { body, _room: room });
        let body = match head.closes {
            true => body::unsized_full(body),
            false => body::full(body),
        };
        self.respond(response(head, body));
    }

    fn respond(&mut self, resp: Response<Body>) {
        if let Some(answer) = self.answer.take() {
            // Fails if the caller has disconnected.
            answer.send(resp).ok();
        }
    }

    fn write(&mut self, write: Write) {
        if let Some(pump) = &self.pump {
            // Fails if the caller has disconnected.
            pump.send(write).ok();
        }
    }
}

/// A complete answer that was held back, with the room that it takes until it is written.
struct HeldAnswer {
    body: Vec<u8>,
    _room: Option<HeldBack>,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Creates the body of an answer that is passed on. An event stream gets keep-alive
/// comments between its events.
fn open_body(headers: &HeaderMap) -> (Writer, Body) {
    let kind = headers.get(hyper::header::CONTENT_TYPE);
    if kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream")) {
        return body::keepalive_channel(1, KEEP_ALIVE_INTERVAL, Bytes::from_static(sse::PING));
    }
    body::channel(1)
}

/// Writes the pieces of an answer to its body, as fast as the caller reads them.
async fn pump(
    state: Arc<State>,
    ticket: Ticket,
    writer: Writer,
    mut writes: mpsc::UnboundedReceiver<Write>,
) {
    loop {
        let write = tokio::select! {
            write = writes.recv() => write,
            () = writer.gone() => {
                state.send_input(Input::CallerGone(ticket));
                return;
            }
        };
        let result = match write {
            Some(Write::Piece(bytes, permit)) => {
                let result = writer.piece(bytes).await;
                drop(permit);
                result
            }
            Some(Write::Last(bytes)) => {
                writer.piece(bytes).await.ok();
                writer.end().await.ok();
                return;
            }
            Some(Write::End) => {
                writer.end().await.ok();
                return;
            }
            // No end was written, so the body is cut off.
            None => return,
        };
        if result.is_err() {
            state.send_input(Input::CallerGone(ticket));
            return;
        }
    }
}

fn response(head: Head, body: Body) -> Response<Body> {
    let mut resp = Response::new(body);
    *resp.status_mut() = head.status;
    *resp.headers_mut() = head.headers;
    if head.closes {
        body::end_with_connection(&mut resp);
    }
    resp
}

fn replay(answer: Answer) -> Response<Body> {
    let mut resp = Response::new(body::full(answer.body));
    let status = StatusCode::from_u16(answer.status);
    *resp.status_mut() = status.unwrap_or(StatusCode::OK);
    if let Ok(content) = HeaderValue::try_from(answer.content) {
        let name = hyper::header::CONTENT_TYPE;
        resp.headers_mut().insert(name, content);
    }
    resp
}
