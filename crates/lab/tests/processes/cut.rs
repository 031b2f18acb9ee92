//! Instances that are cut off by their links, and don't stand still.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use anyhow::{Context, Result};
use base::Verdict;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Links, Plan, Reply, until};
use serde_json::{Value, json};
use tokio::time::Instant;
use web::Method;
use wire::header;

use crate::common::{FILM, KAZALISTE, TEXT, answered, expected, start, start_with};

/// How long a cut lasts: three leases, which end by then on either side.
const CUT: Duration = Duration::from_secs(10);

fn links(lab: &Lab) -> Result<&Links> {
    lab.links.as_ref().context("no links")
}

/// A name and its zone.
type Placed<'a> = (&'a String, &'a String);

fn instances(lab: &Lab) -> impl Iterator<Item = Placed<'_>> {
    let all = lab.controls.iter().chain(&lab.entries);
    all.map(|instance| (&instance.name, &instance.zone))
}

fn targets(lab: &Lab) -> impl Iterator<Item = Placed<'_>> {
    let all = lab.engines.iter().chain(&lab.services);
    all.map(|target| (&target.name, &target.zone))
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
    links(&lab)?.restore();
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

/// Asks each entry instance of a zone once for each brand; every answer is
/// whole, and of the right adapter.
async fn asked(lab: &Lab, zone: &str, prompt: &str) -> Result<()> {
    let brands = [
        (KAZALISTE, "drafting", "kazaliste-live@1"),
        (FILM, "letters", "film-live@3"),
    ];
    for (i, entry) in lab.entries.iter().enumerate() {
        for (key, model, resident) in brands.iter().filter(|_| entry.zone == zone) {
            let reply = lab
                .caller(i, key)
                .chat(&Chat::stream(model, prompt))
                .await?;
            let want = expected(resident, prompt, 16);
            let place = format!("{} {model} {prompt}: {reply:?}", entry.name);
            assert_that!(reply.text(), eq(&want), "{place}");
        }
    }
    Ok(())
}

/// Restarts the engine of a zone empty and asks all zones until `end`; it has
/// to run some of the requests again.
async fn restarts_empty(lab: &Lab, zone: &str, end: Instant) -> Result<()> {
    let engine = lab.engines.iter().find(|engine| engine.zone == zone);
    let engine = Caller::new(engine.context("no engine")?.address, "");
    let body = Bytes::from_static(b"{}");
    let path = "/admin/restart-empty";
    let done = engine.send(Method::POST, path, body, &[]).await?;
    assert_that!(done.status, lt(300));
    let before = engine.get("/admin/stats").await?["started"].as_u64();
    let zones: BTreeSet<&String> = lab.entries.iter().map(|entry| &entry.zone).collect();
    let mut turn = 0;
    while Instant::now() < end || turn < 2 {
        turn += 1;
        for zone in &zones {
            asked(lab, zone, &format!("turn {turn}")).await?;
        }
    }
    let after = engine.get("/admin/stats").await?["started"].as_u64();
    assert_that!(after, gt(before));
    Ok(())
}

/// Checks that no engine has lost an adapter that a request was using.
async fn none_unloaded(lab: &Lab) -> Result<()> {
    for engine in &lab.engines {
        let stats = Caller::new(engine.address, "").get("/admin/stats").await?;
        assert_that!(stats["unloads_in_use"], eq(&json!(0)), "{}", engine.name);
    }
    Ok(())
}

/// A user sees: no answer at all while their availability zone is cut off, or
/// an application handed in twice, or a letter cut off when the zone comes
/// back. The leader's zone is cut off from the others with all that is in it.
/// It goes on with its own engine, also after that restarted empty, and takes
/// no marked request; the others go on with changes. The engine has a slot for
/// one of two adapters and obeys everybody, so its owner can answer both only
/// as long as it is in charge by its zone's word. Once the links are mended,
/// all agree, and nobody has lost an engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_serves_by_itself() -> Result<()> {
    let plan = Plan {
        zones: ["dubrava", "blato", "jankomir"].map(str::to_owned).into(),
        entries: 2,
        engines: [("drafting".to_owned(), 1)].into(),
        engine_flags: ["--slots", "1", "--ignore-fence"].map(str::to_owned).into(),
        links: true,
        ..Plan::small()
    };
    let one = TEXT.replace("slots = 4", "slots = 1");
    let one = one.replace("fencing = true", "fencing = false");
    let mut lab = start_with("zones", &plan, &one).await?;
    lab.wait_owned().await?;
    let old = lab.wait_leader().await?;
    let other = (old + 1) % lab.controls.len();
    let zone = lab.controls[old].zone.clone();
    let before = owners(&lab, old).await?;
    let of = |zone: &str| lab.entries.iter().position(|entry| entry.zone == zone);
    let here = lab.caller(of(&zone).context("no entry")?, KAZALISTE);
    let there = lab.caller(
        of(&lab.controls[other].zone).context("no entry")?,
        KAZALISTE,
    );
    let all = instances(&lab).chain(targets(&lab));
    cut_off(&lab, all, |(_, of)| *of == zone)?;
    let end = Instant::now() + CUT;
    // As soon as the links are cut: the zone's leader leads by its own lights.
    let early = apply(&here, "k-1").await?;
    assert_that!(early.status, not(eq(200)), "{early:?}");
    let text = one.replace("weight = 1", "weight = 2");
    let version = accepted(&lab, other, "second", &text).await?;
    taken(&there, "k-1").await?;
    let refused = async || {
        let reply = apply(&here, "k-2").await.ok()?;
        (reply.header(header::REASON) == Some("no-quorum")).then_some(reply)
    };
    let refused = until("the zone takes no application", refused).await?;
    assert_that!(refused.verdict(), some(eq(Verdict::NotRun)));
    restarts_empty(&lab, &zone, end).await?;
    assert_that!(executions(&lab, "k-2").await?, eq(0));
    links(&lab)?.restore();
    everywhere(&lab, version).await?;
    for key in ["k-1", "k-2"] {
        taken(&here, key).await?;
        assert_that!(executions(&lab, key).await?, eq(1), "{key}");
    }
    asked(&lab, &zone, "mended").await?;
    assert_that!(owners(&lab, other).await?, eq(&before));
    none_unloaded(&lab).await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
