//! Serves the process's counters and histograms as text.

use std::net::SocketAddr;

use anyhow::Result;
use daemon::Capacity;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio_util::sync::CancellationToken;
use web::{
    body::{Body, full},
    server,
};

/// Largest head of a request, in bytes.
const HEAD_MAX: usize = 8 << 10;

/// Content type of the Prometheus text format.
const TEXT: &str = "text/plain; version=0.0.4";

/// Serves metrics at `address` under every path, for as long as the process runs.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn serve(address: SocketAddr) -> Result<()> {
    let listener = daemon::listen(address).await?;
    let capacity = Capacity::of_probes();
    let limits = server::Limits {
        header_bytes: HEAD_MAX,
        connections: capacity.connections,
        memory: capacity.memory,
        ..server::Limits::default()
    };
    tokio::spawn(server::serve(
        listener,
        limits,
        answer,
        CancellationToken::new(),
    ));
    Ok(())
}

async fn answer(_: Request<Incoming>) -> Response<Body> {
    rendered()
}

/// Returns the process's counters and histograms as text.
pub(crate) fn rendered() -> Response<Body> {
    let mut resp = Response::new(full(telemetry::prom_metrics().render()));
    let text = HeaderValue::from_static(TEXT);
    resp.headers_mut().insert(CONTENT_TYPE, text);
    resp
}
