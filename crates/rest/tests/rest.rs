//! Tests of rests that targets ask for.

use std::time::Duration;

use base::{Seed, Time};
use googletest::prelude::*;
use rest::{LONGEST, Rests};

const A: u8 = 1;
const B: u8 = 2;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn asked(rests: &[(u64, u64)]) -> Rests<u8> {
    let mut all = Rests::new(Seed(3));
    for (when, rest) in rests {
        all.asked(at(*when), &A, ms(*rest));
    }
    all
}

/// Checks until when `rests`, as (when, for how long) in milliseconds, hold.
fn check((rests, end): (&[(u64, u64)], u64)) {
    let rests = asked(rests);
    assert_that!(rests.wait(at(end - 1), &A), some(ge(ms(1))));
    assert_that!(rests.is_resting(at(end - 1), &A), eq(true));
    assert_that!(rests.is_resting(at(end), &A), eq(false));
    assert_that!(rests.wait(at(end), &B), none());
}

base::cases! {
    /// Guards against a word of a target that is cut short by another one.
    each_rest_stands_until_its_own_end: check => {
        one: (&[(0, 3_000)], 3_000),
        later_and_longer: (&[(0, 1_000), (500, 3_000)], 3_500),
        later_and_shorter: (&[(0, 3_000), (500, 1_000)], 3_000),
        none_after_one: (&[(0, 3_000), (500, 0)], 3_000),
        again_after_the_end: (&[(0, 1_000), (2_000, 1_000)], 3_000),
        beyond_all_sense: (&[(0, 4_000_000_000)], 600_000),
    }
}

/// Guards against a target that is lost for good by a value beyond all sense.
#[test]
fn no_rest_is_longer_than_the_longest() {
    let mut rests = Rests::new(Seed(1));
    rests.asked(at(0), &A, Duration::MAX);
    assert_that!(rests.wait(Time::ZERO + 2 * LONGEST, &A), none());
}

/// Guards against a rush at the end of a rest: one request first, and more as they are answered.
#[test]
fn few_are_sent_first_and_more_as_these_are_answered() {
    let mut rests = asked(&[(0, 1_000)]);
    let back = Time::ZERO + ms(1_000) + rests.wait(at(1_000), &A).unwrap_or_default();
    assert_that!(rests.wait(back, &A), none());
    let mut first = rests.begin(back, &A);
    assert_that!(rests.wait(back, &A), some(anything()));
    rests.answered(&A, &mut first);
    for _ in 0..2 {
        assert_that!(rests.wait(back, &A), none());
        rests.begin(back, &A);
    }
    assert_that!(rests.wait(back, &A), some(anything()));
    assert_that!(rests.wait(back + ms(100), &A), none());
}

/// Guards against a target that is never used again, as its first request got lost or nobody
/// sends one.
#[test]
fn a_target_that_has_rested_comes_back_by_itself() {
    let mut rests = asked(&[(0, 1_000)]);
    let back = at(1_200);
    let mut first = rests.begin(back, &A);
    rests.lost(&A, &mut first);
    assert_that!(rests.wait(back, &A), none());
    rests.begin(back, &A);
    assert_that!(rests.is_known(back + ms(2_100), &A), eq(false));
    assert_that!(rests.wait(back + ms(2_100), &A), none());
}

/// Guards against a target that is filled though it turns its first request away.
#[test]
fn a_target_that_refuses_after_its_rest_begins_anew() {
    let mut rests = asked(&[(0, 1_000)]);
    let back = at(1_200);
    rests.begin(back, &A);
    rests.refused(back, &A);
    assert_that!(rests.wait(back + ms(200), &A), some(anything()));
    assert_that!(rests.wait(back + ms(260), &A), none());
    assert_that!(rests.is_resting(back, &A), eq(false));
}

/// Guards against answers to requests that were begun before a rest: they don't count as a return.
#[test]
fn what_was_sent_before_does_not_count_as_a_return() {
    let mut rests = Rests::new(Seed(1));
    let mut before = rests.begin(at(0), &A);
    rests.asked(at(10), &A, ms(1_000));
    let mut within = rests.begin(at(20), &A);
    for trial in [&mut before, &mut within] {
        rests.answered(&A, trial);
    }
    let back = at(1_010) + rests.wait(at(1_010), &A).unwrap_or_default();
    rests.begin(back, &A);
    assert_that!(rests.wait(back, &A), some(anything()));
}

/// Guards against lines that miss what was sent, and memory of targets that are gone.
#[test]
fn the_end_of_a_rest_is_told_once() {
    let mut rests = asked(&[(0, 1_000)]);
    rests.begin(at(500), &A);
    assert_that!(rests.take_ended(at(999), |_| true), is_empty());
    let ended = rests.take_ended(at(1_000), |_| true);
    assert_that!(ended.len(), eq(1));
    assert_that!(ended[0].sent, eq(1));
    assert_that!(ended[0].lasted, eq(ms(1_000)));
    assert_that!(rests.take_ended(at(1_100), |_| true), is_empty());
    rests.asked(at(1_200), &A, ms(1_000));
    assert_that!(rests.take_ended(at(1_300), |_| false).len(), eq(1));
    assert_that!(rests.wait(at(1_400), &A), none());
}
