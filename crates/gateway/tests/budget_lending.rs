//! Each guard on retries that instances lend to each other.

use std::time::Duration;

use base::{InstanceName, Seed, Time};
use gateway::budget::{Broker, Budget, Limits};
use googletest::prelude::*;
use wire::retry::{RetryAnswer, RetryReport};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    extra: 200.0,
    window: Duration::from_secs(10),
};

/// When an instance has its share of the fixed number, also one that may have lent before.
const START: Time = Time(13_000_000);

/// What one of two instances may send by itself.
const OWN: usize = 70;

const fn after(ms: u64) -> Time {
    Time(START.0 + ms * 1_000)
}

fn budget(tight: bool) -> Budget {
    let mut budget = Budget::new(LIMITS, Time::ZERO, Seed(u64::MAX));
    budget.set_tight(tight);
    budget.told(START, 2);
    budget.request(START, "s");
    budget
}

fn spend(budget: &mut Budget, now: Time) -> usize {
    let tries = (0..999).map(|_| budget.try_retry(now, "s"));
    tries.take_while(|allowance| allowance.allowed).count()
}

fn report(name: &str, ask: u64, lent: u32, wanted: u32) -> RetryReport {
    let of = |count| match count {
        0 => Vec::new(),
        _ => vec![("s".to_owned(), count)],
    };
    RetryReport {
        instance: InstanceName::try_from(name).expect("it is a name"),
        ask,
        lent: of(lent),
        wanted: of(wanted),
    }
}

fn granted(answer: &RetryAnswer) -> u32 {
    answer.granted.iter().map(|grant| grant.count).sum()
}

/// Returns a broker that has asked `a` to lend, and the number of that.
fn asked() -> (Broker, u64) {
    let mut broker = Broker::new(1);
    broker.report(START, &report("b", 0, 0, 9));
    let answer = broker.report(START, &report("a", 0, 0, 0));
    assert_that!(answer.asked, elements_are![(eq("s"), eq(&9))]);
    (broker, answer.ask)
}

#[gtest]
fn what_is_lent_counts_until_no_window_has_its_use() {
    let mut budget = budget(true);
    let lent = budget.lend(START, "s", 999) as usize;
    expect_that!(lent, ge(OWN / 2));
    expect_that!(spend(&mut budget, after(1)), eq(OWN - lent));
    expect_that!(spend(&mut budget, after(11_900)), eq(OWN - lent));
    expect_that!(spend(&mut budget, after(12_200)), eq(lent));
}

#[gtest]
fn an_instance_keeps_what_it_needs() {
    let mut budget = budget(true);
    for _ in 0..60 {
        budget.try_retry(START, "s");
    }
    expect_that!(budget.lend(START, "s", 999), eq(0));
    expect_that!(budget.wanted(START), elements_are![(eq("s"), gt(&0))]);
}

/// What an instance lent before it was killed is used after its start.
#[gtest]
fn a_lender_that_restarts_waits_until_its_rights_have_ended() {
    let mut started = Budget::new(LIMITS, START, Seed(u64::MAX));
    started.set_tight(true);
    started.told(START, 2);
    expect_that!(spend(&mut started, after(11_900)), eq(0));
    expect_that!(spend(&mut started, after(12_200)), eq(OWN));
}

#[gtest]
fn borrowed_retries_are_used_once_and_in_time() {
    let mut budget = budget(true);
    let life = Duration::from_secs(1);
    budget.granted(START, "s", 3, life);
    budget.granted(after(1), "s", 5, life * 9);
    expect_that!(spend(&mut budget, after(500)), eq(OWN + 8));
    budget.granted(after(500), "s", 3, life);
    expect_that!(spend(&mut budget, after(1_500)), eq(0));
    budget.granted(after(2_000), "s", 5, life * 9);
    expect_that!(spend(&mut budget, after(4_000)), eq(0));
}

#[gtest]
fn early_retries_leave_room_for_failures() {
    let mut budget = budget(true);
    budget.granted(START, "s", 3, Duration::from_secs(1));
    let early = (0..99).filter(|_| budget.try_early(START, "s").allowed);
    expect_that!(early.count(), eq(OWN / 2));
    expect_that!(budget.wanted(START), is_empty());
    expect_that!(spend(&mut budget, START), eq(OWN / 2 + 3));
}

/// What an instance has lent is used once more by its own extra sends.
#[gtest]
fn what_is_lent_leaves_nothing_to_early_retries() {
    let mut budget = budget(true);
    expect_that!(budget.lend(START, "s", 999) as usize, ge(OWN / 2));
    expect_that!(budget.try_early(START, "s").allowed, eq(false));
}

#[gtest]
fn nothing_is_lent_or_wanted_without_tight_goals() {
    let mut budget = budget(false);
    expect_that!(budget.lend(START, "s", 999), eq(0));
    expect_that!(spend(&mut budget, START), eq(OWN));
    expect_that!(budget.wanted(START), is_empty());
    let mut started = Budget::new(LIMITS, START, Seed(u64::MAX));
    started.told(START, 2);
    expect_that!(spend(&mut started, after(10_000)), eq(OWN));
}

/// An answer to a request to lend: who sends it, with which number, how late; and what others
/// may send by it.
fn check_answer((name, other, ms, expected): (&str, u64, u64, u32)) {
    let (mut broker, ask) = asked();
    broker.report(after(ms), &report(name, ask + other, 5, 0));
    let answer = broker.report(after(ms), &report("b", 0, 0, 9));
    assert_that!(granted(&answer), eq(expected));
    let life = answer.granted.iter().map(|grant| grant.life).max();
    assert_that!(
        life.unwrap_or_default(),
        le(Duration::from_millis(2_000 - ms.min(2_000)))
    );
}

base::cases! {
    /// Retries are granted that their lender doesn't count, or no longer.
    only_what_was_asked_for_is_passed_on: check_answer => {
        in_time: ("a", 0, 300, 5),
        too_late: ("a", 0, 2_100, 0),
        of_another_run: ("a", 1 << 40, 300, 0),
        by_another_instance: ("c", 0, 300, 0),
    }
}

#[gtest]
fn what_is_lent_is_granted_once() {
    let (mut broker, ask) = asked();
    broker.report(after(1), &report("a", ask, 5, 0));
    expect_that!(
        granted(&broker.report(after(2), &report("b", 0, 0, 9))),
        eq(5)
    );
    expect_that!(
        granted(&broker.report(after(2), &report("b", 0, 0, 9))),
        eq(0)
    );
    broker.report(after(3), &report("a", ask, 5, 0));
    expect_that!(
        granted(&broker.report(after(4), &report("b", 0, 0, 9))),
        eq(0)
    );
}

/// One instance takes all before the others have asked.
#[gtest]
fn those_in_need_share_what_is_lent() {
    let (mut broker, ask) = asked();
    broker.report(START, &report("c", 0, 0, 9));
    broker.report(after(1), &report("a", ask, 6, 0));
    expect_that!(
        granted(&broker.report(after(2), &report("b", 0, 0, 9))),
        eq(3)
    );
    expect_that!(
        granted(&broker.report(after(2), &report("c", 0, 0, 9))),
        ge(2)
    );
}

/// An instance that has nothing to spare is asked again in each answer, without end.
#[gtest]
fn an_answer_is_not_asked_again_at_once() {
    let (mut broker, ask) = asked();
    let answer = broker.report(after(1), &report("a", ask, 0, 0));
    expect_that!(answer.asked, is_empty());
    let later = broker.report(after(2), &report("a", 0, 0, 0));
    expect_that!(later.asked, elements_are![(eq("s"), eq(&9))]);
}
