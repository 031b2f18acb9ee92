//! Targets that fall silent for a bounded time and go on.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};
use standin::{Running, Stall, engine, gate, listen, service};
use web::{
    Method,
    client::{Answer, Client, Send},
};

const MODEL: &str = "letters@3";

/// Duration of a silence.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Longest time that anything else takes here.
const PROMPT: Duration = Duration::from_millis(500);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start() -> Running {
    let config = engine::Config {
        resident: vec![MODEL.to_owned()],
        token_time: Duration::from_millis(1),
        freezable: true,
        ..engine::Config::default()
    };
    engine::start(listen(loopback()).await.unwrap(), config)
        .await
        .unwrap()
}

async fn post(addr: SocketAddr, path: &str, body: Value) -> Answer {
    let mut send = Send::new(addr, Method::POST, path);
    send.body = Bytes::from(body.to_string());
    Client::default().send(send).await.unwrap()
}

/// What a caller saw of an answer.
struct Seen {
    /// Time to the head.
    head: Duration,
    /// Longest time between two parts, from the head on.
    gap: Duration,
    text: String,
}

async fn see(addr: SocketAddr, path: &str, body: Value) -> Seen {
    let begun = Instant::now();
    let mut answer = post(addr, path, body).await;
    let head = begun.elapsed();
    let (mut last, mut gap, mut text) = (Instant::now(), Duration::ZERO, String::new());
    while let Some(piece) = answer.next().await {
        let piece = piece.expect("the answer is complete");
        gap = gap.max(last.elapsed());
        last = Instant::now();
        text.push_str(&String::from_utf8_lossy(&piece));
    }
    Seen { head, gap, text }
}

/// Checks that `seen` was silent at its head, or amid it.
fn check_silence(seen: &Seen, head: bool) {
    let (silent, prompt) = match head {
        true => (seen.head, seen.gap),
        false => (seen.gap, seen.head),
    };
    let least = SILENCE - PROMPT;
    expect_that!(silent, all![ge(least), le(SILENCE + PROMPT)]);
    expect_that!(prompt, le(PROMPT));
}

fn chat(tokens: usize) -> Value {
    json!({"model": MODEL, "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hello"}]})
}

/// Guards against a stalled target that loses what it runs, or that isn't silent.
#[gtest]
#[tokio::test]
async fn a_stalled_target_goes_on() {
    let engine = start().await;
    let service = service::start(listen(loopback()).await.unwrap()).unwrap();
    for head in [true, false] {
        let ms = u64::try_from(SILENCE.as_millis()).unwrap();
        let stall = serde_json::to_value(Stall { ms, head }).unwrap();
        for addr in [engine.addr, service.addr] {
            post(addr, "/admin/stall", stall.clone()).await;
        }
        let (streamed, plain) = tokio::join!(
            see(engine.addr, "/v1/chat/completions", chat(8)),
            see(service.addr, "/apply", json!({})),
        );
        check_silence(&streamed, head);
        expect_that!(streamed.text, contains_substring("[DONE]"));
        check_silence(&plain, head);
        let answer: Value = serde_json::from_str(&plain.text).unwrap();
        expect_that!(answer["path"].as_str(), some(eq("/apply")));
    }
}

/// Guards against a gate that loses bytes of its silent connections, or lets new ones pass.
#[gtest]
#[tokio::test]
async fn a_gate_that_is_silent_for_a_time_goes_on() {
    let engine = start().await;
    let gate = gate::open(listen(loopback()).await.unwrap(), engine.addr).unwrap();
    let running = see(gate.addr, "/v1/chat/completions", chat(200));
    let new = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        gate.pause(SILENCE);
        see(gate.addr, "/v1/chat/completions", chat(1)).await
    };
    let (running, new) = tokio::join!(running, new);
    check_silence(&running, false);
    expect_that!(running.text, contains_substring("[DONE]"));
    check_silence(&new, true);
    assert_that!(
        see(gate.addr, "/v1/chat/completions", chat(1)).await.head,
        le(PROMPT)
    );
}

/// Guards against an engine whose connections go silent for a time and stay so, and against
/// a silence in which new ones pass.
#[gtest]
#[tokio::test]
async fn connections_that_are_frozen_for_a_time_go_on() {
    let engine = start().await;
    let running = see(engine.addr, "/v1/chat/completions", chat(400));
    let new = async {
        let ms = u64::try_from(SILENCE.as_millis()).unwrap();
        post(engine.addr, "/admin/freeze-connections", json!({"ms": ms})).await;
        // The silence begins shortly after its order is answered.
        tokio::time::sleep(Duration::from_millis(70)).await;
        see(engine.addr, "/v1/chat/completions", chat(1)).await
    };
    let (running, new) = tokio::join!(running, new);
    check_silence(&running, false);
    expect_that!(running.text, contains_substring("[DONE]"));
    check_silence(&new, true);
}
