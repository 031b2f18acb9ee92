//! The server with callers that are faulty, hostile or have left.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Failure, Refusal, Verdict, covers};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use web::{
    Incoming, Method, Request, Response, StatusCode,
    body::{Body, ReadLimits, Writer, channel, full, keepalive_channel, read_held},
    client::{Client, Send},
    memory::{Held, Memory},
    reply,
    server::{Limits, Served, serve},
    sse::PING,
};

use super::peer::{CEILING, connect_and_write, read_to_close};

const SHORT: Duration = Duration::from_millis(150);
const BODY: usize = 1 << 10;

/// State shared between a test and its handler.
#[derive(Default)]
struct Shared {
    /// Lets `/wait` answer.
    go: Notify,
    /// Notified when the handler of `/wait` starts.
    began: Notify,
    /// Notified when the handler of `/wait` is dropped.
    dropped: Notify,
    /// Writer of the body of `/stream` and `/keepalive`.
    writer: Mutex<Option<Writer>>,
}

struct Dropped(Arc<Shared>);

impl Drop for Dropped {
    fn drop(&mut self) {
        self.0.dropped.notify_one();
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/panic" => panic!("the handler fails"),
        "/wait" => {
            let _dropped = Dropped(shared.clone());
            shared.began.notify_one();
            shared.go.notified().await;
            reply::plain(StatusCode::OK, "waited")
        }
        "/stream" => {
            let (writer, body) = channel(1);
            *shared.writer.lock().unwrap() = Some(writer);
            Response::new(body)
        }
        "/keepalive" => {
            let (writer, body) = keepalive_channel(1, SHORT / 3, Bytes::from_static(PING));
            *shared.writer.lock().unwrap() = Some(writer);
            Response::new(body)
        }
        "/upgrade" => upgrade(req),
        _ => echo(req).await,
    }
}

async fn echo(req: Request<Incoming>) -> Response<Body> {
    let limits = ReadLimits {
        bytes: BODY,
        rate: 100,
        grace: SHORT,
    };
    let held = Held::of(req.extensions());
    match read_held(req.into_body(), limits, &held).await {
        Ok(bytes) => Response::new(web::body::full(bytes)),
        Err(failure) => reply::failure(&failure),
    }
}

fn upgrade(req: Request<Incoming>) -> Response<Body> {
    tokio::spawn(async move {
        let upgraded = hyper::upgrade::on(req).await.unwrap();
        let mut io = hyper_util::rt::TokioIo::new(upgraded);
        let byte = io.read_u8().await.unwrap();
        io.write_u8(byte + 1).await.unwrap();
    });
    let mut resp = Response::new(web::body::full(""));
    *resp.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = resp.headers_mut();
    headers.insert("connection", web::header_value("upgrade"));
    headers.insert("upgrade", web::header_value("test"));
    resp
}

struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    task: JoinHandle<Served>,
}

impl Server {
    async fn start(limits: Limits) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (shared, stop) = (Arc::<Shared>::default(), CancellationToken::new());
        let handler = {
            let shared = shared.clone();
            move |req| handle(shared.clone(), req)
        };
        let serving = serve(listener, limits, handler, stop.clone());
        let task = tokio::spawn(async move { serving.await.unwrap() });
        Server {
            addr,
            shared,
            stop,
            task,
        }
    }

    /// Sends `text` and returns all bytes received until the close.
    async fn exchange(&self, text: &str) -> String {
        read_to_close(&mut connect_and_write(self.addr, text).await).await
    }

    /// Checks that another caller still gets its answer.
    async fn serves_others(&self) {
        let mut send = Send::new(self.addr, Method::POST, "/");
        send.body = Bytes::from_static(b"hello");
        let answer = Client::default().send(send).await.unwrap();
        assert_eq!(
            answer.read_all(BODY).await.unwrap(),
            Bytes::from_static(b"hello")
        );
    }
}

fn limits() -> Limits {
    Limits {
        header_time: SHORT,
        header_bytes: 8 << 10,
        body_bytes: BODY as u64,
        connections: 64,
        write_stall: SHORT,
        memory: Memory::default(),
        linger: SHORT,
        drain: CEILING,
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
}

/// Each faulty or hostile request gets an error answer or a close, and other callers are
/// not affected.
#[gtest]
#[tokio::test]
async fn bad_requests_are_bounded() {
    covers!(announced_too_large);
    covers!(body_too_large);
    covers!(silent_sender);
    covers!(slow_sender);
    covers!(handler_panic);
    let server = Server::start(limits()).await;
    let post = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let (long, big) = ("h".repeat(20 << 10), "b".repeat(BODY + 1));
    let rows = [
        (
            "huge head",
            format!("GET / HTTP/1.1\r\nx: {long}\r\n\r\n"),
            "431",
        ),
        ("no HTTP", String::from("\u{1}\u{2}\r\n\r\n"), "400"),
        (
            "announced",
            format!("{post}content-length: 999999\r\n\r\n"),
            "413",
        ),
        (
            "streamed",
            format!("{post}{chunked}{:x}\r\n{big}\r\n0\r\n\r\n", big.len()),
            "413",
        ),
        (
            "chunk size",
            format!("{post}{chunked}zz\r\nhello\r\n"),
            "400",
        ),
        (
            "silent body",
            format!("{post}content-length: 5\r\n\r\nhe"),
            "408",
        ),
        ("silent head", String::from("GET / HTTP/1.1\r\nhost:"), ""),
        ("panic", get("/panic"), "500"),
    ];
    for (name, text, status) in rows {
        let answer = server.exchange(&text).await;
        let got = answer.split(' ').nth(1).unwrap_or_default();
        // A head that never arrives may be answered with 408 or not at all.
        expect_that!(
            status.is_empty() || got == status,
            eq(true),
            "{name}: {answer}"
        );
        server.serves_others().await;
    }
    let mut slow = connect_and_write(server.addr, &format!("{post}{chunked}")).await;
    let trickle = async {
        while slow.write_all(b"1\r\nx\r\n").await.is_ok() {
            tokio::time::sleep(SHORT / 5).await;
        }
    };
    timeout(CEILING, trickle)
        .await
        .expect("a slow sender is never cut");
}

/// Thousands of connections are opened and send nothing. A caller with a request must
/// still be served immediately, and the number of connections stays limited.
#[gtest]
#[tokio::test]
async fn idle_connections_make_room() {
    covers!(idle_connection_closed);
    let patient = Limits {
        header_time: CEILING * 10,
        ..limits()
    };
    let server = Server::start(patient.clone()).await;
    let mut idle = Vec::new();
    for _ in 0..2_000 {
        idle.push(TcpStream::connect(server.addr).await.unwrap());
    }
    server.serves_others().await;
    // All but the newest were closed, the longest idle first.
    let bound = idle.len() - patient.connections;
    for stream in &mut idle[..bound] {
        read_to_close(stream).await;
    }
}

/// Guards against a request that is begun on a connection that is being closed to make room: its
/// caller would get no answer.
#[gtest]
#[tokio::test]
async fn no_request_is_begun_on_a_connection_that_makes_room() {
    let begun = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counted = Arc::clone(&begun);
    let handler = move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        async {
            sleep(SHORT / 30).await;
            Response::new(full("answer"))
        }
    };
    let one = Limits {
        header_time: CEILING,
        connections: 1,
        ..limits()
    };
    tokio::spawn(serve(listener, one, handler, CancellationToken::new()));
    let request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut answered = 0;
    for _ in 0..60 {
        let mut idle = connect_and_write(addr, request).await;
        let mut first = [0; 256];
        let read = idle.read(&mut first).await.unwrap();
        answered += usize::from(first[..read].ends_with(b"answer"));
        // Both arrive before the server runs again.
        let other = std::net::TcpStream::connect(addr).unwrap();
        idle.try_write(request.as_bytes()).unwrap();
        let mut rest = Vec::new();
        let read = timeout(SHORT, idle.read_to_end(&mut rest)).await;
        answered += usize::from(rest.ends_with(b"answer"));
        drop((read, other));
    }
    assert_that!(begun.load(Ordering::Relaxed), eq(answered));
}

/// Every connection is busy. One more is refused, and running requests continue.
#[gtest]
#[tokio::test]
async fn busy_connections_are_never_closed() {
    covers!(all_connections_busy);
    let server = Server::start(Limits {
        connections: 1,
        ..limits()
    })
    .await;
    let mut busy = connect_and_write(server.addr, &get("/wait")).await;
    server.shared.began.notified().await;
    let answer = Client::default()
        .send(Send::new(server.addr, Method::GET, "/"))
        .await
        .unwrap();
    expect_that!(answer.status.as_u16(), eq(429));
    expect_that!(answer.refused(), eq(true));
    expect_that!(answer.read_all(BODY).await.is_ok(), eq(true));
    // A caller that is still writing its request gets the refusal too.
    let mut large = Send::new(server.addr, Method::POST, "/");
    large.body = vec![b'x'; 16 << 20].into();
    let answer = Client::default().send(large).await.unwrap();
    expect_that!(answer.refused(), eq(true));
    server.shared.go.notify_one();
    assert_that!(read_to_close(&mut busy).await, contains_substring("waited"));
}

/// A caller keeps its connection open and sends nothing more.
#[gtest]
#[tokio::test]
async fn a_kept_connection_is_closed_in_time() {
    let server = Server::start(limits()).await;
    let kept = get("/").replace("connection: close\r\n", "");
    assert_that!(server.exchange(&kept).await, contains_substring("200 OK"));
}

/// A caller opens a stream and never reads it, so its slot and buffers would be occupied
/// until the kernel gives up.
#[gtest]
#[tokio::test]
async fn a_reader_that_stalls_is_cut() {
    covers!(stalled_reader);
    let server = Server::start(limits()).await;
    let _stalled = connect_and_write(server.addr, &get("/stream")).await;
    let writer = loop {
        tokio::task::yield_now().await;
        if let Some(writer) = server.shared.writer.lock().unwrap().take() {
            break writer;
        }
    };
    let endless = async { while writer.piece(Bytes::from(vec![b'x'; 1 << 16])).await.is_ok() {} };
    timeout(CEILING, endless)
        .await
        .expect("a stalled reader is never cut");
}

/// A handler ends in the middle of its answer. The caller must not take the truncated
/// answer for a complete one.
#[gtest]
#[tokio::test]
async fn a_writer_that_dies_cuts_the_answer() {
    let server = Server::start(limits()).await;
    let client = Client::default();
    let mut answer = client
        .send(Send::new(server.addr, Method::GET, "/stream"))
        .await
        .unwrap();
    let writer = server.shared.writer.lock().unwrap().take().unwrap();
    writer.piece(Bytes::from_static(b"half")).await.unwrap();
    expect_that!(answer.next().await.unwrap().is_ok(), eq(true));
    drop(writer);
    assert_that!(answer.next().await.unwrap().is_err(), eq(true));
}

/// A stream waits for its engine far longer than its reader's idle timeout. Keep-alives
/// prevent the timeout, and they stop when the stream ends.
#[gtest]
#[tokio::test]
async fn a_waiting_stream_sends_keepalives() {
    covers!(sign_of_life);
    let server = Server::start(limits()).await;
    let mut send = Send::new(server.addr, Method::GET, "/keepalive");
    send.limits.idle = SHORT * 4;
    let mut answer = Client::default().send(send).await.unwrap();
    let writer = server.shared.writer.lock().unwrap().take().unwrap();
    for _ in 0..15 {
        let sign = answer.next().await.unwrap().unwrap();
        expect_that!(sign.as_ref(), eq(PING));
    }
    writer.end().await.unwrap();
    while let Some(piece) = answer.next().await {
        expect_that!(piece.unwrap().as_ref(), eq(PING));
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_who_leaves_cancels_the_handler() {
    let server = Server::start(limits()).await;
    let leaving = connect_and_write(server.addr, &get("/wait")).await;
    server.shared.began.notified().await;
    drop(leaving);
    let dropped = timeout(CEILING, server.shared.dropped.notified()).await;
    assert_that!(dropped.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_connection_can_be_upgraded() {
    let server = Server::start(limits()).await;
    let text = "GET /upgrade HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: test\r\n\r\n";
    let mut stream = connect_and_write(server.addr, text).await;
    stream.write_u8(41).await.unwrap();
    assert_that!(read_to_close(&mut stream).await, ends_with("\r\n\r\n*"));
}

/// The process is told to stop while a request runs and the load balancer still sends new
/// ones. All of them are answered, and none is cut.
#[gtest]
#[tokio::test]
async fn stopping_cuts_nobody_off() {
    let server = Server::start(limits()).await;
    let mut under_way = connect_and_write(
        server.addr,
        &get("/wait").replace("connection: close\r\n", ""),
    )
    .await;
    server.shared.began.notified().await;
    server.stop.cancel();
    let late = server
        .exchange(&get("/").replace("connection: close\r\n", ""))
        .await;
    expect_that!(late, contains_substring("connection: close"));
    // The listener is closed at the end of the linger time.
    while TcpStream::connect(server.addr).await.is_ok() {
        tokio::time::sleep(SHORT / 10).await;
    }
    server.shared.go.notify_one();
    expect_that!(
        read_to_close(&mut under_way).await,
        contains_substring("waited")
    );
    assert_that!(server.task.await.unwrap(), eq(Served { cut: 0 }));
}

/// Guards against a request that has begun to run and whose connection is closed without an answer
/// at the end of a stop.
#[gtest]
#[tokio::test]
async fn stopping_ends_at_the_drain_limit() {
    let server = Server::start(Limits {
        drain: SHORT,
        ..limits()
    })
    .await;
    let mut endless = connect_and_write(server.addr, &get("/wait")).await;
    server.shared.began.notified().await;
    server.stop.cancel();
    let answer = read_to_close(&mut endless).await;
    expect_that!(answer, starts_with("HTTP/1.1 502"));
    expect_that!(answer, contains_substring("connection: close"));
    expect_that!(
        answer,
        contains_substring(format!("{}: may-have-run", wire::header::VERDICT))
    );
    assert_that!(server.task.await.unwrap(), eq(Served { cut: 1 }));
}

#[gtest]
#[tokio::test]
async fn a_failure_has_its_reason_verdict_and_retry_time() {
    let failure = Failure::not_run(Refusal::NoQuorum).retry_after(Duration::from_millis(1_200));
    let resp = reply::failure(&failure);
    let header = |name: &str| resp.headers()[name].to_str().unwrap().to_owned();
    expect_that!(resp.status().as_u16(), eq(503));
    expect_that!(header("retry-after"), eq("2"));
    expect_that!(header(wire::header::VERDICT), eq("not-run"));
    expect_that!(header(wire::header::REASON), eq("no-quorum"));
    let body = reply::ErrorBody::from(&failure).error;
    expect_that!(
        (body.verdict, body.retry_after_ms),
        eq((Verdict::NotRun, Some(1_200)))
    );
}
