//! Targets that fall silent for some seconds and go on.

use anyhow::Result;
use googletest::prelude::*;
use lab::Chat;
use serde_json::json;

use crate::{
    common::{KAZALISTE, expected, slow_engines, start},
    faults::{admin, running_engine},
};

/// Guards against streams that end incomplete though their engine is sound: it says nothing
/// for some seconds and goes on, and nothing can replace it, as there is no other engine and
/// no retry left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_for_an_engine_that_falls_silent() -> Result<()> {
    let mut plan = slow_engines(20);
    plan.engines.insert("drafting".to_owned(), 1);
    let mut lab = start("silent", &plan).await?;
    let engine = lab.engines[0].address;
    let caller = lab.caller(0, KAZALISTE);
    // Streams that are cut again and again use up the retries for the engine.
    admin(engine, "cut-stream", json!({"count": 100, "after": 5})).await?;
    for _ in 0..4 {
        caller.chat(&Chat::stream("drafting", "cut")).await?;
    }
    admin(engine, "cut-stream", json!({"count": 0, "after": 5})).await?;
    let mut chat = Chat::stream("drafting", "silent amid");
    chat.tokens = 100;
    let ask = tokio::spawn(async move { caller.chat(&chat).await });
    running_engine(&lab).await?;
    admin(engine, "stall", json!({"ms": 7_000})).await?;
    let reply = ask.await??;
    assert_that!(reply.complete, eq(true), "{reply:?}");
    let want = expected("kazaliste-live@1", "silent amid", 100);
    assert_that!(reply.text(), eq(&want));
    lab.stop().await?;
    lab.clean()
}
