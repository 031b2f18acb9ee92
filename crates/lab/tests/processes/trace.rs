//! The spans of a request form one trace, through every process to the engine.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use anyhow::{Context, Result};
use googletest::prelude::*;
use lab::{Caller, Chat, Plan, until};
use serde_json::Value;
use wire::header;

use crate::common::{KAZALISTE, collector, expected, start};

/// Trace id and span id that the test sends as the caller.
const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

#[derive(Clone, Debug, PartialEq, Eq)]
struct Span {
    name: String,
    id: String,
    parent: String,
}

type Spans = Arc<Mutex<BTreeMap<String, Span>>>;

fn collect(value: &Value, spans: &mut BTreeMap<String, Span>) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| collect(item, spans)),
        Value::Object(map) if value["traceId"] == TRACE_ID => {
            let text = |key: &str| map.get(key).and_then(Value::as_str).unwrap_or_default();
            let span = Span {
                name: text("name").to_owned(),
                id: text("spanId").to_owned(),
                parent: text("parentSpanId").to_owned(),
            };
            spans.insert(span.id.clone(), span);
        }
        Value::Object(map) => map.values().for_each(|item| collect(item, spans)),
        _ => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_join_hop_by_hop() -> Result<()> {
    let spans = Spans::default();
    let kept = Arc::clone(&spans);
    let collector = collector(move |value| collect(value, &mut kept.lock().unwrap())).await?;
    let plan = Plan {
        zones: vec!["dubrava".to_owned(), "blato".to_owned()],
        // The entry instance in dubrava has to pass its requests on.
        engine_zones: vec!["blato".to_owned()],
        engines: [("drafting".to_owned(), 1)].into(),
        daemon_flags: vec!["--otlp".to_owned(), format!("http://{collector}")],
        ..Plan::small()
    };
    let mut lab = start("trace", &plan).await?;
    let mut chat = Chat::stream("drafting", "whose voice is this");
    let parent = format!("00-{TRACE_ID}-{CALLER_SPAN}-01");
    chat.headers.push((header::TRACEPARENT, parent));
    let reply = lab.caller(0, KAZALISTE).chat(&chat).await?;
    let want = expected("kazaliste-live@1", &chat.prompt, 16);
    assert_that!(reply.text(), eq(&want));
    let chain = async || chain(&spans.lock().unwrap());
    let chain = until("the whole chain of spans", chain).await?;
    let names: Vec<_> = chain.iter().map(|span| span.name.as_str()).collect();
    assert_that!(
        names,
        elements_are![eq(&"entry"), eq(&"attempt"), eq(&"hop"), eq(&"attempt")]
    );
    let engine = Caller::new(lab.engines[0].address, "");
    let stats = engine.get("/admin/stats").await?;
    let last = chain.last().context("no last span")?;
    let seen = stats["traces"].as_array().context("no traces")?;
    let want = format!("00-{TRACE_ID}-{}-01", last.id);
    assert_that!(seen.iter().any(|trace| *trace == *want), eq(true));
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Returns the chain of spans below the caller's span, each the child of the one
/// before, once it has four.
fn chain(spans: &BTreeMap<String, Span>) -> Option<Vec<Span>> {
    let mut chain: Vec<Span> = Vec::new();
    let mut parent = CALLER_SPAN.to_owned();
    while let Some(span) = spans.values().find(|span| span.parent == parent) {
        parent = span.id.clone();
        chain.push(span.clone());
    }
    (chain.len() >= 4).then_some(chain)
}
