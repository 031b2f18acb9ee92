//! Network partitions: instances that are cut off from others and go on running.

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

/// How long a partition lasts: three times a lease, so that leases granted before it
/// have expired on both sides.
const PARTITION: Duration = Duration::from_secs(10);

fn links(lab: &Lab) -> Result<&Links> {
    lab.links.as_ref().context("no links")
}

/// The name and the zone of an instance or target.
type NameAndZone<'a> = (&'a String, &'a String);

fn instances(lab: &Lab) -> impl Iterator<Item = NameAndZone<'_>> {
    let all = lab.controls.iter().chain(&lab.entries);
    all.map(|instance| (&instance.name, &instance.zone))
}

fn targets(lab: &Lab) -> impl Iterator<Item = NameAndZone<'_>> {
    let all = lab.engines.iter().chain(&lab.services);
    all.map(|target| (&target.name, &target.zone))
}

/// Cuts the links between those of `all` that are `inside` and the others.
fn cut_off<'a>(
    lab: &Lab,
    all: impl Iterator<Item = NameAndZone<'a>>,
    inside: impl Fn(NameAndZone<'a>) -> bool,
) -> Result<()> {
    let (some, others): (Vec<_>, Vec<_>) = all.partition(|placed| inside(*placed));
    let named = |all: Vec<NameAndZone<'a>>| -> Vec<String> {
        all.into_iter().map(|(name, _)| name.clone()).collect()
    };
    links(lab)?.cut(&named(some), &named(others));
    Ok(())
}

/// Submits an application: a marked request, which may run only once.
async fn apply(caller: &Caller, key: &str) -> Result<Reply> {
    let headers = [(header::IDEMPOTENCY_KEY, key.to_owned())];
    let path = "/kazaliste/submissions/apply";
    let body = Bytes::from_static(b"dora");
    caller.send(Method::POST, path, body, &headers).await
}

/// Submits an application until it is answered with 200.
async fn submitted(caller: &Caller, key: &str) -> Result<Reply> {
    let done = async || {
        let reply = apply(caller, key).await.ok()?;
        (reply.status == 200).then_some(reply)
    };
    until(&format!("{key} is accepted"), done).await
}

/// Returns how often all services together ran the application with this key.
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

/// Sends a change to control instance `at` until it is accepted; returns its version.
async fn accepted(lab: &Lab, at: usize, id: &str, text: &str) -> Result<u64> {
    let accepted = async || {
        let applied = change(lab, at, id, text).await.ok()?;
        let accepted = applied["outcome"] == "accepted";
        accepted.then(|| applied["version"].as_u64())?
    };
    until("the others accept a change", accepted).await
}

/// Returns the accepted version that control instance `at` reports.
async fn version(lab: &Lab, at: usize) -> Option<u64> {
    let status = lab.operator(at).get("/v1/status").await.ok()?;
    status["version"].as_u64()
}

/// Waits until all instances have a version.
async fn everywhere(lab: &Lab, accepted: u64) -> Result<()> {
    for i in 0..lab.controls.len() {
        let same = async || (version(lab, i).await? == accepted).then_some(());
        until("all have the accepted change", same).await?;
    }
    lab.wait_ready(accepted).await
}

/// Guards against accepted changes that are undone, and applications that run twice.
/// The leader and the owner of an engine are partitioned from all others and go on
/// running, so the leader still believes that it leads: it must accept no change, and
/// grant no claim to the instance that reaches it. What the others accept meanwhile
/// is in force at all instances once the links are restored.
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
    // Directly after the cut the old leader still believes that it leads.
    let refused = apply(&here, "k-1").await?;
    assert_that!(refused.status, not(eq(200)), "{refused:?}");
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    let accepted = accepted(&lab, other, "second", &second).await?;
    submitted(&there, "k-1").await?;
    let resigned = async || {
        let status = lab.operator(old).get("/v1/status").await.ok()?;
        status["leader"].is_null().then_some(())
    };
    until("the leader that is cut off resigns", resigned).await?;
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    assert_that!(apply(&here, "k-2").await?.status, not(eq(200)));
    assert_that!(executions(&lab, "k-2").await?, eq(0));
    answered(&there, "drafting").await?;
    links(&lab)?.restore();
    everywhere(&lab, accepted).await?;
    let isolated = change(&lab, old, "isolated", &first).await?;
    assert_that!(isolated["outcome"], not(eq(&json!("accepted"))));
    submitted(&here, "k-1").await?;
    submitted(&here, "k-2").await?;
    for key in ["k-1", "k-2"] {
        assert_that!(executions(&lab, key).await?, eq(1), "{key}");
    }
    none_unloaded(&lab).await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Returns the owner of each engine, as control instance `at` reports it.
async fn owners(lab: &Lab, at: usize) -> Result<BTreeMap<String, Value>> {
    let status = lab.operator(at).get("/v1/status").await?;
    let engines = status["engines"].as_array().into_iter().flatten();
    let owner = |engine: &Value| {
        let name = engine["target"].as_str().unwrap_or_default();
        (name.to_owned(), engine["owner"].clone())
    };
    Ok(engines.map(owner).collect())
}

/// Sends a request of each brand to each entry instance of a zone; every answer must
/// be complete, and of the right adapter.
async fn ask_all(lab: &Lab, zone: &str, prompt: &str) -> Result<()> {
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

/// Restarts the engine of a zone without any adapter and sends requests in all zones
/// until `end`; the engine has to run some of them.
async fn restart_engine_empty(lab: &Lab, zone: &str, end: Instant) -> Result<()> {
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
            ask_all(lab, zone, &format!("turn {turn}")).await?;
        }
    }
    let after = engine.get("/admin/stats").await?["started"].as_u64();
    assert_that!(after, gt(before));
    Ok(())
}

/// Checks that no engine was made to unload an adapter that a request was using.
async fn none_unloaded(lab: &Lab) -> Result<()> {
    for engine in &lab.engines {
        let stats = Caller::new(engine.address, "").get("/admin/stats").await?;
        assert_that!(stats["unloads_in_use"], eq(&json!(0)), "{}", engine.name);
    }
    Ok(())
}

/// Guards against an availability zone that serves nothing while it is cut off, and
/// against applications that run twice or answers cut off when it comes back. The
/// leader's zone is cut off from the others with all its instances and targets. It
/// goes on serving with its own engine, also after that restarted empty, and refuses
/// marked requests; the others go on accepting changes. The engine has a slot for only
/// one of two adapters and doesn't check fences, so its owner can serve both only as
/// long as the instances of its zone confirm its lease. Once the links are restored,
/// all instances agree, and every engine has the same owner as before.
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
    let end = Instant::now() + PARTITION;
    // Directly after the cut the zone's leader still believes that it leads.
    let early = apply(&here, "k-1").await?;
    assert_that!(early.status, not(eq(200)), "{early:?}");
    let text = one.replace("weight = 1", "weight = 2");
    let version = accepted(&lab, other, "second", &text).await?;
    submitted(&there, "k-1").await?;
    let refused = async || {
        let reply = apply(&here, "k-2").await.ok()?;
        (reply.header(header::REASON) == Some("no-quorum")).then_some(reply)
    };
    let refused = until("the zone refuses applications", refused).await?;
    assert_that!(refused.verdict(), some(eq(Verdict::NotRun)));
    restart_engine_empty(&lab, &zone, end).await?;
    assert_that!(executions(&lab, "k-2").await?, eq(0));
    links(&lab)?.restore();
    everywhere(&lab, version).await?;
    for key in ["k-1", "k-2"] {
        submitted(&here, key).await?;
        assert_that!(executions(&lab, key).await?, eq(1), "{key}");
    }
    ask_all(&lab, &zone, "mended").await?;
    assert_that!(owners(&lab, other).await?, eq(&before));
    none_unloaded(&lab).await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
