//! Limits that targets name: what an instance knows, and whom the zone owner grants
//! permits.

use std::time::Duration;

use base::{AccountName, InstanceName, RequestRate, Time};
use gateway::target_limit::{Access, Granter, KnownLimits, Standing};
use googletest::prelude::*;
use wire::limit::{LimitReport, Permit, PermitRequest, SeenLimit, TargetLimit};

const NOW: Time = Time(1_000_000_000);

/// Time after which nothing that was sent before a limit was named counts any more.
const SETTLED: Duration = Duration::from_secs(5);

fn rate(raw: &str) -> RequestRate {
    raw.parse().unwrap()
}

fn told(raw: Option<&str>) -> TargetLimit {
    TargetLimit {
        rate: raw.map(rate),
    }
}

fn name(raw: &str) -> InstanceName {
    InstanceName::try_from(raw).unwrap()
}

fn seen(limit: Option<&str>, ago_ms: u64) -> LimitReport {
    LimitReport {
        instance: name("e1"),
        seen: vec![SeenLimit {
            target: "t".to_owned(),
            limit: limit.map(rate),
            ago: Duration::from_millis(ago_ms),
        }],
        before: Vec::new(),
        want: None,
    }
}

fn want(priority: u8, account: Option<&str>) -> PermitRequest {
    PermitRequest {
        target: "t".to_owned(),
        account: account.map(|name| AccountName::try_from(name).unwrap()),
        priority,
    }
}

/// Returns a granter that has known a limit for long.
fn granter(limit: &str) -> (Granter, Time) {
    let mut granter = Granter::default();
    granter.report(NOW, &seen(Some(limit), 0));
    (granter, NOW + SETTLED)
}

/// Asks every `step` for a time, and returns how many permits were granted.
fn asked(granter: &mut Granter, from: Time, step_ms: u64, steps: u64, want: &PermitRequest) -> u32 {
    let mut granted = 0;
    for step in 0..steps {
        let now = from + Duration::from_millis(step * step_ms);
        if let Permit::Granted(count) = granter.ask(now, &name("e1"), want, 1) {
            granted += count;
        }
    }
    granted
}

base::cases! {
    /// What a target names decides how much it gets in ten seconds, however often it is
    /// asked for.
    a_limit_is_kept: check_limit => {
        usual: ("2.5", 25..=28),
        below_one: ("0.5", 5..=6),
        none_at_all: ("0", 2..=3),
        large: ("40", 400..=421),
        huge: ("1e300", 1_000..=64_000),
    }
}

fn check_limit((limit, allowed): (&str, std::ops::RangeInclusive<u32>)) {
    let (mut granter, now) = granter(limit);
    let granted = asked(&mut granter, now, 10, 1_000, &want(1, None));
    assert_that!(granted, all!(ge(*allowed.start()), le(*allowed.end())));
}

/// Guards against a target that names a limit and gets as much again while it still works
/// on what it was sent before.
#[gtest]
fn what_was_sent_before_counts() {
    let mut granter = Granter::default();
    let mut report = seen(Some("2"), 0);
    report.before = vec![("t".to_owned(), 40)];
    granter.report(NOW, &report);
    let early = asked(&mut granter, NOW, 100, 20, &want(1, None));
    assert_that!(early, eq(0));
    let later = NOW + Duration::from_secs(3);
    let granted = asked(&mut granter, later, 100, 20, &want(1, None));
    assert_that!(granted, all!(gt(0), le(6)));
}

/// Guards against forgetting what was sent before, as an answer from before the limit comes
/// late and seems to end it.
#[gtest]
fn what_was_sent_before_counts_though_answers_overtake_each_other() {
    let mut granter = Granter::default();
    let mut report = seen(Some("2"), 0);
    report.before = vec![("t".to_owned(), 40)];
    granter.report(NOW, &report);
    let soon = |ms| NOW + Duration::from_millis(ms);
    granter.report(soon(50), &seen(None, 0));
    granter.report(soon(90), &seen(Some("2"), 0));
    let granted = asked(&mut granter, soon(100), 100, 18, &want(1, None));
    assert_that!(granted, eq(0));
}

/// Guards against a limit that is lowered while the target still works on what it took
/// before.
#[gtest]
fn what_was_granted_under_a_higher_limit_counts() {
    let (mut granter, now) = granter("10");
    let before = asked(&mut granter, now, 20, 300, &want(1, None));
    assert_that!(before, ge(55));
    let lowered = now + Duration::from_secs(6);
    let mut report = seen(Some("2"), 0);
    report.instance = name("e2");
    granter.report(lowered, &report);
    let granted = asked(&mut granter, lowered, 50, 40, &want(1, None));
    assert_that!(granted, eq(0));
}

/// Guards against permits that are granted at once after an owner has begun anew, before
/// others have said what they sent.
#[gtest]
fn nothing_is_granted_before_all_were_heard() {
    let mut granter = Granter::default();
    granter.report(NOW, &seen(Some("9"), 0));
    let granted = asked(&mut granter, NOW, 50, 12, &want(1, None));
    assert_that!(granted, eq(0));
}

/// Guards against batch work that takes the permits which urgent requests ask for.
#[gtest]
fn urgent_requests_have_their_part_first() {
    let (mut granter, mut now) = granter("2");
    let mut granted = (0, 0);
    for _ in 0..200 {
        now = now + Duration::from_millis(100);
        for _ in 0..5 {
            let batch = granter.ask(now, &name("e1"), &want(3, None), 2);
            granted.0 += u32::from(matches!(batch, Permit::Granted(_)));
        }
        let urgent = granter.ask(now, &name("e2"), &want(0, None), 2);
        granted.1 += u32::from(matches!(urgent, Permit::Granted(_)));
    }
    expect_that!(granted.1, ge(36));
    expect_that!(granted.0, le(4));
}

/// Guards against batch work that gets nothing though no urgent request asks.
#[gtest]
fn batch_work_gets_what_urgent_requests_leave() {
    let (mut granter, now) = granter("2");
    let granted = asked(&mut granter, now, 100, 200, &want(3, None));
    assert_that!(granted, ge(38));
}

/// Guards against an account that loses its part to one that asks ten times as often.
#[gtest]
fn each_account_has_its_part() {
    let (mut granter, mut now) = granter("4");
    let mut granted = (0, 0);
    for step in 0..400_u32 {
        now = now + Duration::from_millis(50);
        let loud = granter.ask(now, &name("e1"), &want(1, Some("loud")), 2);
        granted.0 += u32::from(matches!(loud, Permit::Granted(_)));
        if step % 10 == 0 {
            let quiet = granter.ask(now, &name("e2"), &want(1, Some("quiet")), 2);
            granted.1 += u32::from(matches!(quiet, Permit::Granted(_)));
        }
    }
    expect_that!(granted.1, ge(32));
    expect_that!(granted.0 + granted.1, ge(76));
}

/// Guards against a word that is late: it is from before a newer one, or from before the
/// target began anew.
#[gtest]
fn an_older_answer_changes_nothing() {
    let mut granter = Granter::default();
    granter.report(NOW, &seen(Some("2"), 0));
    granter.report(NOW, &seen(None, 50));
    assert_that!(granter.limit("t"), some(eq(told(Some("2")))));
    granter.report(NOW, &seen(Some("3"), 80));
    assert_that!(granter.limit("t"), some(eq(told(Some("2")))));
    granter.end(NOW, "t");
    granter.report(NOW, &seen(Some("2"), 20));
    assert_that!(granter.limit("t"), some(eq(told(None))));
    assert_that!(
        granter.ask(NOW, &name("e1"), &want(1, None), 1),
        eq(Permit::Unlimited)
    );
}

/// Guards against memory that grows with the targets that ever named a limit.
#[gtest]
fn targets_that_are_gone_are_forgotten() {
    let mut granter = Granter::default();
    granter.report(NOW, &seen(Some("2"), 0));
    granter.retain(|target| target != "t");
    assert_that!(granter.is_empty(), eq(true));
    let mut known = KnownLimits::new(1, 3);
    known.sent(NOW, "t");
    known.seen(NOW, "t", Some(rate("2")));
    known.expire(NOW, |_| false);
    assert_that!(known.is_empty(), eq(true));
}

/// Guards against an instance that goes on asking for permits of a target whose limit has
/// ended, or on sending to one whose limit it was told of.
#[gtest]
fn the_last_word_counts() {
    let mut known = KnownLimits::new(1, 3);
    assert_that!(known.take(NOW, "t"), eq(Access::Free));
    known.seen(NOW, "t", Some(rate("2")));
    assert_that!(known.take(NOW, "t"), eq(Access::Ask));
    let change = known.seen(NOW, "t", None).unwrap();
    assert_that!(change.limit, none());
    assert_that!(known.take(NOW, "t"), eq(Access::Free));
    let later = NOW + Duration::from_secs(2);
    known.told(later, "t", told(Some("5")));
    assert_that!(known.standing(later, "t"), eq(Standing::Limited));
    known.told(later, "t", told(None));
    assert_that!(known.standing(later, "t"), eq(Standing::Free));
}

/// Guards against the zone owner's word from before an answer: it would end a limit that
/// was named since.
#[gtest]
fn the_owner_does_not_overrule_a_newer_answer() {
    let mut known = KnownLimits::new(1, 3);
    known.seen(NOW, "t", Some(rate("2")));
    known.take_report(NOW, |_| true);
    known.told(NOW + Duration::from_millis(200), "t", told(None));
    assert_that!(known.is_limited("t"), eq(true));
    let (seen, _) = known.take_report(NOW + Duration::from_millis(200), |_| true);
    assert_that!(seen[0].limit, some(eq(rate("2"))));
}

/// Guards against a report that is lost for good.
#[gtest]
fn a_lost_report_is_sent_again() {
    let mut known = KnownLimits::new(1, 3);
    known.sent(NOW, "t");
    known.seen(NOW, "t", Some(rate("2")));
    let (seen, before) = known.take_report(NOW, |_| true);
    assert_that!(
        (seen.len(), &before[..]),
        eq((1, &[("t".to_owned(), 1)][..]))
    );
    assert_that!(known.take_report(NOW, |_| true).0, is_empty());
    known.keep_report(&seen, &before);
    let (again, sent) = known.take_report(NOW, |_| true);
    assert_that!((again, sent), eq(&(seen, before)));
}

/// Guards against requests that ask one by one while the answer to one of them is on its
/// way, and against waiting for an answer that was lost.
#[gtest]
fn one_request_asks_at_a_time() {
    let mut known = KnownLimits::new(1, 3);
    known.seen(NOW, "t", Some(rate("2")));
    assert_that!(known.take(NOW, "t"), eq(Access::Ask));
    assert_that!(known.take(NOW, "t"), eq(Access::Asked));
    let later = NOW + Duration::from_millis(300);
    assert_that!(known.take(later, "t"), eq(Access::Ask));
    assert_that!(
        known.permitted(later, "t", Permit::Granted(2)),
        eq(Access::Free)
    );
    assert_that!(known.take(later, "t"), eq(Access::Free));
    assert_that!(known.take(later, "t"), eq(Access::Ask));
    let again = Duration::from_millis(700);
    known.permitted(later, "t", Permit::Denied { again });
    assert_that!(known.standing(later, "t"), eq(Standing::Blocked(again)));
    assert_that!(known.take(later + again, "t"), eq(Access::Ask));
}

/// Guards against permits that are kept and used all at once later.
#[gtest]
fn permits_end_unused() {
    let mut known = KnownLimits::new(1, 3);
    known.seen(NOW, "t", Some(rate("2")));
    known.permitted(NOW, "t", Permit::Granted(9));
    let later = NOW + Duration::from_secs(2);
    assert_that!(known.take(later, "t"), eq(Access::Ask));
}

/// Guards against requests that wait for a limit which won't reach them.
#[gtest]
fn few_requests_wait() {
    let mut known = KnownLimits::new(1, 4);
    known.seen(NOW, "t", Some(rate("8")));
    let patience = Duration::from_millis(1_500);
    let may: Vec<_> = (0..5).map(|_| known.wait("t", patience)).collect();
    assert_that!(may, eq(&[true, true, true, false, false]));
    known.waited("t");
    assert_that!(known.wait("t", patience), eq(true));
}

/// Guards against an instance without the zone owner that goes on with its part, though it
/// has just sent a target many requests.
#[gtest]
fn what_an_instance_alone_has_sent_counts() {
    let mut known = KnownLimits::new(1, 1);
    for _ in 0..20 {
        known.sent(NOW, "t");
    }
    known.seen(NOW, "t", Some(rate("2")));
    let mut free = 0;
    for step in 0..30 {
        let now = NOW + Duration::from_millis(step * 100);
        free += u32::from(known.take_alone(now, "t") == Access::Free);
    }
    assert_that!(free, eq(0));
    let later = NOW + Duration::from_millis(4_100);
    assert_that!(known.take_alone(later, "t"), eq(Access::Free));
}

/// Guards against many instances that lose the zone owner at once and take all of the
/// limit each.
#[gtest]
fn instances_alone_keep_to_the_limit_together() {
    let mut all: Vec<_> = (0..40).map(|no| KnownLimits::new(no, 40)).collect();
    let mut sent = 0;
    for step in 0..400 {
        let now = NOW + Duration::from_millis(step * 25);
        for known in &mut all {
            known.seen(now, "t", Some(rate("3")));
            sent += u32::from(known.take_alone(now, "t") == Access::Free);
        }
    }
    assert_that!(sent, all!(ge(15), le(45)));
}
