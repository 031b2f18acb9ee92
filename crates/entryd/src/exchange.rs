//! One request's bytes, from the caller's body to the last piece of the
//! answer; what is done with them is the node's decision.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::Ticket;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header::HeaderValue};
use node::{Ending, Flow, Input};
use serde_json::{Map, Value};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    task::AbortHandle,
};
use tracing::Span;
use web::{
    body::{self, Body, Writer},
    reply, sse,
};
use wire::call::Answer;

use crate::state::State;

/// Pieces of an answer that may wait for a slow caller; then the attempt's
/// connection isn't read any further.
const DEPTH: usize = 64;

/// Silence of a stream of events after which it gives a sign of life: a few of
/// them fit into the shortest limit of whoever reads it.
const SIGN_EVERY: Duration = Duration::from_secs(1);

/// What the caller sent.
#[derive(Debug)]
pub(crate) enum Ask {
    /// A chat completion.
    Chat {
        /// Its JSON body; the model is named anew for each hop.
        body: Map<String, Value>,
        stream: bool,
        prefix: u64,
    },
    /// A call of a plain service.
    Plain {
        method: Method,
        path: String,
        headers: HeaderMap,
        body: Bytes,
    },
}

/// A head or a piece of an answer, until the node says what to do with it.
#[derive(Debug)]
pub(crate) enum Item {
    Head(StatusCode, HeaderMap),
    Piece(Bytes, OwnedSemaphorePermit),
}

/// One request under way.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) ticket: Ticket,
    pub(crate) ask: Ask,
    /// The idempotency key as the caller wrote it, for the target alone.
    pub(crate) key: Option<String>,
    pub(crate) span: Span,
    room: Arc<Semaphore>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answer: Option<oneshot::Sender<Response<Body>>>,
    pump: Option<mpsc::UnboundedSender<Step>>,
    held: Option<(StatusCode, HeaderMap)>,
    parts: Vec<Bytes>,
    items: BTreeMap<u64, Item>,
    attempts: BTreeMap<u32, AbortHandle>,
}

/// What the pump does next.
enum Step {
    Piece(Bytes, OwnedSemaphorePermit),
    Last(Bytes),
    End,
}

impl Exchange {
    /// Makes an exchange and the place where its answer will come.
    pub(crate) fn new(
        ticket: Ticket,
        ask: Ask,
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
            ask,
            key,
            span,
            room: Arc::new(Semaphore::new(DEPTH)),
            inner: Mutex::new(inner),
        };
        (Arc::new(exchange), rx)
    }

    /// Waits for room for one more piece.
    pub(crate) async fn room(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.room).acquire_owned().await.ok()
    }

    pub(crate) fn note_attempt(&self, attempt: u32, task: AbortHandle) {
        self.lock().attempts.insert(attempt, task);
    }

    /// Breaks an attempt off; its connection is closed.
    pub(crate) fn abandon(&self, attempt: u32) {
        if let Some(task) = self.lock().attempts.remove(&attempt) {
            task.abort();
        }
    }

    /// Keeps a head or piece until the node has decided about `step`.
    pub(crate) fn keep(&self, step: u64, item: Item) {
        self.lock().items.insert(step, item);
    }

    /// Forgets the item of a step that the node has decided about.
    pub(crate) fn forget(&self, step: u64) {
        self.lock().items.remove(&step);
    }

    /// Carries out what the node decided about a step.
    pub(crate) fn flow(self: &Arc<Self>, state: &Arc<State>, step: u64, flow: Flow) {
        let mut inner = self.lock();
        match flow {
            Flow::Pass => {
                if let Some(item) = inner.items.remove(&step) {
                    self.pass(&mut inner, state, item);
                }
            }
            Flow::Hold => {
                if let Some(item) = inner.items.remove(&step) {
                    inner.hold(item);
                }
            }
            Flow::Drop => inner.drop_held(),
            Flow::Release => inner.release(),
        }
    }

    fn pass(self: &Arc<Self>, inner: &mut Inner, state: &Arc<State>, item: Item) {
        match item {
            Item::Head(status, headers) => {
                let (writer, body) = open_body(&headers);
                let (tx, rx) = mpsc::unbounded_channel();
                tokio::spawn(pump(Arc::clone(state), self.ticket, writer, rx));
                inner.pump = Some(tx);
                inner.respond(response(status, headers, body));
            }
            Item::Piece(bytes, permit) => inner.write(Step::Piece(bytes, permit)),
        }
    }

    /// Gives the last answer.
    pub(crate) fn finish(&self, end: Ending) {
        let mut inner = self.lock();
        match end {
            Ending::Whole => inner.write(Step::End),
            Ending::Replay(answer) => inner.respond(kept(answer)),
            Ending::Failed(failure) => inner.respond(reply::failure(&failure)),
            Ending::Broken(failure) if self.streams() => {
                inner.write(Step::Last(sse::error(&failure)));
            }
            // A body without events can't carry an error: it is cut visibly.
            Ending::Broken(_) => inner.pump = None,
        }
    }

    fn streams(&self) -> bool {
        matches!(self.ask, Ask::Chat { stream: true, .. })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Holds an item; the room that it took is given back, because an answer
    /// that is held has a size limit of its own.
    fn hold(&mut self, item: Item) {
        match item {
            Item::Head(status, headers) => self.held = Some((status, headers)),
            Item::Piece(bytes, _) => self.parts.push(bytes),
        }
    }

    fn drop_held(&mut self) {
        self.held = None;
        self.parts.clear();
    }

    /// Gives the caller an answer that was held until it was whole.
    fn release(&mut self) {
        let whole = std::mem::take(&mut self.parts).concat();
        if let Some((status, headers)) = self.held.take() {
            self.respond(response(status, headers, body::full(whole)));
        }
    }

    fn respond(&mut self, resp: Response<Body>) {
        if let Some(answer) = self.answer.take() {
            // The caller may have left.
            answer.send(resp).ok();
        }
    }

    fn write(&mut self, step: Step) {
        if let Some(pump) = &self.pump {
            // The caller may have left.
            pump.send(step).ok();
        }
    }
}

/// Makes the body of an answer that is passed on; events between which signs
/// of life may stand get them.
fn open_body(headers: &HeaderMap) -> (Writer, Body) {
    let kind = headers.get(hyper::header::CONTENT_TYPE);
    if kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream")) {
        return body::keepalive_channel(1, SIGN_EVERY, Bytes::from_static(sse::PING));
    }
    body::channel(1)
}

/// Writes what was passed on, as fast as the caller reads it.
async fn pump(
    state: Arc<State>,
    ticket: Ticket,
    writer: Writer,
    mut steps: mpsc::UnboundedReceiver<Step>,
) {
    loop {
        let step = tokio::select! {
            step = steps.recv() => step,
            () = writer.gone() => {
                state.tell(Input::CallerGone(ticket));
                return;
            }
        };
        let wrote = match step {
            Some(Step::Piece(bytes, permit)) => {
                let wrote = writer.piece(bytes).await;
                drop(permit);
                wrote
            }
            Some(Step::Last(bytes)) => {
                writer.piece(bytes).await.ok();
                writer.end().await.ok();
                return;
            }
            Some(Step::End) => {
                writer.end().await.ok();
                return;
            }
            // The exchange ended without an end: the body is cut.
            None => return,
        };
        if wrote.is_err() {
            state.tell(Input::CallerGone(ticket));
            return;
        }
    }
}

fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut resp = Response::new(body);
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}

fn kept(answer: Answer) -> Response<Body> {
    let mut resp = Response::new(body::full(answer.body));
    let status = StatusCode::from_u16(answer.status);
    *resp.status_mut() = status.unwrap_or(StatusCode::OK);
    if let Ok(content) = HeaderValue::try_from(answer.content) {
        let name = hyper::header::CONTENT_TYPE;
        resp.headers_mut().insert(name, content);
    }
    resp
}
