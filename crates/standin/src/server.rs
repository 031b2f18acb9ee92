//! The HTTP server that all stand-ins share: listening, stopping, and short answers.

use std::{future::Future, net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::{
    Incoming, Request, Response, StatusCode,
    body::{Body, ReadLimits},
    reply,
    server::{self, Limits},
};

/// A running stand-in; dropping it stops the stand-in and closes its connections.
#[derive(Debug)]
pub struct Running {
    /// Address that the stand-in listens on.
    pub addr: SocketAddr,
    stop: CancellationToken,
}

impl Running {
    pub(crate) fn new(addr: SocketAddr, stop: CancellationToken) -> Self {
        Running { addr, stop }
    }

    /// Waits until the stand-in is stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Listens on `addr`, which callers take from the loopback interface.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.with_context(|| format!("can't listen on {addr}"))
}

/// Serves with `handler` until the returned value is dropped.
pub(crate) fn run<H, F>(listener: TcpListener, handler: H) -> Result<Running>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let addr = listener.local_addr()?;
    let stop = CancellationToken::new();
    let limits = Limits {
        linger: Duration::ZERO,
        drain: Duration::ZERO,
        body_bytes: 16 << 20,
        ..Limits::default()
    };
    tokio::spawn(server::serve(listener, limits, handler, stop.clone()));
    Ok(Running::new(addr, stop))
}

/// Reads a JSON body; an empty body is read as `{}`.
///
/// # Errors
///
/// Returns a refusal if the body is incomplete or not JSON of type `T`.
pub(crate) async fn body<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, Refused> {
    let limits = ReadLimits {
        bytes: 16 << 20,
        ..ReadLimits::default()
    };
    let read = web::body::read(req.into_body(), limits).await;
    let bytes = read.map_err(|failure| Refused::bad(failure.to_string()))?;
    let bytes: &[u8] = if bytes.is_empty() { b"{}" } else { &bytes };
    serde_json::from_slice(bytes).map_err(|err| Refused::bad(err.to_string()))
}

/// A request that is refused before its execution started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    status: StatusCode,
    why: String,
}

impl Refused {
    pub(crate) fn new(status: StatusCode, why: impl Into<String>) -> Self {
        let why = why.into();
        Refused { status, why }
    }

    pub(crate) fn bad(why: impl Into<String>) -> Self {
        Refused::new(StatusCode::BAD_REQUEST, why)
    }

    pub(crate) fn answer(&self) -> Response<Body> {
        refuse(self.status, &self.why)
    }
}

/// Returns a refusal whose header tells that the execution was not started.
pub(crate) fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    let body = serde_json::json!({"error": {"message": why, "type": "refused"}});
    let mut resp = reply::json(status, &body);
    let no = web::header_value("false");
    resp.headers_mut().insert(wire::header::STARTED, no);
    resp
}

/// Returns the answer to an admin request that was carried out.
pub(crate) fn done() -> Response<Body> {
    reply::json(StatusCode::OK, &serde_json::json!({"done": true}))
}

/// Returns an answer with `value` as JSON.
pub(crate) fn show<T: serde::Serialize>(value: &T) -> Response<Body> {
    reply::json(StatusCode::OK, value)
}
