//! Serves HTTP/1.1 so that no caller can cost more than its share.
//!
//! Bounded are: the time and size of a head, the size of a body that is
//! announced (what is streamed, [`crate::body::read`] bounds), the number of
//! connections, and how long an answer may wait for a caller that doesn't
//! read.

mod refusal;
mod slots;
mod stall;

use std::{
    convert::Infallible, future::Future, panic::AssertUnwindSafe, sync::Arc, time::Duration,
};

use anyhow::Result;
use base::{Failure, Refusal, Verdict};
use futures::FutureExt;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::{refusal::Refusals, slots::Slots, stall::Stalling};
use crate::{body::Body, reply};

/// How long the accept loop rests after an error of the system, such as too
/// many open files: without a rest it would spin.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// What callers may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until a head is read, counted from the end of the request before.
    pub header_time: Duration,
    /// Largest head, in bytes; at least 8,192.
    pub header_bytes: usize,
    /// Largest body that may be announced, in bytes.
    pub body_bytes: u64,
    /// Most connections; beyond them the longest idle one is closed, and a
    /// new one is refused where none is idle.
    pub connections: usize,
    /// How long a caller may refuse to read before it is cut off.
    pub write_stall: Duration,
    /// After the stop was asked for, how long new connections are still taken
    /// because the balancer's list lags.
    pub linger: Duration,
    /// After that, how long requests may still run.
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
            linger: Duration::from_secs(3),
            drain: Duration::from_secs(300),
        }
    }
}

/// How serving ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Connections cut off because they outlasted [`Limits::drain`].
    pub cut: usize,
}

/// Serves until `shutdown` is cancelled, then stops in order: requests under
/// way end, each answer says `connection: close`, new connections are taken
/// until [`Limits::linger`] is over.
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
    let site = Arc::new(Site {
        handler,
        limits,
        slots: Arc::new(Slots::new(limits.connections)),
        stopping: shutdown.clone(),
        closing: CancellationToken::new(),
    });
    let tasks = TaskTracker::new();
    let linger = async {
        shutdown.cancelled().await;
        sleep(limits.linger).await;
    };
    tokio::select! {
        () = linger => {}
        () = accept(listener, &site, &tasks) => {}
    }
    site.closing.cancel();
    tasks.close();
    if timeout(limits.drain, tasks.wait()).await.is_ok() {
        return Ok(Served::default());
    }
    let cut = site.slots.close_all();
    tasks.wait().await;
    Ok(Served { cut })
}

struct Site<H> {
    handler: H,
    limits: Limits,
    slots: Arc<Slots>,
    stopping: CancellationToken,
    closing: CancellationToken,
}

async fn accept<H, F>(listener: TcpListener, site: &Arc<Site<H>>, tasks: &TaskTracker)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let refusals = Refusals::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_REST).await;
            continue;
        };
        let Some(slot) = site.slots.open() else {
            refusals.refuse(stream);
            continue;
        };
        tasks.spawn(connection(stream, slot, Arc::clone(site)));
    }
}

async fn connection<H, F>(stream: TcpStream, slot: slots::Slot, site: Arc<Site<H>>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let slot = Arc::new(slot);
    let io = TokioIo::new(Stalling::new(stream, site.limits.write_stall));
    let service = service_fn(|req| {
        let (slot, site) = (Arc::clone(&slot), Arc::clone(&site));
        async move { Ok::<_, Infallible>(answer(req, &slot, &site).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(site.limits.header_time)
        .max_buf_size(site.limits.header_bytes)
        .serve_connection(io, service)
        .with_upgrades();
    let mut conn = std::pin::pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // What broke a connection is its caller's affair.
            _ = conn.as_mut() => return,
            () = slot.closed() => return,
            () = site.closing.cancelled(), if !closing => {
                closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer<H, F>(
    req: Request<Incoming>,
    slot: &Arc<slots::Slot>,
    site: &Site<H>,
) -> Response<Body>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let busy = slot.busy();
    let mut resp = if req.body().size_hint().lower() > site.limits.body_bytes {
        base::hit!(announced_too_large);
        reply::failure(&Failure::not_run(Refusal::TooLarge))
    } else {
        guarded(&site.handler, req).await
    };
    if site.stopping.is_cancelled() && !resp.headers().contains_key(CONNECTION) {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, close);
    }
    resp.map(|body| busy.until_end_of(body))
}

/// Runs the handler; a panic in it becomes an answer, so that one bad request
/// neither kills the process nor leaves its caller waiting.
async fn guarded<H, F>(handler: &H, req: Request<Incoming>) -> Response<Body>
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
