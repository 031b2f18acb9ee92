//! Which verdicts follow from which crashes.

use std::time::Duration;

use base::{Fingerprint, Time};
use googletest::prelude::*;
use quarantine::{Ledger, Verdict};
use wire::quarantine::CrashedRun;

const MINUTE: Duration = Duration::from_secs(60);

/// A crash: seconds, target, and milliseconds that the run had lasted.
type Crash = (u64, &'static str, u64);

fn request() -> Fingerprint {
    Fingerprint::of(&[b"request"])
}

fn add(ledger: &mut Ledger, crash: Crash) {
    add_run(ledger, request(), crash);
}

fn add_run(ledger: &mut Ledger, fingerprint: Fingerprint, (at, target, ran): Crash) {
    let run = CrashedRun {
        fingerprint,
        target: target.to_owned(),
        ago: Duration::ZERO,
        ran: Duration::from_millis(ran),
    };
    ledger.crashed(Time::from_millis(at * 1_000), &run);
}

/// Checks for how long a request is refused after these crashes; zero for not at all.
fn check((crashes, least, most): (&[Crash], Duration, Duration)) {
    let mut ledger = Ledger::default();
    for crash in crashes {
        add(&mut ledger, *crash);
    }
    let now = Time::from_millis(100_000);
    let time = ledger.due(now).first().map(|verdict| verdict.time);
    let time = time.unwrap_or_default();
    assert_that!(time, ge(least));
    assert_that!(time, le(most));
}

base::cases! {
    /// Guards against refusing too soon, too long or not at all.
    verdicts_follow_from_crashes: check => {
        two_crashes: (&[(1, "a", 50), (3, "b", 50)], Duration::ZERO, Duration::ZERO),
        three_soon_after_it_began: (&[(1, "a", 50), (3, "b", 50), (5, "c", 50)], 2 * MINUTE, 2 * MINUTE),
        three_of_one_target: (&[(1, "a", 50), (9, "a", 50), (17, "a", 50)], 2 * MINUTE, 2 * MINUTE),
        three_long_after_it_began: (
            &[(1, "a", 5_000), (3, "b", 5_000), (5, "c", 5_000)],
            Duration::from_millis(1),
            Duration::from_secs(4),
        ),
        one_crash_seen_by_three_instances: (
            &[(1, "a", 50), (1, "a", 80), (1, "a", 20)],
            Duration::ZERO,
            Duration::ZERO,
        ),
    }
}

/// Guards against refusing what doesn't crash what runs it.
#[test]
fn a_complete_answer_clears_a_request() {
    let mut ledger = Ledger::default();
    add(&mut ledger, (1, "a", 50));
    add(&mut ledger, (3, "b", 50));
    ledger.answered(&request());
    add(&mut ledger, (5, "c", 50));
    assert_that!(ledger.due(Time::from_millis(9_000)).len(), eq(0));
}

/// Guards against a verdict that is given twice for the same crashes, and against one
/// that is as short after the next crash.
#[test]
fn a_further_crash_after_the_release_is_held_longer() {
    let mut ledger = Ledger::default();
    for crash in [(1, "a", 50), (3, "b", 50), (5, "c", 50)] {
        add(&mut ledger, crash);
    }
    let now = Time::from_millis(6_000);
    let first = ledger.due(now)[0];
    ledger.judged(now, &first);
    assert_that!(ledger.due(now).len(), eq(0));
    add(&mut ledger, (200, "d", 50));
    let again = ledger.due(Time::from_millis(201_000))[0];
    assert_that!(again.time, gt(first.time));
}

/// Guards against memory that grows with each request that ran on a crashed target.
#[test]
fn evidence_is_bounded_and_ends() {
    let mut ledger = Ledger::default();
    for no in 0..9_000_u64 {
        let run = CrashedRun {
            fingerprint: Fingerprint::of(&[&no.to_le_bytes()]),
            target: "a".to_owned(),
            ago: Duration::ZERO,
            ran: Duration::ZERO,
        };
        ledger.crashed(Time::from_millis(no), &run);
    }
    assert_that!(ledger.len(), le(8_192));
    ledger.expire(Time::from_millis(9_000) + 60 * MINUTE);
    assert_that!(ledger.is_empty(), eq(true));
}

fn other(no: u64) -> Fingerprint {
    Fingerprint::of(&[&no.to_le_bytes()])
}

/// Adds the crashes of two causes, and of a request that ran beside them.
fn two_causes(ledger: &mut Ledger) {
    for (cause, target, at) in [(1, "a", 1), (2, "b", 3), (1, "c", 5)] {
        add_run(ledger, other(cause), (at, target, 80));
        add(ledger, (at, target, 80));
    }
}

/// Guards against a request that is refused for long as each of its crashes was another
/// one's: three causes explain what it seems to explain alone.
#[test]
fn what_others_explain_is_released() {
    let mut ledger = Ledger::default();
    two_causes(&mut ledger);
    let now = Time::from_millis(6_000);
    let first = ledger.due(now);
    assert_that!(first.len(), eq(1));
    ledger.judged(now, &first[0]);
    for (cause, target, at) in [(1, "d", 7), (1, "e", 9), (2, "f", 8), (2, "g", 10)] {
        add_run(&mut ledger, other(cause), (at, target, 80));
    }
    let now = Time::from_millis(11_000);
    let due = ledger.due(now);
    let own = due.iter().find(|verdict| verdict.fingerprint == request());
    let own = own.map(|verdict| verdict.time);
    assert_that!(own, some(le(Duration::from_secs(4))));
    // An instance that hears of it after its end goes by the one for long.
    assert_that!(own, some(ge(Duration::from_secs(1))));
    for cause in [1, 2] {
        let verdict = due.iter().find(|v| v.fingerprint == other(cause));
        assert_that!(verdict.map(|v| v.time), some(ge(2 * MINUTE)), "{cause}");
    }
}

/// Guards against a request that is refused for long though it was part of a crash only
/// beside others that are refused by now: sent alone, it shows what it does.
#[test]
fn what_ran_beside_refused_ones_only_is_tried() {
    let mut ledger = Ledger::default();
    add_run(&mut ledger, other(1), (1, "a", 80));
    add_run(&mut ledger, other(2), (2, "b", 80));
    for (cause, at, target) in [(1, 3, "c"), (1, 5, "d"), (1, 7, "e")] {
        add_run(&mut ledger, other(cause), (at, target, 80));
        add(&mut ledger, (at, target, 80));
    }
    for (cause, at, target) in [(2, 9, "f"), (2, 11, "g"), (2, 13, "h")] {
        add_run(&mut ledger, other(cause), (at, target, 80));
        add(&mut ledger, (at, target, 80));
    }
    let now = Time::from_millis(14_000);
    for cause in [1, 2] {
        let verdict = Verdict {
            fingerprint: other(cause),
            crashes: 4,
            time: 2 * MINUTE,
        };
        ledger.judged(now, &verdict);
    }
    let due = ledger.due(now);
    let own = due.iter().find(|verdict| verdict.fingerprint == request());
    let own = own.map(|verdict| verdict.time);
    assert_that!(own, some(le(Duration::from_secs(4))));
}
