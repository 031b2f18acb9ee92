//! Targets that leave, restart empty or fail to load; and the sample texts of both
//! deployments.

use std::{collections::BTreeMap, fs, path::PathBuf};

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use serde_json::{Value, json};
use web::Method;

use crate::common::{KAZALISTE, answered, expected, start};

async fn admin(lab: &Lab, i: usize, path: &str, body: Value) -> Result<()> {
    let engine = Caller::new(lab.engines[i].address, "");
    let body = Bytes::from(body.to_string());
    let path = format!("/admin/{path}");
    let reply = engine.send(Method::POST, &path, body, &[]).await?;
    anyhow::ensure!(reply.status < 300, "{path}: {:?}", reply.body);
    Ok(())
}

async fn stat(lab: &Lab, i: usize, name: &str) -> Result<u64> {
    let engine = Caller::new(lab.engines[i].address, "");
    let stats = engine.get("/admin/stats").await?;
    Ok(stats[name].as_u64().unwrap_or_default())
}

async fn ask(lab: &Lab, prompt: &str) -> Result<()> {
    let caller = lab.caller(0, KAZALISTE);
    let reply = caller.chat(&Chat::stream("drafting", prompt)).await?;
    assert_that!(reply.text(), eq(&expected("kazaliste-live@1", prompt, 16)));
    Ok(())
}

/// Guards against errors or endless waits after engines restarted without adapters, or
/// while loads fail. Both engines restart empty, then again with their next two loads
/// failing; requests must wait for a load that succeeds.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_restart_empty_or_fail_loads_are_loaded_again() -> Result<()> {
    let mut lab = start("empty", &Plan::small()).await?;
    for i in 0..2 {
        admin(&lab, i, "restart-empty", json!({})).await?;
    }
    answered(&lab.caller(0, KAZALISTE), "drafting").await?;
    for i in 0..2 {
        admin(&lab, i, "fail-loads", json!({"count": 2})).await?;
        admin(&lab, i, "restart-empty", json!({})).await?;
    }
    answered(&lab.caller(0, KAZALISTE), "drafting").await?;
    ask(&lab, "after it all").await?;
    for i in 0..2 {
        assert_that!(stat(&lab, i, "unloads_in_use").await?, eq(0));
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Guards against answers cut off when a machine is replaced after an announcement.
/// Once the entry instance has read from the platform's list that an engine is
/// leaving, that engine starts no more requests, and the other one answers all.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_starts_nothing_more() -> Result<()> {
    let mut lab = start("leaving", &Plan::small()).await?;
    let leaving = lab.engines[0].name.clone();
    lab.publish_leaving(&[&leaving]).await?;
    let entry = Caller::new(lab.entries[0].peer, "");
    let known = async || {
        let path = "/v1/explain?brand=kazaliste&service=drafting";
        let explained = entry.get(path).await.ok()?;
        let targets = explained["targets"].as_array()?.clone();
        let one = targets.iter().find(|t| t["target"] == *leaving)?;
        (one["standing"] == "leaving").then_some(())
    };
    until("the engine is known to be leaving", known).await?;
    let before = stat(&lab, 0, "started").await?;
    for i in 0..20 {
        ask(&lab, &format!("letter {i}")).await?;
    }
    assert_that!(stat(&lab, 0, "started").await?, eq(before));
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// The sample text of each deployment can be applied in its zones, and requests of
/// one of its brands are answered in every zone.
#[tokio::test(flavor = "multi_thread")]
async fn the_samples_serve_their_zones() -> Result<()> {
    let agency = ["dubrava", "jankomir", "zitnjak", "blato"];
    sample(
        "agency",
        &agency,
        ("drafting", "portal"),
        (KAZALISTE, "drafting"),
    )
    .await?;
    let halls = ["kurasini-hall", "mikocheni-hall", "ubungo-hall"];
    let pools = ("assistant", "matching");
    sample("consortium", &halls, pools, ("sample-key-ajira", "letters")).await
}

async fn sample(
    name: &str,
    zones: &[&str],
    (engines, plain): (&str, &str),
    (key, model): (&str, &str),
) -> Result<()> {
    let plan = Plan {
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        engines: BTreeMap::from([(engines.to_owned(), 1)]),
        plain: BTreeMap::from([(plain.to_owned(), 1)]),
        ..Plan::small()
    };
    let mut lab = Lab::start(name, &plan).await?;
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let text = fs::read_to_string(path.join(format!("{name}.toml")))?;
    let version = lab.apply("sample", &text).await?;
    lab.wait_ready(version).await?;
    for i in 0..lab.entries.len() {
        answered(&lab.caller(i, key), model).await?;
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
