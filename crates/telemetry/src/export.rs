//! Export to an OTLP collector over HTTP with JSON.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use async_trait::async_trait;
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response, hyper::HyperClient};
use opentelemetry_otlp::{
    MetricExporter, Protocol, SpanExporter, WithExportConfig, WithHttpConfig,
};
use tokio::runtime::Handle;

/// Longest time for one export. A collector that hangs loses the spans and metrics in
/// the queue but delays no request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client that runs the exporter's requests on a tokio runtime: the exporter's own
/// threads have no tokio reactor, and hyper panics without one.
#[derive(Debug)]
struct Client {
    handle: Handle,
    inner: std::sync::Arc<HyperClient>,
}

#[async_trait]
impl HttpClient for Client {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let inner = self.inner.clone();
        let sent = self
            .handle
            .spawn(async move { inner.send_bytes(request).await });
        sent.await?
    }
}

fn client(handle: &Handle) -> Client {
    let inner = HyperClient::with_default_connector(EXPORT_TIMEOUT, None);
    Client {
        handle: handle.clone(),
        inner: inner.into(),
    }
}

pub(crate) fn spans(collector: SocketAddr, handle: &Handle) -> Result<SpanExporter> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(client(handle))
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(format!("http://{collector}/v1/traces"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()?;
    Ok(exporter)
}

pub(crate) fn metrics(collector: SocketAddr, handle: &Handle) -> Result<MetricExporter> {
    let exporter = MetricExporter::builder()
        .with_http()
        .with_http_client(client(handle))
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(format!("http://{collector}/v1/metrics"))
        .with_timeout(EXPORT_TIMEOUT)
        .build()?;
    Ok(exporter)
}
