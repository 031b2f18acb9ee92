//! A stand-in for a plain HTTP service, which counts executions by path and by idempotency
//! key.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Result;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpListener, time::sleep};
use web::{Incoming, Request, Response, StatusCode, body::Body, header_value};
use wire::header;

use crate::{
    server::{self, Running},
    stall::{Stall, Stalled},
};

/// Statistics of a service, as `GET /admin/stats` returns them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests executed.
    pub executed: u64,
    /// Requests refused before they started.
    pub refused: u64,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u64>,
    /// Executions by path.
    pub paths: BTreeMap<String, u64>,
}

/// Faults of a service; `POST /admin/faults` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Delay before each execution, in milliseconds.
    pub slow_ms: u64,
    /// Number of requests to refuse before their execution.
    pub refuse: u32,
    /// Number of requests to execute, closing the connection within the answer.
    pub cut: u32,
    /// Number of requests to execute and never answer.
    pub mute: u32,
    /// Number of answers to send without a length or chunks. One that is cut as well has its
    /// connection closed in order within it.
    pub unframed: u32,
    /// Whether such answers are plain text instead of JSON.
    pub text: bool,
}

#[derive(Debug, Default)]
struct Service {
    state: Mutex<(Faults, Stats)>,
    stalled: Mutex<Stalled>,
}

/// Starts a plain service.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn start(listener: TcpListener) -> Result<Running> {
    let service = Arc::new(Service::default());
    server::run(listener, move |req| handle(Arc::clone(&service), req))
}

async fn handle(service: Arc<Service>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/health" => server::done(),
        "/admin/stats" => server::show(&service.lock().1),
        "/admin/faults" => match server::body(req).await {
            Ok(faults) => {
                service.lock().0 = faults;
                server::done()
            }
            Err(refused) => refused.answer(),
        },
        "/admin/stall" => match server::body::<Stall>(req).await {
            Ok(stall) => {
                service.stall(stall);
                server::done()
            }
            Err(refused) => refused.answer(),
        },
        _ => execute(&service, req).await,
    }
}

async fn execute(service: &Service, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let key = req.headers().get(header::IDEMPOTENCY_KEY).cloned();
    let limits = web::body::ReadLimits::default();
    let Ok(body) = web::body::read(req.into_body(), limits).await else {
        return server::refuse(StatusCode::BAD_REQUEST, "the request body is incomplete");
    };
    if take_fault(&mut service.lock().0.refuse) {
        service.lock().1.refused += 1;
        return server::refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "refused by an injected fault",
        );
    }
    let slow = service.lock().0.slow_ms;
    if slow > 0 {
        sleep(Duration::from_millis(slow)).await;
    }
    let nth = service.count(&path, key.as_ref().and_then(|k| k.to_str().ok()));
    let answer = json!({"path": path, "bytes": body.len(), "execution": nth}).to_string();
    if take_fault(&mut service.lock().0.mute) {
        return std::future::pending().await;
    }
    let stalled = service.stalled();
    stalled.before_head().await;
    let is_cut = take_fault(&mut service.lock().0.cut);
    if take_fault(&mut service.lock().0.unframed) {
        let text = service.lock().0.text;
        return unframed(&answer, is_cut, text);
    }
    if is_cut {
        return cut(&answer).await;
    }
    if stalled.amid() {
        return in_two_parts(&answer, stalled);
    }
    let mut resp = Response::new(web::body::full(answer));
    let kind = header_value("application/json");
    resp.headers_mut().insert("content-type", kind);
    resp
}

/// Announces the length of the full answer and ends the connection after half of it.
async fn cut(answer: &str) -> Response<Body> {
    let (writer, body) = web::body::channel(1);
    let half = Bytes::copy_from_slice(&answer.as_bytes()[..answer.len() / 2]);
    // The caller may have disconnected already.
    let _ = writer.piece(half).await;
    let mut resp = Response::new(body);
    let len = header_value(&answer.len().to_string());
    resp.headers_mut().insert("content-length", len);
    resp
}

/// Announces the length of the answer, and sends the second half of it after the silence.
fn in_two_parts(answer: &str, stalled: Stalled) -> Response<Body> {
    let (writer, body) = web::body::channel(2);
    let length = answer.len();
    let mut first = Bytes::copy_from_slice(answer.as_bytes());
    let second = first.split_off(length / 2);
    tokio::spawn(async move {
        // The caller may have disconnected already.
        let _ = writer.piece(first).await;
        stalled.before_body().await;
        let _ = writer.piece(second).await;
        let _ = writer.end().await;
    });
    let mut resp = Response::new(body);
    let out = resp.headers_mut();
    out.insert("content-length", header_value(&length.to_string()));
    out.insert("content-type", header_value("application/json"));
    resp
}

/// Returns the answer, or half of it, which ends in order with its connection.
fn unframed(answer: &str, is_cut: bool, text: bool) -> Response<Body> {
    let length = if is_cut {
        answer.len() / 2
    } else {
        answer.len()
    };
    let body = Bytes::copy_from_slice(&answer.as_bytes()[..length]);
    let mut resp = Response::new(web::body::unsized_full(body));
    web::body::end_with_connection(&mut resp);
    let kind = if text {
        "text/plain"
    } else {
        "application/json"
    };
    resp.headers_mut()
        .insert("content-type", header_value(kind));
    resp
}

/// Decrements the count of a fault; returns whether the fault happens.
fn take_fault(left: &mut u32) -> bool {
    let some = *left > 0;
    *left -= u32::from(some);
    some
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, (Faults, Stats)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stall(&self, stall: Stall) {
        *self.stalled.lock().unwrap_or_else(PoisonError::into_inner) = stall.into();
    }

    fn stalled(&self) -> Stalled {
        *self.stalled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an execution; returns its number among those with the same key, or 0 without a
    /// key.
    fn count(&self, path: &str, key: Option<&str>) -> u64 {
        let stats = &mut self.lock().1;
        stats.executed += 1;
        *stats.paths.entry(path.to_owned()).or_default() += 1;
        let Some(key) = key else { return 0 };
        let nth = stats.executions.entry(key.to_owned()).or_default();
        *nth += 1;
        *nth
    }
}
