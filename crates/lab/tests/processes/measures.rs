//! The users' measures reach a collector: load stalls, batch efficiency, and
//! what stands behind them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use anyhow::Result;
use googletest::prelude::*;
use lab::{Chat, Plan};
use serde_json::Value;

use crate::common::{KAZALISTE, collector, start};

/// Count and sum of each metric, as told last.
type Told = BTreeMap<String, (u64, f64)>;

/// A performer's first request waits while its adapter is loaded, the second
/// finds it resident. Were only the waits that happened counted, or those of
/// requests that gave up left out, the stalls would look rarer or shorter than
/// callers see them.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_stall_is_measured() -> Result<()> {
    let told = Arc::new(Mutex::new(Told::new()));
    let kept = Arc::clone(&told);
    let collector = collector(move |value| take(value, &mut kept.lock().unwrap())).await?;
    let plan = Plan {
        daemon_flags: vec!["--otlp".to_owned(), format!("http://{collector}")],
        ..Plan::small()
    };
    let mut lab = start("measures", &plan).await?;
    for prompt in ["first", "second"] {
        let chat = Chat::stream("drafting", prompt);
        let reply = lab.caller(0, KAZALISTE).chat(&chat).await?;
        assert_that!(reply.status, eq(200));
    }
    assert_that!(lab.stop().await?, eq(true));
    let told = told.lock().unwrap().clone();
    let metric = |name: &str| told.get(name).copied().unwrap_or_default();
    let (stalls, stalled) = metric("quetzal.load_stall");
    assert_that!(stalls, ge(2), "{told:?}");
    // The stand-in's store takes 50 ms for a load.
    assert_that!(stalled, ge(0.04), "{told:?}");
    assert_that!(metric("quetzal.queue_wait").0, eq(stalls));
    assert_that!(metric("quetzal.load_time").1, ge(0.04));
    assert_that!(metric("quetzal.loads").1, ge(1.0));
    assert_that!(metric("quetzal.batch_efficiency").0, gt(0));
    assert_that!(metric("quetzal.first_token").0, ge(2));
    assert_that!(metric("quetzal.token_gap").0, ge(2));
    assert_that!(metric("quetzal.tokens").1, ge(32.0));
    lab.clean()
}

/// Takes the data points of each metric, summed over labels; the figures of a
/// process only grow, so the last message counts.
fn take(value: &Value, told: &mut Told) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| take(item, told)),
        Value::Object(map) => {
            let data = map.get("histogram").or_else(|| map.get("sum"));
            let points = data.and_then(|data| data["dataPoints"].as_array());
            let Some((name, points)) = map.get("name").and_then(Value::as_str).zip(points) else {
                return map.values().for_each(|item| take(item, told));
            };
            let sums = points.iter().fold((0, 0.0), |(count, sum), point| {
                let counted = number(&point["count"]) as u64;
                let summed = number(&point["sum"]) + number(&point["asInt"]);
                (count + counted, sum + summed)
            });
            told.insert(name.to_owned(), sums);
        }
        _ => {}
    }
}

/// Reads a number, which OTLP's JSON may write as a text.
fn number(value: &Value) -> f64 {
    let text = value.as_str().and_then(|text| text.parse().ok());
    value.as_f64().or(text).unwrap_or_default()
}
