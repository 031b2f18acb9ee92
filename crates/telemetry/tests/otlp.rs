//! What a collector receives: the connected spans of several hops, and metrics.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Class, TextVersion};
use googletest::prelude::*;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, Response, body::Bytes, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use telemetry::{LogLevel, TelemetrySettings, metrics};
use tokio::net::TcpListener;

/// Path and body of each request that the fake collector received.
type Sent = Arc<Mutex<Vec<(String, Value)>>>;

async fn collector() -> (SocketAddr, Sent) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sent = Sent::default();
    let received = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let received = received.clone();
            let service = service_fn(move |req| record_request(req, received.clone()));
            let conn = hyper::server::conn::http1::Builder::new();
            tokio::spawn(conn.serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, sent)
}

async fn record_request(
    req: Request<Incoming>,
    sent: Sent,
) -> hyper::Result<Response<Empty<Bytes>>> {
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await?.to_bytes();
    sent.lock()
        .unwrap()
        .push((path, serde_json::from_slice(&body).unwrap()));
    Ok(Response::new(Empty::new()))
}

/// Collects in `found` all objects below `value` that have `key`.
fn having<'v>(value: &'v Value, key: &str, found: &mut Vec<&'v Value>) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| having(item, key, found)),
        Value::Object(map) => {
            if map.contains_key(key) {
                found.push(value);
            }
            map.values().for_each(|item| having(item, key, found));
        }
        _ => {}
    }
}

/// The spans of the entry instance and of the engine's owner belong to the caller's
/// trace, which then has three spans, and the flush at the end exports all of them.
#[tokio::test]
async fn spans_of_two_hops_are_joined() {
    let (addr, sent) = collector().await;
    let settings = TelemetrySettings {
        zone: "blato".parse().unwrap(),
        level: LogLevel::Warn,
        file: None,
        stdout: false,
        otlp: Some(addr),
        trace_one_in: 1,
    };
    let guard = telemetry::start("entryd", "e3", &settings).unwrap();
    let caller = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let entry = telemetry::span!("entry", brand = "film");
    telemetry::set_parent(&entry, Some(caller));
    let header = telemetry::traceparent(&entry);
    let owner = telemetry::span!("owner");
    telemetry::set_parent(&owner, Some(&header));
    let engine = telemetry::traceparent(&owner);
    drop((entry, owner));
    let broken = telemetry::span!("broken");
    telemetry::set_parent(&broken, Some("00-nonsense"));
    drop(broken);
    drop(tracing::info_span!("a library's own"));
    metrics().text_version(TextVersion(7));
    metrics().load_stall(Class::Live, Duration::from_millis(250));
    tokio::task::spawn_blocking(move || drop(guard))
        .await
        .unwrap();

    let sent = sent.lock().unwrap();
    let mut spans = Vec::new();
    let mut names = Vec::new();
    for (path, body) in sent.iter() {
        let (key, found) = match path.as_str() {
            "/v1/traces" => ("spanId", &mut spans),
            _ => ("unit", &mut names),
        };
        having(body, key, found);
    }
    let span = |name: &str| *spans.iter().find(|span| span["name"] == name).unwrap();
    assert_that!(spans.len(), eq(3));
    assert_that!(span("entry")["parentSpanId"], eq("00f067aa0ba902b7"));
    assert_that!(span("owner")["parentSpanId"], eq(&span("entry")["spanId"]));
    for name in ["entry", "owner"] {
        assert_that!(
            span(name)["traceId"],
            eq("4bf92f3577b34da6a3ce929d0e0e4736")
        );
    }
    assert_that!(
        engine,
        contains_substring(span("owner")["spanId"].as_str().unwrap())
    );
    assert_that!(
        span("broken")["traceId"],
        not(eq("4bf92f3577b34da6a3ce929d0e0e4736"))
    );
    let names: Vec<&str> = names
        .iter()
        .filter_map(|metric| metric["name"].as_str())
        .collect();
    assert_that!(names, contains(eq(&"quetzal.text_version")));
    assert_that!(names, contains(eq(&"quetzal.load_stall")));
}
