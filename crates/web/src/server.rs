//! HTTP/1.1 server that limits the resources a caller can take.
//!
//! There are limits on the time and size of a request's head, the size of a body as
//! announced by `content-length` ([`crate::body::read`] limits streamed ones), the number
//! of connections, and the time that an answer waits for a caller that doesn't read it.

mod refusal;
mod slots;
mod socket;

use std::{
    convert::Infallible, future::Future, panic::AssertUnwindSafe, sync::Arc, time::Duration,
};

use anyhow::Result;
use base::{Failure, Refusal, Verdict};
use futures::FutureExt;
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub(crate) use self::socket::Socket;
use self::{refusal::Refusals, slots::Slots, socket::Progress};
use crate::{body::Body, memory::Memory, reply};

/// Pause of the accept loop after an error of the system, such as too many open files;
/// without it the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size of the receive buffer of a caller's connection, in bytes. What a caller sends that isn't
/// read waits there, for each connection.
const RECEIVE_BUFFER: usize = 16 << 10;

/// Size of the send buffer of a caller's connection, in bytes.
const SEND_BUFFER: usize = 64 << 10;

/// Time in which the last answers are written, once requests that still run are answered for
/// their handlers.
const LAST_ANSWERS: Duration = Duration::from_millis(50);

/// Limits on the resources that callers can take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time until the head of a request is read, counted from the end of the previous
    /// request on the connection.
    pub header_time: Duration,
    /// Maximum size of a head, in bytes; at least 8,192, as hyper requires.
    pub header_bytes: usize,
    /// Maximum size of a body as announced by `content-length`, in bytes.
    pub body_bytes: u64,
    /// Maximum number of connections. Beyond it the connection that has been idle longest
    /// is closed; if none is idle, the new one is refused.
    pub connections: usize,
    /// Time without any progress of a write after which the connection is cut.
    pub write_stall: Duration,
    /// What all connections together can have the process hold.
    pub memory: Memory,
    /// Time after the start of a shutdown during which new connections are still
    /// accepted, since the load balancer's list of instances lags behind.
    pub linger: Duration,
    /// Time after that during which running requests may finish. Those that don't are told that
    /// they may have run.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_time: Duration::from_secs(15),
            header_bytes: 32 << 10,
            body_bytes: 1 << 20,
            connections: 4_096,
            write_stall: Duration::from_secs(20),
            memory: Memory::default(),
            linger: Duration::from_secs(3),
            drain: Duration::from_secs(300),
        }
    }
}

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Number of connections that were open at the end of [`Limits::drain`].
    pub cut: usize,
}

/// Serves until `shutdown` is cancelled, then shuts down gracefully: running requests
/// finish, each answer has `connection: close`, and new connections are accepted until
/// [`Limits::linger`] is over.
///
/// # Errors
///
/// Fails when the listener has no address.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    shutdown: CancellationToken,
) -> Result<Served>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    listener.local_addr()?;
    bound_buffers(&listener);
    let (drain, linger) = (limits.drain, limits.linger);
    let server = Arc::new(Server {
        slots: Arc::new(Slots::new(limits.connections, limits.memory.clone())),
        handler,
        limits,
        stopping: shutdown.clone(),
        closing: CancellationToken::new(),
        ending: CancellationToken::new(),
    });
    let tasks = TaskTracker::new();
    let linger = async {
        shutdown.cancelled().await;
        sleep(linger).await;
    };
    tokio::select! {
        () = linger => {}
        () = accept(listener, &server, &tasks) => {}
    }
    server.closing.cancel();
    tasks.close();
    if timeout(drain, tasks.wait()).await.is_ok() {
        return Ok(Served::default());
    }
    let cut = tasks.len();
    server.ending.cancel();
    timeout(LAST_ANSWERS, tasks.wait()).await.ok();
    server.slots.close_all();
    tasks.wait().await;
    Ok(Served { cut })
}

/// Bounds the kernel's buffers of all connections that will be accepted. Where it can't, the
/// kernel's own limits hold.
fn bound_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok();
    socket.set_send_buffer_size(SEND_BUFFER).ok();
}

/// State shared by all connections.
struct Server<H> {
    handler: H,
    limits: Limits,
    slots: Arc<Slots>,
    stopping: CancellationToken,
    closing: CancellationToken,
    /// Cancelled at the end of [`Limits::drain`].
    ending: CancellationToken,
}

async fn accept<H, F>(listener: TcpListener, server: &Arc<Server<H>>, tasks: &TaskTracker)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let refusals = Refusals::default();
    loop {
        server.slots.settled().await;
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(slot) = server.slots.open() else {
            refusals.refuse(stream);
            continue;
        };
        tasks.spawn(connection(stream, slot, Arc::clone(server)));
    }
}

async fn connection<H, F>(stream: TcpStream, slot: slots::Slot, server: Arc<Server<H>>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let slot = Arc::new(slot);
    let progress = Arc::<Progress>::default();
    let limits = &server.limits;
    let socket = Socket::new(
        stream,
        Arc::clone(&slot),
        limits.memory.clone(),
        Arc::clone(&progress),
        limits.write_stall,
    );
    let io = TokioIo::new(socket);
    let service = service_fn(|req: Request<Incoming>| {
        let (slot, server, progress) = (
            Arc::clone(&slot),
            Arc::clone(&server),
            Arc::clone(&progress),
        );
        async move {
            let asked = (req.version(), req.method().clone());
            let has_body = !req.body().is_end_stream();
            let resp = answer(req, &slot, &server, &progress).await;
            if ends_with_connection(&asked, &resp) {
                progress.end_with_connection();
            }
            if resp.status() == StatusCode::SWITCHING_PROTOCOLS {
                progress.upgrade();
            }
            if has_body && !resp.status().is_success() {
                progress.linger();
            }
            Ok::<_, Infallible>(resp)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(server.limits.header_time)
        .max_buf_size(server.limits.header_bytes)
        .serve_connection(io, service)
        .with_upgrades();
    let mut conn = std::pin::pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // First, so that no request is read from a connection that is being closed.
            biased;
            () = slot.closed() => return,
            // Errors of a connection concern its caller only, so they are ignored.
            _ = conn.as_mut() => return,
            () = server.closing.cancelled(), if !closing => {
                closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer<H, F>(
    mut req: Request<Incoming>,
    slot: &Arc<slots::Slot>,
    server: &Server<H>,
    progress: &Arc<Progress>,
) -> Response<Body>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let held = server.limits.memory.request();
    let busy = slot.busy(
        Arc::clone(progress),
        held.as_ref().cloned().unwrap_or_default(),
    );
    let mut resp = match held {
        _ if req.body().size_hint().lower() > server.limits.body_bytes => {
            base::hit!(announced_too_large);
            reply::failure(&Failure::not_run(Refusal::TooLarge))
        }
        Ok(held) => {
            req.extensions_mut().insert(held);
            tokio::select! {
                biased;
                resp = catch_panic(&server.handler, req) => resp,
                () = server.ending.cancelled() => {
                    base::hit!(answered_for_its_handler);
                    closing(reply::failure(&Failure {
                        reason: Refusal::TargetFailed,
                        verdict: Verdict::MayHaveRun,
                        retry: None,
                    }))
                }
            }
        }
        Err(no_room) => {
            base::hit!(request_without_room);
            closing(reply::failure(&no_room))
        }
    };
    if server.stopping.is_cancelled() && !resp.headers().contains_key(CONNECTION) {
        resp = closing(resp);
    }
    resp.map(|body| busy.until_end_of(body))
}

/// Returns an answer after which the connection is closed.
fn closing(mut resp: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(CONNECTION, close);
    resp
}

/// Returns whether an answer will have neither a length nor chunks, so that it ends with its
/// connection.
fn ends_with_connection((asked, method): &(Version, Method), resp: &Response<Body>) -> bool {
    let chunked = *asked != Version::HTTP_10 && resp.version() != Version::HTTP_10;
    let bodiless = *method == Method::HEAD || matches!(resp.status().as_u16(), 204 | 304);
    let sized = resp.headers().contains_key(CONTENT_LENGTH);
    !chunked && !bodiless && !sized && resp.body().size_hint().exact().is_none()
}

/// Runs the handler and turns a panic in it into an answer, so that one request can
/// neither end the process nor leave its caller waiting.
async fn catch_panic<H, F>(handler: &H, req: Request<Incoming>) -> Response<Body>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let call = AssertUnwindSafe(async { handler(req).await });
    match call.catch_unwind().await {
        Ok(resp) => resp,
        Err(_) => {
            base::hit!(handler_panic);
            let mut resp = reply::failure(&Failure {
                reason: Refusal::TargetFailed,
                verdict: Verdict::MayHaveRun,
                retry: None,
            });
            *resp.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            resp
        }
    }
}
