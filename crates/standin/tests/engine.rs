//! The stand-in engine over real sockets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};
use standin::{Running, engine, listen};
use web::{
    Method,
    client::{Answer, Client, Send},
    sse,
};

const MODEL: &str = "letters@3";
const BODY_MAX: usize = 1 << 20;

async fn start(config: engine::Config) -> Running {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    engine::start(listen(addr).await.unwrap(), config)
        .await
        .unwrap()
}

fn config() -> engine::Config {
    engine::Config {
        resident: vec![MODEL.to_owned()],
        token_time: Duration::from_millis(1),
        ..engine::Config::default()
    }
}

async fn post(
    addr: SocketAddr,
    path: &str,
    body: Value,
    headers: &[(&'static str, &str)],
) -> Answer {
    let mut send = Send::new(addr, Method::POST, path);
    send.body = Bytes::from(body.to_string());
    for (name, value) in headers {
        send.headers.insert(*name, web::header_value(value));
    }
    Client::default().send(send).await.unwrap()
}

async fn stats(addr: SocketAddr) -> engine::Stats {
    let send = Send::new(addr, Method::GET, "/admin/stats");
    let answer = Client::default().send(send).await.unwrap();
    serde_json::from_slice(&answer.read_all(BODY_MAX).await.unwrap()).unwrap()
}

fn chat(model: &str, n: usize, stream: bool) -> Value {
    json!({"model": model, "stream": stream, "max_tokens": n,
        "messages": [{"role": "user", "content": "hello"}]})
}

/// Reads a stream to its end; returns the text and whether the stream was complete.
async fn read(mut answer: Answer) -> (String, bool) {
    let (mut parser, mut events) = (sse::Parser::default(), Vec::new());
    let mut complete = true;
    while let Some(piece) = answer.next().await {
        match piece {
            Ok(piece) => parser.push(&piece, &mut events).unwrap(),
            Err(_) => complete = false,
        }
    }
    (
        events.iter().filter_map(sse::Event::token).collect(),
        complete,
    )
}

#[gtest]
#[tokio::test]
async fn streamed_and_full_answers_carry_the_same_tokens() {
    let engine = start(config()).await;
    let text = engine::tokens(MODEL, "hello", 7);
    let answer = post(
        engine.addr,
        "/v1/chat/completions",
        chat(MODEL, 7, true),
        &[],
    )
    .await;
    expect_that!(answer.header(wire::header::ADAPTER), some(eq("letters")));
    expect_that!(answer.header(wire::header::VERSION), some(eq("3")));
    expect_that!(read(answer).await, eq(&(text.clone(), true)));
    let answer = post(
        engine.addr,
        "/v1/chat/completions",
        chat(MODEL, 7, false),
        &[],
    )
    .await;
    let body: Value = serde_json::from_slice(&answer.read_all(BODY_MAX).await.unwrap()).unwrap();
    assert_that!(
        body["choices"][0]["message"]["content"].as_str(),
        some(eq(&text))
    );
    assert_that!(stats(engine.addr).await.finished, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_cut_stream_is_resumed_without_a_repeated_token() {
    let engine = start(config()).await;
    post(engine.addr, "/admin/cut-stream", json!({"after": 3}), &[]).await;
    let chat = chat(MODEL, 8, true);
    let first = post(engine.addr, "/v1/chat/completions", chat.clone(), &[]).await;
    let (head, complete) = read(first).await;
    expect_that!(complete, eq(false));
    // The last token before the cut may be lost with the connection.
    let got = head.split_whitespace().count();
    expect_that!(got, le(3));
    let got = got.to_string();
    let from = [(wire::header::RESUME_FROM, got.as_str())];
    let rest = post(engine.addr, "/v1/chat/completions", chat, &from).await;
    let (tail, complete) = read(rest).await;
    assert_that!(complete, eq(true));
    assert_that!(head + &tail, eq(&engine::tokens(MODEL, "hello", 8)));
}

#[gtest]
#[tokio::test]
async fn an_adapter_that_is_not_resident_is_refused_unstarted() {
    let engine = start(config()).await;
    let answer = post(
        engine.addr,
        "/v1/chat/completions",
        chat("other@1", 2, true),
        &[],
    )
    .await;
    expect_that!(answer.status.as_u16(), eq(404));
    expect_that!(answer.refused(), eq(true));
    assert_that!(stats(engine.addr).await.started, eq(0));
}

/// Sends orders one after another: kind, adapter, fencing number, expected status.
#[gtest]
#[tokio::test]
async fn orders_obey_slots_and_fencing_numbers() {
    let fast = Duration::ZERO;
    let config = engine::Config {
        slots: 2,
        load_time: fast,
        ..config()
    };
    let engine = start(config).await;
    let rows = [
        ("load", "b@1", "5", 200),
        ("load", "b@1", "5", 400),
        ("load", "c@1", "5", 409),
        ("unload", "b@1", "4", 412),
        ("unload", "c@1", "6", 404),
        ("unload", "b@1", "6", 200),
        ("load", "no name", "6", 400),
    ];
    for (kind, name, fence, status) in rows {
        let body = json!({"lora_name": name, "lora_path": "x"});
        let path = format!("/v1/{kind}_lora_adapter");
        let answer = post(engine.addr, &path, body, &[(wire::header::FENCE, fence)]).await;
        expect_that!(answer.status.as_u16(), eq(status), "{kind} {name} {fence}");
    }
    assert_that!(stats(engine.addr).await.unloads_in_use, eq(0));
}

/// A caller disconnects in the middle of its stream. Its place in the batch must be freed
/// at once, or the engine generates tokens for a closed connection while others wait.
#[gtest]
#[tokio::test]
async fn leaving_frees_the_place() {
    let engine = start(engine::Config {
        batch: 1,
        ..config()
    })
    .await;
    let long = chat(MODEL, 1_000_000, true);
    let mut answer = post(engine.addr, "/v1/chat/completions", long, &[]).await;
    assert_that!(answer.next().await, some(ok(anything())));
    expect_that!(stats(engine.addr).await.running, eq(1));
    drop(answer);
    let short = chat(MODEL, 2, true);
    let next = post(engine.addr, "/v1/chat/completions", short, &[]).await;
    expect_that!(read(next).await.1, eq(true));
    let stats = stats(engine.addr).await;
    assert_that!((stats.cancelled, stats.finished), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn urgent_work_preempts_and_nothing_is_lost() {
    let engine = start(engine::Config {
        batch: 1,
        ..config()
    })
    .await;
    let mut late = chat(MODEL, 200, true);
    late["priority"] = json!(10);
    let mut batch = post(engine.addr, "/v1/chat/completions", late, &[]).await;
    assert_that!(batch.next().await, some(ok(anything())));
    let urgent = post(
        engine.addr,
        "/v1/chat/completions",
        chat(MODEL, 3, true),
        &[],
    )
    .await;
    expect_that!(read(urgent).await.1, eq(true));
    expect_that!(read(batch).await.1, eq(true));
    let stats = stats(engine.addr).await;
    assert_that!((stats.preempted, stats.finished), eq((1, 2)));
}

#[gtest]
#[tokio::test]
async fn a_frozen_connection_is_silent_and_a_new_one_passes() {
    let engine = start(engine::Config {
        freezable: true,
        ..config()
    })
    .await;
    let client = Client::default();
    let mut send = Send::new(engine.addr, Method::GET, "/health");
    send.limits.hedge = Duration::from_millis(20);
    client
        .send(send.clone())
        .await
        .unwrap()
        .read_all(BODY_MAX)
        .await
        .unwrap();
    post(engine.addr, "/admin/freeze-connections", json!({}), &[]).await;
    assert_that!(client.send(send).await.is_ok(), eq(true));
}
