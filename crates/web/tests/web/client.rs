//! The client with targets that fail at each step of an exchange.

use std::{net::SocketAddr, time::Duration};

use base::{Mark, Verdict, covers};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use web::{
    Method,
    client::{Broken, Cause, Check, Client, Framing, Limits, Send},
};

use super::peer::{Step, Target, read_to_close, sized};

const BODY_MAX: usize = 1 << 16;
const SHORT: Duration = Duration::from_millis(100);
const SSE: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn get(addr: SocketAddr) -> Send {
    let mut send = Send::new(addr, Method::GET, "/");
    send.limits = Limits {
        hedge: SHORT,
        ..Limits::default()
    };
    send
}

async fn fetch(client: &Client, send: Send) -> Result<String, Broken> {
    let body = client.send(send).await?.read_all(BODY_MAX).await?;
    Ok(String::from_utf8(body.to_vec()).unwrap())
}

/// Each way in which an answer may end: what the target sends, and whether the answer
/// counts as complete. A truncated answer must never be taken for a complete one.
#[gtest]
#[tokio::test]
async fn only_a_proper_end_is_complete() {
    covers!(unframed_body);
    covers!(stream_without_done);
    let silent = |text: &str| Step::Silent(text.to_owned());
    let close = |text: &str| Step::Close(text.to_owned());
    let sse = |rest: &str| Step::Close(format!("{SSE}{rest}"));
    let head = "HTTP/1.1 200 OK\r\n";
    let done = "data: [DONE]\n\n";
    let rows = [
        ("sized", Step::Answer(sized("hello")), true),
        (
            "chunked",
            close(&format!("{head}{CHUNKED}2\r\nhe\r\n0\r\n\r\n")),
            true,
        ),
        (
            "events",
            sse(&format!("{CHUNKED}e\r\n{done}\r\n0\r\n\r\n")),
            true,
        ),
        ("events until the close", sse(&format!("\r\n{done}")), true),
        ("no content", close("HTTP/1.1 204 No Content\r\n\r\n"), true),
        (
            "length cut",
            close(&format!("{head}content-length: 9\r\n\r\nhello")),
            false,
        ),
        (
            "chunk cut",
            close(&format!("{head}{CHUNKED}5\r\nhel")),
            false,
        ),
        (
            "no last chunk",
            close(&format!("{head}{CHUNKED}2\r\nhe\r\n")),
            false,
        ),
        (
            "no chunk size",
            close(&format!("{head}{CHUNKED}zz\r\nhe\r\n0\r\n\r\n")),
            false,
        ),
        ("until the close", close(&format!("{head}\r\nhello")), false),
        (
            "events without done",
            sse(&format!("{CHUNKED}9\r\ndata: x\n\n\r\n0\r\n\r\n")),
            false,
        ),
        ("events cut inside done", sse("\r\ndata: [DONE]\n"), false),
        ("more after done", sse(&format!("\r\n{done}{done}")), false),
        (
            "silent inside the body",
            silent(&format!("{head}content-length: 9\r\n\r\nhel")),
            false,
        ),
        ("silent", silent(""), false),
        ("closed unanswered", close(""), false),
        ("no HTTP", close("SSH-2.0-x\r\n\r\n"), false),
    ];
    for (name, step, complete) in rows {
        let target = Target::start([step]).await;
        let mut send = get(target.addr);
        (send.limits.idle, send.limits.first) = (SHORT, SHORT);
        match fetch(&Client::default(), send).await {
            Ok(_) => expect_that!(complete, eq(true), "{name} counts as complete"),
            Err(broken) => {
                expect_that!(complete, eq(false), "{name}: {broken}");
                expect_that!(broken.verdict, eq(Verdict::MayHaveRun), "{name}");
            }
        }
    }
}

/// Guards against a body in a coding that nobody here knows, which is taken for one that ends
/// with its connection or, decoded in part, for the target's.
#[gtest]
#[tokio::test]
async fn the_only_transfer_coding_is_chunked() {
    for (codings, expected) in [
        ("gzip", None),
        ("gzip, chunked", None),
        ("chunked, gzip", None),
        ("chunked\r\ntransfer-encoding: chunked", None),
        ("chunked\r\ncontent-length: 2", None),
        ("Chunked", Some(Framing::Chunks)),
    ] {
        let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {codings}\r\n\r\n");
        let target = Target::start([Step::Close(head)]).await;
        let answer = Client::default().send(get(target.addr)).await;
        let framing = answer.map(|answer| answer.framing());
        let framing = framing.map_err(|broken| (broken.verdict, broken.is_cut()));
        let expected = expected.ok_or((Verdict::MayHaveRun, true));
        expect_that!(framing, eq(expected), "{codings}");
    }
}

#[gtest]
#[tokio::test]
async fn without_a_connection_nothing_ran() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let broken = fetch(&Client::default(), get(addr)).await.unwrap_err();
    assert_that!(broken.verdict, eq(Verdict::NotRun));
}

/// A caller leaves in the middle of an answer. The next request must not read the rest of
/// it, so that connection is closed. A connection whose answer was read to its end is
/// kept.
#[gtest]
#[tokio::test]
async fn an_abandoned_connection_is_never_reused() {
    let half = Step::Silent(String::from(
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhel",
    ));
    let next = || Step::Answer(sized("next"));
    let target = Target::start([half, next(), next()]).await;
    let client = Client::default();
    let mut answer = client.send(get(target.addr)).await.unwrap();
    expect_that!(answer.next().await.unwrap().unwrap().as_ref(), eq(b"hel"));
    drop(answer);
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("next")));
    expect_that!(target.connections(), eq(2));
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("next")));
    assert_that!(target.connections(), eq(2));
}

/// A caller leaves before the head or in the middle of the answer. The connection must be
/// closed, or an engine would go on generating an answer that nobody reads.
#[gtest]
#[tokio::test]
async fn leaving_closes_the_connection() {
    for head in ["", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhel"] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let send = get(listener.local_addr().unwrap());
        let caller = tokio::spawn(async move {
            let answer = Client::default().send(send).await;
            std::future::pending::<()>().await;
            drop(answer);
        });
        let (mut peer, _) = listener.accept().await.unwrap();
        peer.read_u8().await.unwrap();
        peer.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(SHORT).await;
        caller.abort();
        read_to_close(&mut peer).await;
    }
}

/// A target stops reading in the middle of a large request, and the caller leaves. The
/// rest of the request must not arrive when the target continues to read.
#[gtest]
#[tokio::test]
async fn a_request_given_up_does_not_arrive_later() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let mut send = get(listener.local_addr().unwrap());
    send.body = vec![b'x'; 32 << 20].into();
    let all = send.body.len();
    let left = tokio::time::timeout(SHORT, fetch(&Client::default(), send)).await;
    expect_that!(left.is_err(), eq(true));
    let (mut peer, _) = listener.accept().await.unwrap();
    assert_that!(read_to_close(&mut peer).await.len(), lt(all));
}

/// A middlebox dropped the state of an idle connection: it is open at both ends but
/// transfers nothing. The request is sent again on a new connection.
#[gtest]
#[tokio::test]
async fn a_silent_pooled_connection_costs_little() {
    covers!(silent_pooled_connection);
    let steps = [
        Step::Answer(sized("one")),
        Step::Silent(String::new()),
        Step::Answer(sized("two")),
    ];
    let target = Target::start(steps).await;
    let client = Client::default();
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("one")));
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("two")));
    expect_that!(target.requests(), eq(3));
    assert_that!(target.connections(), eq(2));
}

/// As above, with a connection that the target closes when the request arrives.
#[gtest]
#[tokio::test]
async fn a_closed_pooled_connection_costs_nothing() {
    covers!(closed_pooled_connection);
    let steps = [
        Step::Answer(sized("one")),
        Step::Close(String::new()),
        Step::Answer(sized("two")),
    ];
    let target = Target::start(steps).await;
    let client = Client::default();
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("one")));
    assert_that!(fetch(&client, get(target.addr)).await, ok(eq("two")));
}

/// A marked request must not be sent twice, so it is never sent on an idle connection,
/// which may be dead.
#[gtest]
#[tokio::test]
async fn a_marked_request_gets_a_new_connection() {
    covers!(marked_gets_new_connection);
    let target = Target::start([Step::Answer(sized("one")), Step::Answer(sized("two"))]).await;
    let client = Client::default();
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("one")));
    let mut marked = get(target.addr);
    marked.mark = Mark::Once;
    expect_that!(fetch(&client, marked).await, ok(eq("two")));
    assert_that!(target.connections(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_connection_past_its_age_is_not_reused() {
    covers!(stale_pooled_connection);
    let target = Target::start([Step::Answer(sized("one")), Step::Answer(sized("two"))]).await;
    let client = Client::default();
    expect_that!(fetch(&client, get(target.addr)).await, ok(eq("one")));
    let mut send = get(target.addr);
    send.limits.reuse = Duration::ZERO;
    expect_that!(fetch(&client, send).await, ok(eq("two")));
    assert_that!(target.connections(), eq(2));
}

/// A target begins to leave while a request waits for a connection, and gets the request.
#[gtest]
#[tokio::test]
async fn a_withdrawn_request_is_not_written() {
    let target = Target::start([Step::Answer(sized("one"))]).await;
    let client = Client::default();
    let mut send = get(target.addr);
    send.checks.write = Check::new(|| false);
    let broken = fetch(&client, send).await.unwrap_err();
    expect_that!(broken.cause, eq(&Cause::Withdrawn));
    expect_that!(broken.verdict, eq(Verdict::NotRun));
    assert_that!(target.requests(), eq(0));
}

/// A target that closes its connections gets each request twice, whatever the budget of
/// retries says.
#[gtest]
#[tokio::test]
async fn a_request_that_may_have_run_is_repeated_only_if_its_sender_allows_it() {
    for (allowed, requests) in [(false, 2), (true, 3)] {
        let steps = [
            Step::Answer(sized("one")),
            Step::Close(String::new()),
            Step::Answer(sized("two")),
        ];
        let target = Target::start(steps).await;
        let client = Client::default();
        expect_that!(fetch(&client, get(target.addr)).await, ok(eq("one")));
        let mut send = get(target.addr);
        send.checks.repeat = Check::new(move || allowed);
        expect_that!(fetch(&client, send).await.is_ok(), eq(allowed));
        expect_that!(target.requests(), eq(requests));
    }
}

/// Guards against a repeat at the deadline, which is in vain and whose failure hides that of the
/// first send.
#[gtest]
#[tokio::test]
async fn nothing_is_repeated_at_the_deadline() {
    let target = Target::start([Step::Answer(sized("one")), Step::Silent(String::new())]).await;
    let client = Client::default();
    let mut send = get(target.addr);
    send.limits.reuse = Duration::from_secs(5);
    fetch(&client, send.clone()).await.unwrap();
    send.limits = Limits {
        hedge: SHORT,
        reuse: Duration::from_secs(5),
        ..Limits::within(SHORT)
    };
    let lost = fetch(&client, send).await.unwrap_err();
    expect_that!(lost.verdict, eq(Verdict::MayHaveRun));
    expect_that!(lost.cause, eq(&Cause::Deadline));
    expect_that!(target.connections(), eq(1));
}
