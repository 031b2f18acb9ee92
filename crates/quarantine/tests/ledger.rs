//! Which verdicts follow from which crashes.

use std::time::Duration;

use base::{Fingerprint, Time};
use googletest::prelude::*;
use quarantine::Ledger;
use wire::quarantine::CrashedRun;

const MINUTE: Duration = Duration::from_secs(60);

/// A crash: seconds, target, and milliseconds that the run had lasted.
type Crash = (u64, &'static str, u64);

fn request() -> Fingerprint {
    Fingerprint::of(&[b"request"])
}

fn add(ledger: &mut Ledger, (at, target, ran): Crash) {
    let run = CrashedRun {
        fingerprint: request(),
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
