//! The retry budget that all instances share without communicating.

use std::time::Duration;

use base::Time;
use gateway::budget::{Budget, Limits};
use googletest::prelude::*;

const LIMITS: Limits = Limits {
    ratio: 0.2,
    extra: 50.0,
    window: Duration::from_secs(10),
};

/// Every target fails, and every instance would retry each of its requests. Each knows
/// only its own requests; together they must stay within the shared budget at any moment.
#[gtest]
fn instances_together_stay_within_the_budget() {
    let instances = 7;
    let mut all: Vec<_> = (0..instances).map(|_| Budget::new(LIMITS)).collect();
    let mut requests = 0.0;
    let mut repeats = 0.0;
    for ms in 0..9_000 {
        for budget in &mut all {
            let now = Time::from_millis(ms);
            if ms % 50 == 0 {
                budget.request(now, "s");
                requests += 1.0;
            }
            if budget.try_retry(now, "s", instances) {
                repeats += 1.0;
            }
        }
        assert_that!(repeats, le(LIMITS.ratio * requests + LIMITS.extra));
    }
    assert_that!(repeats, gt(100.0));
}

#[gtest]
fn requests_before_the_window_do_not_count() {
    let mut budget = Budget::new(LIMITS);
    let spend = |budget: &mut Budget, at| (0..99).filter(|_| budget.try_retry(at, "s", 1)).count();
    let first = spend(&mut budget, Time::from_millis(0));
    assert_that!(first, eq(35));
    assert_that!(spend(&mut budget, Time::from_millis(9_000)), eq(0));
    assert_that!(spend(&mut budget, Time::from_millis(10_100)), eq(first));
}
