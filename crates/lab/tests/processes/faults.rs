//! Engines, instances and connections that fail: callers get complete answers of the
//! right adapter, or an error that states what happened.

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use serde_json::{Value, json};
use web::Method;
use wire::header;

use crate::common::{FILM, KAZALISTE, TEXT, answered, expected, slow_engines, start};

pub(crate) async fn admin(engine: std::net::SocketAddr, path: &str, body: Value) -> Result<()> {
    let engine = Caller::new(engine, "");
    let body = Bytes::from(body.to_string());
    let path = format!("/admin/{path}");
    let reply = engine.send(Method::POST, &path, body, &[]).await?;
    anyhow::ensure!(
        reply.status < 300,
        "{path}: {} {:?}",
        reply.status,
        reply.body
    );
    Ok(())
}

async fn stats(lab: &Lab, i: usize) -> Result<Value> {
    let engine = Caller::new(lab.engines[i].address, "");
    engine.get("/admin/stats").await
}

/// Loads the adapter of `drafting` on both engines: sends requests until each engine
/// has run some.
async fn on_both(lab: &Lab, caller: &Caller) -> Result<()> {
    let both = async || {
        let asks = (0..8).map(|i| {
            let mut chat = Chat::stream("drafting", &format!("warm {i}"));
            chat.tokens = 64;
            let caller = caller.clone();
            tokio::spawn(async move { caller.chat(&chat).await })
        });
        for ask in asks.collect::<Vec<_>>() {
            ask.await.ok()?.ok()?;
        }
        for i in 0..2 {
            let started = stats(lab, i).await.ok()?["started"].as_u64()?;
            (started > 0).then_some(())?;
        }
        Some(())
    };
    until("both engines run it", both).await
}

/// Guards against streams that break off or repeat tokens. The engine is killed, or its
/// connection is cut, in the middle of the stream, or it answers with another adapter;
/// the caller must get every token of the right adapter exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_its_engine() -> Result<()> {
    let mut lab = start("stream", &slow_engines(20)).await?;
    let caller = lab.caller(0, KAZALISTE);
    for engine in &lab.engines {
        admin(
            engine.address,
            "cut-stream",
            json!({"count": 1, "after": 5}),
        )
        .await?;
    }
    let mut chat = Chat::stream("drafting", "cut twice");
    chat.tokens = 40;
    let reply = caller.chat(&chat).await?;
    assert_that!(reply.status, eq(200));
    assert_that!(reply.complete, eq(true), "{reply:?}");
    assert_that!(
        reply.text(),
        eq(&expected("kazaliste-live@1", "cut twice", 40))
    );
    for engine in &lab.engines {
        admin(engine.address, "wrong-adapter", json!({"count": 1})).await?;
    }
    let reply = caller
        .chat(&Chat::stream("drafting", "whose voice"))
        .await?;
    assert_that!(
        reply.text(),
        eq(&expected("kazaliste-live@1", "whose voice", 16))
    );
    assert_that!(reply.header(header::VERSION), some(eq("1")));
    an_engine_is_killed(&mut lab, &caller).await?;
    lab.stop().await?;
    lab.clean()
}

async fn an_engine_is_killed(lab: &mut Lab, caller: &Caller) -> Result<()> {
    let mut chat = Chat::stream("drafting", "killed amid");
    chat.tokens = 100;
    let asking = caller.clone();
    let ask = tokio::spawn(async move { asking.chat(&chat).await });
    let at = running_engine(lab).await?;
    lab.engines[at].process.kill().await?;
    let reply = ask.await??;
    assert_that!(reply.complete, eq(true), "{reply:?}");
    assert_that!(
        reply.text(),
        eq(&expected("kazaliste-live@1", "killed amid", 100))
    );
    Ok(())
}

/// Guards against streams that stall until their deadline. The engine hangs without
/// closing the connection; the stream must be continued by the other engine long
/// before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_leaves_an_engine_that_hangs() -> Result<()> {
    let mut lab = start("hangs", &slow_engines(20)).await?;
    let caller = lab.caller(0, KAZALISTE);
    let mut chat = Chat::stream("drafting", "hangs amid");
    chat.tokens = 100;
    let ask = tokio::spawn(async move { caller.chat(&chat).await });
    let at = running_engine(&lab).await?;
    let hang = json!({"ms": 600_000});
    admin(lab.engines[at].address, "stall", hang).await?;
    let reply = ask.await??;
    assert_that!(reply.complete, eq(true), "{reply:?}");
    let want = expected("kazaliste-live@1", "hangs amid", 100);
    assert_that!(reply.text(), eq(&want));
    lab.stop().await?;
    lab.clean()
}

/// Waits until an engine runs a request; returns the engine's index.
pub(crate) async fn running_engine(lab: &Lab) -> Result<usize> {
    let busy = async || {
        for i in 0..lab.engines.len() {
            let running = stats(lab, i).await.ok()?["running"].as_u64()?;
            if running > 0 {
                return Some(i);
            }
        }
        None
    };
    until("an engine runs it", busy).await
}

/// Guards against harm by a former owner. The instance that owns the engines is
/// stopped by SIGSTOP, so its lease expires and the other one takes over; after SIGCONT
/// it goes on in the middle of its work and still believes that it is the owner. No
/// adapter in use may be unloaded, and no answer may come from another adapter.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_does_no_harm() -> Result<()> {
    let plan = Plan {
        entries: 2,
        ..Plan::small()
    };
    let mut lab = start("frozen", &plan).await?;
    on_both(&lab, &lab.caller(0, KAZALISTE)).await?;
    for frozen in 0..2 {
        let other = lab.caller(1 - frozen, KAZALISTE);
        let process = lab.entries[frozen].process.as_ref();
        let process = process.ok_or_else(|| anyhow::anyhow!("not running"))?;
        process.signal("STOP").await?;
        let name = lab.entries[frozen].name.clone();
        let moved = async || {
            let leader = lab.wait_leader().await.ok()?;
            let status = lab.operator(leader).get("/v1/status").await.ok()?;
            let engines = status["engines"].as_array()?;
            engines.iter().all(|e| e["owner"] != *name).then_some(())
        };
        until("the other instance owns all engines", moved).await?;
        answered(&other, "drafting").await?;
        process.signal("CONT").await?;
        answered(&other, "drafting").await?;
        answered(&lab.caller(frozen, FILM), "letters").await?;
    }
    for i in 0..lab.engines.len() {
        assert_that!(stats(&lab, i).await?["unloads_in_use"], eq(&json!(0)));
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Guards against accepted changes of the text that are undone. The leader is stopped
/// by SIGSTOP, another is elected and accepts a change; after SIGCONT the old one still
/// believes that it leads. At last it is killed, loses its data folder and starts
/// empty.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_leaders_and_disks() -> Result<()> {
    let mut lab = start("leaders", &Plan::small()).await?;
    let old = lab.wait_leader().await?;
    if let Some(process) = &lab.controls[old].process {
        process.signal("STOP").await?;
    }
    let second = TEXT.replace("weight = 1", "weight = 2");
    let version = accepted_without(&lab, old, "second", &second).await?;
    lab.wait_ready(version).await?;
    if let Some(process) = &lab.controls[old].process {
        process.signal("CONT").await?;
    }
    let former = lab.operator(old);
    let caught_up = async || {
        let status = former.get("/v1/status").await.ok()?;
        (status["version"] == version).then_some(())
    };
    until("the former leader has the change", caught_up).await?;
    if let Some(mut process) = lab.controls[old].process.take() {
        process.kill().await?;
    }
    std::fs::remove_dir_all(lab.folder.join(&lab.controls[old].name))?;
    lab.start_control(old)?;
    until(
        "the instance with the lost folder has the change",
        caught_up,
    )
    .await?;
    let retry = lab.operator(old);
    let retry = async || {
        let body = json!({"change": "second", "base": 1, "by": "lab", "text": second});
        let applied = retry.post("/v1/apply", &body).await.ok()?;
        (applied["outcome"] == "accepted").then(|| applied["version"].as_u64())
    };
    assert_that!(
        until("the retry gets the first outcome", retry).await?,
        some(eq(version))
    );
    lab.wait_ready(version).await?;
    lab.stop().await?;
    lab.clean()
}

/// Applies a change through any control instance except `not`; returns its version.
async fn accepted_without(lab: &Lab, not: usize, change: &str, text: &str) -> Result<u64> {
    let accepted = async || {
        for i in (0..lab.controls.len()).filter(|i| *i != not) {
            let body = json!({"change": change, "base": 1, "by": "lab", "text": text});
            let Ok(applied) = lab.operator(i).post("/v1/apply", &body).await else {
                continue;
            };
            if applied["outcome"] == "accepted" {
                return applied["version"].as_u64();
            }
        }
        None
    };
    until("the change is accepted", accepted).await
}

/// Guards against engines that go on with requests whose caller has disconnected. A
/// caller disconnects in the middle of a stream; the request must be gone from the
/// engine long before the answer would have ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_the_engine() -> Result<()> {
    let mut lab = start("leaves", &slow_engines(50)).await?;
    let caller = lab.caller(0, KAZALISTE);
    let mut chat = Chat::stream("drafting", "long");
    // Twenty minutes of tokens, far longer than every time limit of the tests.
    chat.tokens = 24_000;
    chat.headers.push((header::DEADLINE, "1200000".to_owned()));
    let ask = tokio::spawn(async move { caller.chat(&chat).await });
    let running = async |want: bool| {
        let mut present = 0;
        for i in 0..lab.engines.len() {
            present += stats(&lab, i).await.ok()?["present"].as_u64()?;
        }
        ((present > 0) == want).then_some(())
    };
    until("an engine runs it", async || running(true).await).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    ask.abort();
    until("the request is gone from the engine", async || {
        running(false).await
    })
    .await?;
    lab.stop().await?;
    lab.clean()
}
