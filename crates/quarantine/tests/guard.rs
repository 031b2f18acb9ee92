//! What an entry instance refuses.

use std::time::Duration;

use base::{Fingerprint, Time};
use googletest::prelude::*;
use quarantine::{Change, Guard};
use wire::quarantine::{CrashedRun, QuarantineChange};

fn request() -> Fingerprint {
    Fingerprint::of(&[b"request"])
}

fn seconds(n: u64) -> Time {
    Time::from_millis(n * 1_000)
}

fn verdict(index: u64, left_s: u64) -> QuarantineChange {
    QuarantineChange {
        fingerprint: request(),
        index,
        left: Duration::from_secs(left_s),
        crashes: 3,
    }
}

fn held(guard: &Guard, at: u64) -> bool {
    guard.held(seconds(at), &request()).is_some()
}

/// Adds a crash of three targets each, the last one after five seconds.
fn crash_three(guard: &mut Guard) {
    for (at, target) in [(1, "a"), (3, "b"), (5, "c")] {
        let run = CrashedRun {
            fingerprint: request(),
            target: target.to_owned(),
            ago: Duration::ZERO,
            ran: Duration::from_millis(50),
        };
        guard.crashed(seconds(at), &run);
    }
}

#[test]
fn a_verdict_holds_until_it_ends() {
    let mut guard = Guard::default();
    guard.told(seconds(1), &[verdict(7, 10)]);
    assert_that!(held(&guard, 10), eq(true));
    assert_that!(held(&guard, 12), eq(false));
}

/// Guards against an old verdict that a control instance that lags sends after its end.
#[test]
fn an_older_verdict_has_no_effect() {
    let mut guard = Guard::default();
    guard.told(seconds(1), &[verdict(7, 100)]);
    guard.told(seconds(2), &[verdict(8, 0)]);
    guard.told(seconds(3), &[verdict(7, 100)]);
    assert_that!(held(&guard, 4), eq(false));
}

/// Guards against refusing what was answered here lately: the verdict is disputed.
#[test]
fn a_request_that_was_answered_is_not_refused() {
    let mut guard = Guard::default();
    guard.answered(seconds(1), request());
    let changes = guard.told(seconds(2), &[verdict(7, 100)]);
    assert_that!(changes, elements_are![eq(&Change::Disputed(request()))]);
    assert_that!(held(&guard, 3), eq(false));
}

/// Guards against an extra send of what may crash targets, before there is enough for a verdict.
#[test]
fn one_crash_makes_suspect() {
    let mut guard = Guard::default();
    assert_that!(guard.is_suspect(&request()), eq(false));
    let run = CrashedRun {
        fingerprint: request(),
        target: "a".to_owned(),
        ago: Duration::ZERO,
        ran: Duration::from_millis(50),
    };
    guard.crashed(seconds(1), &run);
    assert_that!(held(&guard, 1), eq(false));
    assert_that!(guard.is_suspect(&request()), eq(true));
    guard.answered(seconds(2), request());
    assert_that!(guard.is_suspect(&request()), eq(false));
}

/// Guards against an instance that is cut off from all control instances: it judges by
/// what it saw itself.
#[test]
fn an_instance_alone_judges_by_its_own_evidence() {
    let mut guard = Guard::default();
    crash_three(&mut guard);
    assert_that!(held(&guard, 6), eq(false));
    guard.judge(seconds(6));
    assert_that!(held(&guard, 7), eq(true));
    assert_that!(held(&guard, 60), eq(false));
}

/// Guards against reporting the same answer once for each control instance that sends the
/// end of a verdict.
#[test]
fn the_end_of_a_verdict_is_not_disputed() {
    let mut guard = Guard::default();
    guard.answered(seconds(1), request());
    guard.told(seconds(2), &[verdict(7, 100)]);
    guard.told(seconds(3), &[verdict(8, 0)]);
    let again = guard.told(seconds(3), &[verdict(8, 0)]);
    assert_that!(again.is_empty(), eq(true));
}

/// Guards against a request that ends more targets while its verdict is on its way, and against
/// one that is refused though no verdict comes.
#[test]
fn a_request_is_refused_while_its_verdict_is_on_its_way() {
    let mut guard = Guard::default();
    crash_three(&mut guard);
    let held = |guard: &Guard, ms| guard.held(Time::from_millis(ms), &request());
    let at_once = held(&guard, 5_010).map(|held| held.left);
    assert_that!(at_once, some(le(Duration::from_secs(1))));
    assert_that!(held(&guard, 5_300), some(anything()));
    assert_that!(held(&guard, 6_000), none());
    let mut guard = Guard::default();
    crash_three(&mut guard);
    guard.answered(seconds(5), request());
    assert_that!(held(&guard, 5_010), none());
}
