//! The software versions in the replicated log, on the state machine alone.

use control::{Command, State, What};
use googletest::prelude::*;
use wire::stream::ServiceSoftware;

/// Milliseconds of a second.
const SECOND: u64 = 1_000;

fn versions(names: &[&str]) -> Vec<ServiceSoftware> {
    let names = names.iter();
    let versions = names.map(|name| ServiceSoftware {
        service: "s".to_owned(),
        software: name.parse().ok(),
    });
    versions.collect()
}

fn note(state: &mut State, second: u64, names: &[&str]) {
    let command = Command {
        at: second * SECOND,
        wall: 0,
        what: What::Software(versions(names)),
    };
    state.apply(1, &command);
}

fn all(state: &State) -> Vec<ServiceSoftware> {
    state.software().all().cloned().collect()
}

/// Guards against a version that is forgotten while a stream that it began may live.
#[gtest]
fn versions_are_kept_for_longer_than_streams_live() {
    let mut state = State::default();
    note(&mut state, 0, &["v1"]);
    note(&mut state, 79, &["v2"]);
    expect_that!(all(&state), eq(&versions(&["v1", "v2"])));
    note(&mut state, 99, &["v2"]);
    expect_that!(all(&state), eq(&versions(&["v1", "v2"])));
    note(&mut state, 100, &["v2"]);
    expect_that!(all(&state), eq(&versions(&["v2"])));
}

/// Guards against a version that isn't noted again while it is listed, and against a write to
/// the log with each reading of a list.
#[gtest]
fn versions_are_noted_again_in_time() {
    let mut state = State::default();
    let due = |state: &State, second, names: &[&str]| {
        state.software().is_due(second * SECOND, &versions(names))
    };
    expect_true!(due(&state, 0, &["v1"]));
    note(&mut state, 0, &["v1"]);
    expect_false!(due(&state, 19, &["v1"]));
    expect_true!(due(&state, 19, &["v1", "v2"]));
    expect_true!(due(&state, 20, &["v1"]));
}

/// Guards against a log that grows with versions without end, and against one that drops a
/// version which may have begun streams for another.
#[gtest]
fn versions_beyond_the_bound_are_not_noted() {
    let mut state = State::default();
    let names: Vec<String> = (0..2_000).map(|no| format!("v{no:04}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    note(&mut state, 0, &names);
    expect_that!(all(&state), eq(&versions(&names[..1_024])));
    expect_false!(state.software().is_due(0, &versions(&names)));
}

/// Guards against versions that are lost with a snapshot.
#[gtest]
fn a_snapshot_keeps_versions() {
    let mut state = State::default();
    note(&mut state, 7, &["v1", ""]);
    let restored = State::restore(&state.save()).unwrap();
    expect_that!(restored, eq(&state));
}
