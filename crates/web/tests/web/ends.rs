//! Answers that end with their connection, read by a caller of raw bytes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use web::{
    Incoming, Request, Response, StatusCode,
    body::{Body, channel, end_with_connection, full},
    server::{Limits, serve},
};

use super::peer::{CEILING, connect_and_write};

const SHORT: Duration = Duration::from_millis(100);

async fn handle(req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if path.contains("no-content") {
        let mut resp = Response::new(full(""));
        *resp.status_mut() = StatusCode::NO_CONTENT;
        return resp;
    }
    let (writer, body) = channel(1);
    let mut resp = Response::new(body);
    if path.contains("unframed") {
        end_with_connection(&mut resp);
    }
    if path.contains("at-once") {
        writer.piece(Bytes::from("half")).await.ok();
        return resp;
    }
    tokio::spawn(async move {
        writer.piece(Bytes::from("half")).await.ok();
        sleep(SHORT).await;
        if path.contains("silent") {
            writer.gone().await;
        } else if path.contains("whole") {
            writer.end().await.ok();
        }
    });
    resp
}

async fn start() -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let limits = Limits {
        linger: SHORT,
        drain: SHORT,
        ..Limits::default()
    };
    tokio::spawn(serve(listener, limits, handle, stop.clone()));
    (addr, stop)
}

/// Reads to the end of the connection. The second value says whether it was closed in order.
async fn read(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let end = timeout(CEILING, stream.read_to_end(&mut bytes)).await;
    let in_order = end.expect("the connection ends").is_ok();
    (String::from_utf8_lossy(&bytes).into_owned(), in_order)
}

async fn ask(method: &str, path: &str, minor: u8) -> (String, bool) {
    let (addr, _stop) = start().await;
    let text = format!("{method} {path} HTTP/1.{minor}\r\nhost: x\r\n\r\n");
    let mut stream = connect_and_write(addr, &text).await;
    read(&mut stream).await
}

/// Guards against an answer without framing that was broken off and whose connection is
/// closed as if it were complete.
#[gtest]
#[tokio::test]
async fn what_ends_with_its_connection_is_reset_unless_it_is_complete() {
    for (path, minor, whole) in [
        ("/unframed/whole", 1, true),
        ("/unframed/broken", 1, false),
        ("/whole", 0, true),
        ("/broken", 0, false),
    ] {
        let (text, in_order) = ask("GET", path, minor).await;
        expect_that!(in_order, eq(whole), "{path}");
        let head = text.to_ascii_lowercase();
        expect_that!(head, not(contains_substring("transfer-encoding")), "{path}");
        expect_that!(head, not(contains_substring("content-length")), "{path}");
        if whole {
            expect_that!(text, ends_with("\r\n\r\nhalf"), "{path}");
        }
    }
}

/// Guards against a stop that cuts off an answer without framing and closes its connection in
/// order.
#[gtest]
#[tokio::test]
async fn a_stop_resets_what_it_cuts_off() {
    let (addr, stop) = start().await;
    let text = "GET /unframed/silent HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut stream = connect_and_write(addr, text).await;
    sleep(SHORT).await;
    stop.cancel();
    let (_, in_order) = read(&mut stream).await;
    expect_that!(in_order, eq(false));
}

/// Guards against resets after answers that have no body to be broken off.
#[gtest]
#[tokio::test]
async fn answers_without_a_body_end_in_order() {
    for (method, path) in [("HEAD", "/unframed/broken"), ("GET", "/no-content")] {
        let (text, in_order) = ask(method, path, 0).await;
        expect_that!(in_order, eq(true), "{method} {path}: {text}");
        expect_that!(text, ends_with("\r\n\r\n"), "{method} {path}");
    }
}

/// Guards against a caller whose connection is closed before the head of its answer, as the
/// answer breaks off before anything of it was written.
#[gtest]
#[tokio::test]
async fn what_breaks_off_at_once_arrives_as_far_as_it_came() {
    for path in ["/at-once", "/at-once/unframed"] {
        let (text, _) = ask("GET", path, 1).await;
        expect_that!(text, starts_with("HTTP/1."), "{path}");
        expect_that!(text, contains_substring("half"), "{path}");
    }
}
