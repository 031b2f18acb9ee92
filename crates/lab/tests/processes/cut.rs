//! Instances that are cut off by their links, and don't stand still.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Lab, Links, Plan, Reply, until};
use serde_json::{Value, json};
use web::Method;
use wire::header;

use crate::common::{KAZALISTE, TEXT, answered, start};

fn links(lab: &Lab) -> Result<&Links> {
    lab.links.as_ref().context("no links")
}

/// A name and its zone.
type Placed<'a> = (&'a String, &'a String);

fn instances(lab: &Lab) -> impl Iterator<Item = Placed<'_>> {
    let all = lab.controls.iter().chain(&lab.entries);
    all.map(|instance| (&instance.name, &instance.zone))
}

/// Cuts those of `all` that are `inside` off from the rest of them.
fn cut_off<'a>(
    lab: &Lab,
    all: impl Iterator<Item = Placed<'a>>,
    inside: impl Fn(Placed<'a>) -> bool,
) -> Result<()> {
    let (some, others): (Vec<_>, Vec<_>) = all.partition(|placed| inside(*placed));
    let named = |all: Vec<Placed<'a>>| -> Vec<String> {
        all.into_iter().map(|(name, _)| name.clone()).collect()
    };
    links(lab)?.cut(&named(some), &named(others));
    Ok(())
}

/// Hands in an application, which may run once only.
async fn apply(caller: &Caller, key: &str) -> Result<Reply> {
    let headers = [(header::IDEMPOTENCY_KEY, key.to_owned())];
    let path = "/kazaliste/submissions/apply";
    let body = Bytes::from_static(b"dora");
    caller.send(Method::POST, path, body, &headers).await
}

/// Waits until an application is taken.
async fn taken(caller: &Caller, key: &str) -> Result<Reply> {
    let done = async || {
        let reply = apply(caller, key).await.ok()?;
        (reply.status == 200).then_some(reply)
    };
    until(&format!("{key} is taken"), done).await
}

/// Returns how often the services ran the application with this key.
async fn executions(lab: &Lab, key: &str) -> Result<u64> {
    let mut count = 0;
    for service in &lab.services {
        let stats = Caller::new(service.address, "").get("/admin/stats").await?;
        count += stats["executions"][key].as_u64().unwrap_or_default();
    }
    Ok(count)
}

/// Sends a change on top of the first version to control instance `at`.
async fn change(lab: &Lab, at: usize, id: &str, text: &str) -> Result<Value> {
    let body = json!({"change": id, "base": 1, "by": "lab", "text": text});
    lab.operator(at).post("/v1/apply", &body).await
}

/// Sends a change until control instance `at` has it accepted.
async fn accepted(lab: &Lab, at: usize, id: &str, text: &str) -> Result<u64> {
    let accepted = async || {
        let applied = change(lab, at, id, text).await.ok()?;
        let accepted = applied["outcome"] == "accepted";
        accepted.then(|| applied["version"].as_u64())?
    };
    until("the others accept a change", accepted).await
}

/// Returns the version that control instance `at` says is accepted.
async fn version(lab: &Lab, at: usize) -> Option<u64> {
    let status = lab.operator(at).get("/v1/status").await.ok()?;
    status["version"].as_u64()
}

/// Waits until all instances are under a version.
async fn everywhere(lab: &Lab, accepted: u64) -> Result<()> {
    for i in 0..lab.controls.len() {
        let same = async || (version(lab, i).await? == accepted).then_some(());
        until("all have the change that was accepted", same).await?;
    }
    lab.wait_ready(accepted).await
}

/// A user sees: a change that was accepted is undone, or an application handed
/// in twice. The leader and the owner of an engine are cut off from all others by
/// their links and go on running, so the leader believes that it is in charge:
/// it may accept nothing, and grant no claim to the one who reaches it. What
/// the others accept meanwhile holds everywhere once the links are mended.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_is_cut_off_accepts_nothing() -> Result<()> {
    let plan = Plan {
        entries: 2,
        links: true,
        ..Plan::small()
    };
    let mut lab = start("cut", &plan).await?;
    let old = lab.wait_leader().await?;
    let other = (old + 1) % lab.controls.len();
    lab.wait_owned().await?;
    let owners = owners(&lab, old).await?;
    let owner = owners[&lab.engines[0].name].as_str();
    let at = lab
        .entries
        .iter()
        .position(|e| Some(e.name.as_str()) == owner);
    let at = at.context("no owner")?;
    let alone = [&lab.controls[old].name, &lab.entries[at].name];
    cut_off(&lab, instances(&lab), |(name, _)| alone.contains(&name))?;
    let (here, there) = (lab.caller(at, KAZALISTE), lab.caller(1 - at, KAZALISTE));
    let first = TEXT.replace("weight = 1", "weight = 3");
    let second = TEXT.replace("weight = 1", "weight = 2");
    // As soon as the links are cut: it leads by its own lights, for a while.
    let refused = apply(&here, "k-1").await?;
    assert_that!(refused.status, not(eq(200)), "{refused:?}");
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    let accepted = accepted(&lab, other, "second", &second).await?;
    taken(&there, "k-1").await?;
    let resigned = async || {
        let status = lab.operator(old).get("/v1/status").await.ok()?;
        status["leader"].is_null().then_some(())
    };
    until("the one that is cut off doesn't lead", resigned).await?;
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    assert_that!(apply(&here, "k-2").await?.status, not(eq(200)));
    assert_that!(executions(&lab, "k-2").await?, eq(0));
    answered(&there, "drafting").await?;
    links(&lab)?.mend();
    everywhere(&lab, accepted).await?;
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    taken(&here, "k-1").await?;
    taken(&here, "k-2").await?;
    for key in ["k-1", "k-2"] {
        assert_that!(executions(&lab, key).await?, eq(1), "{key}");
    }
    none_unloaded(&lab).await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Returns who owns each engine, as control instance `at` knows.
async fn owners(lab: &Lab, at: usize) -> Result<BTreeMap<String, Value>> {
    let status = lab.operator(at).get("/v1/status").await?;
    let engines = status["engines"].as_array().into_iter().flatten();
    let owner = |engine: &Value| {
        let name = engine["target"].as_str().unwrap_or_default();
        (name.to_owned(), engine["owner"].clone())
    };
    Ok(engines.map(owner).collect())
}

/// Checks that no engine has lost an adapter that a request was using.
async fn none_unloaded(lab: &Lab) -> Result<()> {
    for engine in &lab.engines {
        let stats = Caller::new(engine.address, "").get("/admin/stats").await?;
        assert_that!(stats["unloads_in_use"], eq(&json!(0)), "{}", engine.name);
    }
    Ok(())
}
