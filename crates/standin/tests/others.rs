//! The stand-ins for store, service and platform, the gate, and the program `standin`.

use std::{net::SocketAddr, process::Stdio, time::Duration};

use base::{PerSecond, Verdict};
use bytes::Bytes;
use googletest::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use standin::{engine, gate, listen, platform, service, store};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::Command,
};
use web::{
    Method,
    client::{Answer, Broken, Client, Send},
};
use wire::platform::List;

const BODY_MAX: usize = 1 << 20;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn post(addr: SocketAddr, path: &str, body: &Value) -> Send {
    let mut send = Send::new(addr, Method::POST, path);
    send.body = Bytes::from(body.to_string());
    send
}

async fn post_json(addr: SocketAddr, path: &str, body: Value) -> Answer {
    Client::default()
        .send(post(addr, path, &body))
        .await
        .unwrap()
}

async fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let answer = Client::default()
        .send(Send::new(addr, Method::GET, path))
        .await
        .unwrap();
    serde_json::from_slice(&answer.read_all(BODY_MAX).await.unwrap()).unwrap()
}

async fn call(addr: SocketAddr, key: &str) -> std::result::Result<Bytes, Broken> {
    let mut send = post(addr, "/apply", &json!({"seat": 1}));
    send.headers
        .insert(wire::header::IDEMPOTENCY_KEY, web::header_value(key));
    send.limits.first = Duration::from_millis(200);
    Client::default().send(send).await?.read_all(BODY_MAX).await
}

/// Ten concurrent loads start at the rate of the store, and at most two of them run at full
/// speed, so they can't finish before the rate limit has let the last one start.
#[gtest]
#[tokio::test]
async fn the_store_keeps_its_rate() {
    let config = store::Config {
        rate: PerSecond(50),
        parallel: 2,
        load_time: Duration::from_millis(60),
    };
    let store = store::start(listen(loopback()).await.unwrap(), config).unwrap();
    let loads = (0..10).map(|i| async move {
        let send = Send::new(store.addr, Method::GET, format!("/weights/{i}"));
        let answer = Client::default().send(send).await.unwrap();
        answer.read_all(BODY_MAX).await.is_ok()
    });
    let done = futures::future::join_all(loads).await;
    expect_that!(done, each(eq(&true)));
    let stats: store::Stats = get_json(store.addr, "/admin/stats").await;
    expect_that!(
        (stats.started, stats.finished, stats.active),
        eq((10, 10, 0))
    );
    assert_that!(stats.delayed, ge(8));
}

/// A service executes and answers, fully, partly or never, or refuses before the execution.
/// Its counts must agree with the verdict that the client derives.
#[gtest]
#[tokio::test]
async fn the_service_counts_what_ran() {
    let service = service::start(listen(loopback()).await.unwrap()).unwrap();
    let rows = [
        ("whole", json!({}), None, 1),
        ("cut", json!({"cut": 1}), Some(Verdict::MayHaveRun), 1),
        ("mute", json!({"mute": 1}), Some(Verdict::MayHaveRun), 1),
    ];
    for (key, faults, verdict, ran) in rows {
        post_json(service.addr, "/admin/faults", faults).await;
        let got = call(service.addr, key).await;
        expect_that!(got.err().map(|broken| broken.verdict), eq(verdict), "{key}");
        let stats: service::Stats = get_json(service.addr, "/admin/stats").await;
        expect_that!(stats.executions.get(key), eq(Some(&ran)), "{key}");
    }
    post_json(service.addr, "/admin/faults", json!({"refuse": 1})).await;
    let refused = post_json(service.addr, "/apply", json!({})).await;
    expect_that!(refused.refused(), eq(true));
    let stats: service::Stats = get_json(service.addr, "/admin/stats").await;
    assert_that!((stats.executed, stats.refused), eq((3, 1)));
}

#[gtest]
#[tokio::test]
async fn the_platform_shows_changes_with_a_delay() {
    let lag = Duration::from_millis(300);
    let empty = List {
        serial: 7,
        instances: vec![],
        targets: vec![],
    };
    let listener = listen(loopback()).await.unwrap();
    let platform = platform::start(listener, empty, lag).unwrap();
    let target = json!({"name": "e1", "pool": "p", "zone": "blato",
        "address": "127.0.0.1:1", "state": "live"});
    post_json(platform.addr, "/admin", json!({"target": target})).await;
    let now: List = get_json(platform.addr, "/v1/list").await;
    expect_that!((now.serial, now.targets.len()), eq((7, 0)));
    loop {
        let list: List = get_json(platform.addr, "/v1/list").await;
        if list.serial == 8 {
            expect_that!(list.targets.len(), eq(1));
            break;
        }
        tokio::time::sleep(lag / 10).await;
    }
    post_json(platform.addr, "/admin", json!({"remove": "e1"})).await;
    let bad = post_json(platform.addr, "/admin", json!({"target": {"name": "E 1"}})).await;
    assert_that!(bad.status.as_u16(), eq(400));
}

/// A middlebox drops the state of a stream's connection, which stays open at both ends. Only
/// the idle limit of the reader detects it; a new connection passes at once. The place in
/// the engine's batch is freed when the connection is closed.
#[gtest]
#[tokio::test]
async fn a_stream_gone_silent_is_found_out() {
    let config = engine::Config {
        resident: vec![String::from("letters@1")],
        token_time: Duration::from_millis(2),
        ..engine::Config::default()
    };
    let engine = engine::start(listen(loopback()).await.unwrap(), config)
        .await
        .unwrap();
    let gate = gate::open(listen(loopback()).await.unwrap(), engine.addr).unwrap();
    let chat = json!({"model": "letters@1", "stream": true, "max_tokens": 1_000_000});
    let mut send = post(gate.addr, "/v1/chat/completions", &chat);
    send.limits.idle = Duration::from_millis(200);
    let client = Client::default();
    let mut answer = client.send(send).await.unwrap();
    expect_that!(answer.next().await.unwrap().is_ok(), eq(true));
    gate.silence();
    let broken = loop {
        if let Err(broken) = answer.next().await.expect("a cut stream is never complete") {
            break broken;
        }
    };
    expect_that!(broken.cause, eq(&web::client::Cause::Idle));
    let stats: engine::Stats = get_json(gate.addr, "/admin/stats").await;
    expect_that!(stats.running, eq(1));
    gate.cut();
    loop {
        let stats: engine::Stats = get_json(gate.addr, "/admin/stats").await;
        if (stats.running, stats.cancelled) == (0, 1) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Each stand-in, started as a process, prints its address and answers there. An address
/// outside the loopback interface is refused.
#[gtest]
#[tokio::test]
async fn each_stand_in_runs_as_a_process() {
    for name in ["engine", "service", "store", "platform"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .args([name, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let out = child.stdout.take().unwrap();
        let line = BufReader::new(out)
            .lines()
            .next_line()
            .await
            .unwrap()
            .unwrap();
        let path = if name == "platform" {
            "/v1/list"
        } else {
            "/admin/stats"
        };
        let _stats: Value = get_json(line.parse().unwrap(), path).await;
    }
    let public = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["store", "--listen", "0.0.0.0:0"])
        .output()
        .await
        .unwrap();
    assert_that!(public.status.success(), eq(false));
}
