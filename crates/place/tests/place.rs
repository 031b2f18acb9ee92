//! Tests of demand, home engines, budget and backoff.

use base::{AdapterKey, AdapterNo, TargetNo, Time, Version, stable_hash};
use googletest::prelude::*;
use place::{Backoff, Budget, DecayingRate, Demand, home_rank};

fn secs(n: u64) -> Time {
    Time::from_millis(n * 1_000)
}

#[test]
fn demand_fades_quickly_and_slowly() {
    let mut demand = Demand::new();
    for _ in 0..100 {
        demand.note(secs(1), AdapterNo(7), 1.0);
    }
    let count = demand.get(AdapterNo(7));
    assert_that!(count.fast(secs(1)), gt(9.0));
    assert_that!(count.fast(secs(61)), lt(0.05));
    assert_that!(count.slow(secs(61)), gt(0.1));
    assert_that!(demand.get(AdapterNo(9)).slow(secs(61)), eq(0.0));
}

/// Every node keeps the counts of 48,000 adapters, most of them idle.
#[test]
fn an_idle_adapter_takes_twelve_bytes() {
    assert_that!(size_of::<DecayingRate>(), eq(12));
}

#[test]
fn homes_are_even_and_move_little() {
    let hash = |n: u32| stable_hash(&[&n.to_le_bytes()]);
    let home = |adapter: u32, engines: u32| {
        let best = (0..engines).max_by_key(|e| home_rank(hash(adapter), hash(1_000_000 + e)));
        best.unwrap()
    };
    let mut counts = [0; 12];
    (0..3_000).for_each(|a| counts[home(a, 12) as usize] += 1);
    assert_that!(counts.iter().min(), some(gt(&190)));
    assert_that!(counts.iter().max(), some(lt(&310)));
    let moved = (0..3_000).filter(|a| home(*a, 12) != home(*a, 11)).count();
    assert_that!(moved, eq(counts[11]));
}

/// Guards against an instance that loads faster than its part of the budget and delays
/// the loads of all others.
#[test]
fn loads_keep_to_the_rate_over_time() {
    let mut budget = Budget::new(Time::ZERO, 500);
    let mut started = 0;
    for ms in 0..100_000 {
        let now = Time::from_millis(ms);
        while budget.allows(now, false) {
            budget.take();
            budget.ended();
            started += 1;
        }
    }
    assert_that!(started, all!(ge(50), le(52)));
}

#[test]
fn loads_ahead_of_need_leave_one_for_the_next_request() {
    let mut budget = Budget::new(Time::ZERO, 1_000);
    assert_that!(budget.allows(Time::ZERO, true), eq(true));
    budget.take();
    assert_that!(budget.allows(Time::ZERO, true), eq(false));
    assert_that!(budget.allows(Time::ZERO, false), eq(true));
    budget.take();
    assert_that!(
        budget.allows(secs(9), false),
        eq(false),
        "two at once at most"
    );
    assert_that!(budget.allows_critical(secs(9)), eq(true));
    budget.ended();
    assert_that!(budget.next_at(secs(9), false), some(eq(secs(9))));
}

/// The rate in thousandths of a load a second, the loads started at once with overdraft,
/// and the second at which the next one may start.
type Overdraft = (u32, u32, u64);

base::cases! {
    /// Critical loads overdraw the bucket by up to two loads, and later loads wait until
    /// that is earned again. The bucket's capacity follows the rate within bounds.
    overdraft_is_paid_back: check_overdraft => {
        slow: (250, 3, 8),
        fast: (1_000, 5, 2),
    }
}

fn check_overdraft((rate, most, paid): Overdraft) {
    let mut budget = Budget::new(Time::ZERO, rate);
    let mut started = 0;
    while budget.allows_critical(Time::ZERO) {
        budget.take();
        budget.ended();
        started += 1;
    }
    assert_that!(started, eq(most));
    assert_that!(
        budget.allows(Time::from_millis(paid * 1_000 - 10), false),
        eq(false)
    );
    assert_that!(budget.allows(secs(paid), false), eq(true));
}

#[test]
fn a_failed_load_waits_twice_as_long_each_time() {
    let key = AdapterKey {
        adapter: AdapterNo(1),
        version: Version(1),
    };
    let mut backoff = Backoff::default();
    let mut waits = Vec::new();
    for _ in 0..12 {
        let until = backoff.failed(Time::ZERO, TargetNo(1), key);
        waits.push(until.since(Time::ZERO).as_secs());
    }
    assert_that!(waits[..4], eq(&[1, 2, 4, 8]));
    assert_that!(waits[11], eq(300));
    assert_that!(
        backoff.until(secs(299), TargetNo(1), key),
        some(eq(secs(300)))
    );
    assert_that!(backoff.until(Time::ZERO, TargetNo(2), key), none());
    backoff.succeeded(TargetNo(1), key);
    assert_that!(backoff.until(Time::ZERO, TargetNo(1), key), none());
}
