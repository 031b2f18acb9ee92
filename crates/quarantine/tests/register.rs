//! What a control instance keeps of verdicts, and what it tells of them.

use std::time::Duration;

use base::{Fingerprint, Time};
use googletest::prelude::*;
use quarantine::{Logged, Register};
use wire::quarantine::CrashReport;

fn seconds(n: u64) -> Time {
    Time::from_millis(n * 1_000)
}

fn verdict(index: u64, left_s: u64) -> Logged {
    Logged {
        fingerprint: Fingerprint::of(&[&index.to_le_bytes()]),
        index,
        left: Duration::from_secs(left_s),
        crashes: 3,
        lifted: false,
    }
}

/// Guards against a control instance that doesn't lead and keeps every verdict that was
/// ever given.
#[test]
fn verdicts_that_have_ended_are_forgotten_without_leading() {
    let mut register = Register::default();
    for no in 1..=1_000 {
        register.logged(seconds(no), [verdict(no, 10)]);
    }
    assert_that!(register.held(), le(11));
}

/// Guards against telling the end of a verdict's time as if its request had been cleared.
#[test]
fn a_verdict_that_has_ended_is_not_told() {
    let mut register = Register::default();
    register.logged(seconds(1), [verdict(1, 10), verdict(2, 100)]);
    let told = register.since(seconds(60), 0);
    assert_that!(told.changes.len(), eq(1));
    assert_that!(told.changes[0].index, eq(2));
    assert_that!(told.last, eq(2));
}

#[test]
fn a_requester_is_told_what_it_lacks() {
    let mut register = Register::default();
    register.logged(seconds(1), [verdict(5, 100), verdict(7, 100)]);
    let told = |known| register.since(seconds(2), known).changes.len();
    assert_that!((told(0), told(5), told(7)), eq((2, 1, 0)));
}

/// Guards against instances that know verdicts of another log, and so would be told
/// nothing.
#[test]
fn a_requester_of_another_log_is_told_all() {
    let mut register = Register::default();
    register.logged(seconds(1), [verdict(5, 100)]);
    assert_that!(register.since(seconds(2), 900).changes.len(), eq(1));
}

/// Guards against a request that stays refused though it was answered in full.
#[test]
fn an_answer_lifts_a_verdict_once() {
    let mut register = Register::default();
    let held = verdict(5, 100);
    register.logged(seconds(1), [held]);
    let report = CrashReport {
        answered: vec![held.fingerprint],
        ..CrashReport::default()
    };
    let lifts = register.add(seconds(2), &report);
    assert_that!(lifts, elements_are![eq(&held.fingerprint)]);
    assert_that!(register.add(seconds(2), &report).is_empty(), eq(true));
}
