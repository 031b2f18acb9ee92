//! The metrics for service levels reach an OTLP collector: load stalls, batch
//! efficiency, and the metrics that explain them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use anyhow::Result;
use googletest::prelude::*;
use lab::{Chat, Plan};
use serde_json::Value;

use crate::common::{KAZALISTE, collector, start};

/// Count and sum of each metric, by its last export.
type Metrics = BTreeMap<String, (u64, f64)>;

/// The first request of an adapter waits until it is loaded, the second finds it
/// resident. Both must be counted, and the wait must be recorded, or the metric would
/// show stalls rarer or shorter than callers see them, as it would if it left out
/// requests that gave up.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_stall_is_measured() -> Result<()> {
    let metrics = Arc::new(Mutex::new(Metrics::new()));
    let kept = Arc::clone(&metrics);
    let collector = collector(move |value| record(value, &mut kept.lock().unwrap())).await?;
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
    let metrics = metrics.lock().unwrap().clone();
    let metric = |name: &str| metrics.get(name).copied().unwrap_or_default();
    let (stalls, stalled) = metric("quetzal.load_stall");
    assert_that!(stalls, ge(2), "{metrics:?}");
    // The stand-in's store takes 50 ms for a load.
    assert_that!(stalled, ge(0.04), "{metrics:?}");
    assert_that!(metric("quetzal.queue_wait").0, eq(stalls));
    assert_that!(metric("quetzal.load_time").1, ge(0.04));
    assert_that!(metric("quetzal.loads").1, ge(1.0));
    assert_that!(metric("quetzal.batch_efficiency").0, gt(0));
    assert_that!(metric("quetzal.first_token").0, ge(2));
    assert_that!(metric("quetzal.token_gap").0, ge(2));
    assert_that!(metric("quetzal.tokens").1, ge(32.0));
    lab.clean()
}

/// Records the data points of each metric, summed over labels. The values are
/// cumulative, so the last export replaces earlier ones.
fn record(value: &Value, metrics: &mut Metrics) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| record(item, metrics)),
        Value::Object(map) => {
            let data = map.get("histogram").or_else(|| map.get("sum"));
            let points = data.and_then(|data| data["dataPoints"].as_array());
            let Some((name, points)) = map.get("name").and_then(Value::as_str).zip(points) else {
                return map.values().for_each(|item| record(item, metrics));
            };
            let sums = points.iter().fold((0, 0.0), |(count, sum), point| {
                let counted = number(&point["count"]) as u64;
                let summed = number(&point["sum"]) + number(&point["asInt"]);
                (count + counted, sum + summed)
            });
            metrics.insert(name.to_owned(), sums);
        }
        _ => {}
    }
}

/// Reads a number, which OTLP's JSON may write as a string.
fn number(value: &Value) -> f64 {
    let text = value.as_str().and_then(|text| text.parse().ok());
    value.as_f64().or(text).unwrap_or_default()
}
