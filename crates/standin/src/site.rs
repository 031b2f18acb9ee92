//! What all stand-ins share: a listener, a way to stop, small answers.

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

/// A stand-in that runs on this runtime; dropping it stops it and cuts its
/// connections.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: CancellationToken,
}

impl Running {
    pub(crate) fn new(addr: SocketAddr, stop: CancellationToken) -> Self {
        Running { addr, stop }
    }

    /// Waits until it was stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Listens on an address of the loopback interface.
///
/// # Errors
///
/// Fails when the address is taken.
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

/// Reads a JSON body; an empty one counts as `{}`.
///
/// # Errors
///
/// Fails when the body is not whole or no such JSON.
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

/// A refusal before anything was started.
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

/// Refuses before anything was started, and says so.
pub(crate) fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    let body = serde_json::json!({"error": {"message": why, "type": "refused"}});
    let mut resp = reply::json(status, &body);
    let no = web::header_value("false");
    resp.headers_mut().insert(wire::header::STARTED, no);
    resp
}

/// Answers an order that was carried out.
pub(crate) fn done() -> Response<Body> {
    reply::json(StatusCode::OK, &serde_json::json!({"done": true}))
}

/// Answers with statistics or another value.
pub(crate) fn show<T: serde::Serialize>(value: &T) -> Response<Body> {
    reply::json(StatusCode::OK, value)
}
