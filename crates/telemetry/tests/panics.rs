//! Panics have a numbered line.

use std::{fs, thread};

use googletest::prelude::*;
use serde_json::Value;
use telemetry::{LogLevel, TelemetrySettings};

/// Guards against a thread that ends by a panic without a line in the log.
#[test]
fn a_panic_is_logged_with_its_place() {
    let name = format!("quetzal-panics-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join("control.log");
    let settings = TelemetrySettings {
        zone: "blato".parse().unwrap(),
        level: LogLevel::Info,
        file: Some(file.clone()),
        stdout: false,
        otlp: None,
        trace_one_in: 1,
    };
    let guard = telemetry::start("controld", "c1", &settings).unwrap();
    let ended = thread::spawn(|| panic!("a fault of the program")).join();
    drop(guard);
    let written = fs::read_to_string(&file).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    assert_that!(ended.is_err(), eq(true));
    let line: Value = serde_json::from_str(written.trim()).unwrap();
    assert_that!(line["event"], eq("E1011"));
    assert_that!(line["fields"]["why"], eq("a fault of the program"));
    let place = line["fields"]["place"].as_str().unwrap();
    assert_that!(place, contains_substring("panics.rs"));
}
