//! Engines, instances and connections that fail: whole answers, by the right
//! adapter, or an honest error.

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use serde_json::{Value, json};
use web::Method;
use wire::header;

use crate::common::{FILM, KAZALISTE, TEXT, answered, expected, slow_engines, start};

async fn admin(engine: std::net::SocketAddr, path: &str, body: Value) -> Result<()> {
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

/// Loads the adapter of `drafting` on both engines by asking until each has
/// run it.
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

/// A user sees: a letter that stops amid a sentence, or goes on with a word
/// twice. The engine dies, or its connection is cut, in the middle of the
/// stream; the caller must get every token exactly once, or a clear error.
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

/// A user sees: a letter that stops amid a sentence and never goes on. The
/// engine hangs without closing anything; its tokens stop, and the stream has to
/// go on at the other engine long before the deadline.
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

/// Waits until an engine runs a request; returns its place.
async fn running_engine(lab: &Lab) -> Result<usize> {
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

/// A user sees nothing but a pause. The instance that owns the engines is
/// frozen, so its lease runs out and the other one takes over; then it thaws
/// and goes on in the middle of whatever it did, believing that it is in
/// charge. No adapter in use may be unloaded and no answer come from another.
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
        until("the other one owns all engines", moved).await?;
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

/// A user sees: a change of the text that was accepted is undone. The leader
/// is frozen, another is elected and accepts a change; then the old one thaws
/// and believes that it leads. Last, a control instance loses its data folder
/// and comes back empty.
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
    let thawed = lab.operator(old);
    let caught_up = async || {
        let status = thawed.get("/v1/status").await.ok()?;
        (status["version"] == version).then_some(())
    };
    until("the thawed one has the change", caught_up).await?;
    if let Some(mut process) = lab.controls[old].process.take() {
        process.kill().await?;
    }
    std::fs::remove_dir_all(lab.folder.join(&lab.controls[old].name))?;
    lab.start_control(old)?;
    until("the emptied one has the change", caught_up).await?;
    let resent = lab.operator(old);
    let resent = async || {
        let body = json!({"change": "second", "base": 1, "by": "lab", "text": second});
        let applied = resent.post("/v1/apply", &body).await.ok()?;
        (applied["outcome"] == "accepted").then(|| applied["version"].as_u64())
    };
    assert_that!(
        until("the resend's first outcome", resent).await?,
        some(eq(version))
    );
    lab.wait_ready(version).await?;
    lab.stop().await?;
    lab.clean()
}

/// Applies a change through any control instance but `not`.
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

/// A user sees: engines busy with letters that nobody reads any more. A
/// caller leaves in the middle of a stream; the engine's place has to be free
/// long before the answer would have ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_the_engine() -> Result<()> {
    let mut lab = start("leaves", &slow_engines(50)).await?;
    let caller = lab.caller(0, KAZALISTE);
    let mut chat = Chat::stream("drafting", "long");
    // Twenty minutes of tokens, far beyond every ceiling here.
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
    until("its place is free", async || running(false).await).await?;
    lab.stop().await?;
    lab.clean()
}
