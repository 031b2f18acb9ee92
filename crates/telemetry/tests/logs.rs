//! Each event is logged as one JSON line with the fields that `docs/logs.md` lists.

use std::fs;

use googletest::prelude::*;
use serde_json::Value;
use telemetry::{Event, LogLevel, Secret, TelemetrySettings, event};

#[test]
fn an_event_is_one_line() {
    let folder = std::env::temp_dir().join(format!("quetzal-logs-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join("entry.log");
    let settings = TelemetrySettings {
        zone: "blato".parse().unwrap(),
        level: LogLevel::Info,
        file: Some(file.clone()),
        stdout: false,
        otlp: None,
        trace_one_in: 1,
    };
    let guard = telemetry::start("entryd", "e3", &settings).unwrap();
    let key = Secret::new("sk-bare");
    let span = telemetry::span!("entry", key = %key);
    telemetry::set_parent(
        &span,
        Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
    );
    span.in_scope(|| {
        event!(
            Event::EngineTaken,
            engine = "draft-7",
            fence = 812,
            key = key
        )
    });
    event!(Event::RequestDone);
    log::warn!("a library's \"own\" line");
    drop(guard);
    let written = fs::read_to_string(&file).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    assert_that!(written, not(contains_substring("sk-bare")));
    let lines: Vec<Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_that!(lines.len(), eq(2), "{written}");
    let expected = serde_json::json!({
        "time": lines[0]["time"], "level": "info", "service": "entryd", "instance": "e3",
        "zone": "blato", "event": "E3001", "name": "EngineTaken", "message": "engine taken",
        "trace": "4bf92f3577b34da6a3ce929d0e0e4736",
        "fields": {"engine": "draft-7", "fence": 812, "key": "***"},
    });
    assert_that!(lines[0], eq(&expected));
    assert_that!(lines[0]["time"].as_str().unwrap(), ends_with("+00:00"));
    assert_that!(lines[1]["event"], eq("E0"));
    assert_that!(lines[1]["message"], eq("a library's \"own\" line"));
}
