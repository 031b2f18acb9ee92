//! `docs/logs.md` lists the same events and metrics as the code.

use std::{collections::BTreeSet, fs, path::PathBuf};

use googletest::prelude::*;
use telemetry::{Event, catalogue};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/logs.md")).unwrap()
}

#[test]
fn events_and_page_agree() {
    assert_that!(catalogue::differences(&page()), is_empty());
    assert_that!(catalogue::update(&page()).unwrap(), eq(&page()));
}

#[test]
fn numbers_go_up() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_that!(numbers.is_sorted_by(|a, b| a < b), eq(true));
}

base::cases! {
    /// Each kind of difference between page and code is reported.
    difference_is_noticed: check_difference => {
        gone: ("| E1001 `Started`", "| gone", "E1001 Started is not on the page"),
        reworded: ("| started |", "| begun |", "E1001 Started differs on the page"),
        extra: ("| E1001 `Started`", "| E9999 `New` |\n| E1001 `Started`", "E9999 is not in the code"),
        twice: ("| E1001 `Started`", "| E1002 `X` |\n| E1001 `Started`", "E1002 appears twice on the page"),
    }
}

fn check_difference((from, to, expected): (&str, &str, &str)) {
    let changed = page().replacen(from, to, 1);
    assert_that!(changed, not(eq(&page())));
    assert_that!(catalogue::differences(&changed), contains(eq(expected)));
}

/// The page must list every metric, because operators look metrics up there.
#[test]
fn metrics_and_page_agree() {
    let code = fs::read_to_string(root().join("crates/telemetry/src/metrics.rs")).unwrap();
    assert_that!(metrics(&page(), '`'), eq(&metrics(&code, '"')));
}

fn metrics(source: &str, quote: char) -> BTreeSet<String> {
    let quoted = source
        .split(quote)
        .filter(|part| part.starts_with("quetzal."));
    quoted.map(str::to_owned).collect()
}
