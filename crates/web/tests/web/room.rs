//! Callers of a server that has little room for what they send.

use std::{net::SocketAddr, time::Duration};

use base::{Bytes as Size, covers};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use web::{
    Incoming, Request, Response,
    body::{Body, ReadLimits, full, read_held},
    memory::{Held, Memory, Quota},
    reply,
    server::{Limits, serve},
};

use super::peer::read_to_close;

/// Largest body, in bytes.
const BODY: usize = 256 << 10;

/// Room for two of the largest bodies beside ordinary requests.
const ROOM: Quota = Quota {
    bytes: Size(1 << 20),
    requests: 6,
};

/// Answers with the length of the body; `/hold` never answers.
async fn answer(req: Request<Incoming>) -> Response<Body> {
    let held = Held::of(req.extensions());
    let holds = req.uri().path() == "/hold";
    let limits = ReadLimits {
        bytes: BODY,
        ..ReadLimits::default()
    };
    match read_held(req.into_body(), limits, &held).await {
        Ok(_body) if holds => std::future::pending().await,
        Ok(body) => Response::new(full(body.len().to_string())),
        Err(failure) => reply::failure(&failure),
    }
}

async fn start() -> (SocketAddr, Memory) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let memory = Memory::new(ROOM, |_, _, _| {});
    let limits = Limits {
        memory: memory.clone(),
        ..Limits::default()
    };
    tokio::spawn(serve(listener, limits, answer, CancellationToken::new()));
    (addr, memory)
}

fn sized(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends `head` and `body` and returns the answer.
async fn ask(addr: SocketAddr, head: &str, body: &[u8]) -> String {
    let mut stream = send(addr, head, body).await;
    read_to_close(&mut stream).await
}

async fn send(addr: SocketAddr, head: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    stream
}

fn chunked(length: usize, size: usize) -> Vec<u8> {
    let mut out = Vec::new();
    let mut left = length;
    while left > 0 {
        let size = left.min(size);
        out.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        out.resize(out.len() + size, b'b');
        out.extend_from_slice(b"\r\n");
        left -= size;
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}

/// Guards against a body of exactly the limit that is refused in calm, or one beyond it that
/// isn't, however it is sent.
#[tokio::test]
async fn a_body_of_exactly_the_limit_is_served() {
    let (addr, memory) = start().await;
    let chunks =
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    for (length, status) in [(BODY, "200"), (BODY + 1, "413")] {
        let whole = vec![b'b'; length];
        let got = ask(addr, &sized("/", length), &whole).await;
        assert_that!(
            got,
            starts_with(format!("HTTP/1.1 {status}")),
            "with a length"
        );
        for size in [1 << 20, 1_000, 7] {
            let got = ask(addr, chunks, &chunked(length, size)).await;
            let expected = format!("HTTP/1.1 {status}");
            assert_that!(got, starts_with(expected), "in chunks of {size}");
        }
    }
    while memory.held() > Size(0) {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a caller who gets a final refusal, or no time to come back, for want of room.
#[tokio::test]
async fn want_of_room_is_told_as_not_run() {
    let (addr, memory) = start().await;
    let whole = vec![b'b'; BODY];
    let mut waiting = Vec::new();
    for _ in 0..2 {
        waiting.push(send(addr, &sized("/hold", BODY), &whole).await);
    }
    while memory.held() < Size(2 * BODY as u64) {
        sleep(Duration::from_millis(10)).await;
    }
    let got = ask(addr, &sized("/", BODY), &whole).await;
    assert_that!(got, starts_with("HTTP/1.1 429"));
    assert_that!(got, contains_substring("not-run"));
    assert_that!(got, contains_substring("retry-after"));
    let small = ask(addr, &sized("/", 5), b"small").await;
    assert_that!(small, starts_with("HTTP/1.1 200"));
    drop(waiting);
    while memory.held() > Size(0) {
        sleep(Duration::from_millis(10)).await;
    }
    let got = ask(addr, &sized("/", BODY), &whole).await;
    assert_that!(got, starts_with("HTTP/1.1 200"));
}

/// Guards against bodies that stop just short of their end and shut others out.
#[tokio::test]
async fn a_body_that_stalls_makes_room() {
    covers!(stalled_body_given_up);
    let (addr, _) = start().await;
    let whole = vec![b'b'; BODY];
    let mut stalled = Vec::new();
    for _ in 0..2 {
        stalled.push(send(addr, &sized("/", BODY), &whole[1..]).await);
    }
    loop {
        let got = ask(addr, &sized("/", BODY), &whole).await;
        if got.starts_with("HTTP/1.1 200") {
            break;
        }
        assert_that!(got, starts_with("HTTP/1.1 429"));
        sleep(Duration::from_millis(50)).await;
    }
    let given_up = read_to_close(&mut stalled[0]).await;
    assert_that!(given_up, starts_with("HTTP/1.1 429"));
}

/// Guards against a refusal that is lost because its caller is still sending as the connection
/// is closed.
#[tokio::test]
async fn a_refusal_arrives_though_its_caller_goes_on() {
    let (addr, _) = start().await;
    let mut stream = send(addr, &sized("/", 8 * BODY), &[]).await;
    let piece = vec![b'b'; BODY];
    for _ in 0..8 {
        stream.write_all(&piece).await.unwrap();
        sleep(Duration::from_millis(5)).await;
    }
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_that!(answer, eq(b"HTTP/1.1 413"));
}
