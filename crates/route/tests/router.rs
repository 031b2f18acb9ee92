//! Tests of the router: its directory, its choice of targets, and retry limits.

use std::time::Duration;

use base::{
    AdapterKey, AdapterNo, BrandNo, Class, Fence, Incarnation, Refusal, TargetNo, Time, Tokens,
    Version, stable_hash,
};
use googletest::prelude::*;
use route::{
    Attempts, PoolNo, Report, RequestSpec, Residents, RetryBudget, Router, RouterUpdate, Target,
    ZoneNo,
};

const ENGINES: PoolNo = PoolNo(0);
const PLAIN: PoolNo = PoolNo(1);

fn target(no: u32, pool: PoolNo, zone: u32, incarnation: u64) -> Target {
    Target {
        target: TargetNo(no),
        pool,
        zone: ZoneNo(zone),
        hash: stable_hash(&[&no.to_le_bytes()]),
        incarnation: Incarnation(incarnation),
        batch: 10,
        slots: 2,
    }
}

/// Returns a router in zone 0 with four engines, 0 to 3, and four plain replicas, 10 to
/// 13, in zones 0 and 1.
fn router() -> Router {
    let mut router = Router::new(ZoneNo(0), 7);
    for i in 0..4 {
        router.apply(
            Time::ZERO,
            RouterUpdate::Target(target(i, ENGINES, i % 2, 1)),
        );
        router.apply(
            Time::ZERO,
            RouterUpdate::Target(target(10 + i, PLAIN, i % 2, 1)),
        );
    }
    router
}

fn key(adapter: u32, version: u32) -> AdapterKey {
    AdapterKey {
        adapter: AdapterNo(adapter),
        version: Version(version),
    }
}

fn spec(key: Option<AdapterKey>, class: Class) -> RequestSpec {
    RequestSpec {
        pool: if key.is_some() { ENGINES } else { PLAIN },
        key,
        brand: BrandNo(0),
        class,
        prefix: 0,
        tokens: Tokens(100),
        deadline: Time::from_millis(5_000),
    }
}

/// Returns an owner's full update of an engine.
fn residents(engine: u32, fence: u64, added: &[AdapterKey], running: u32) -> RouterUpdate {
    RouterUpdate::Residents(Residents {
        target: TargetNo(engine),
        fence: Fence(fence),
        full: true,
        added: added.to_vec(),
        removed: Vec::new(),
        running,
        queued: 0,
        evict_cost: 0,
    })
}

fn chosen(router: &mut Router, now: u64, spec: &RequestSpec) -> u32 {
    router
        .choose(Time::from_millis(now), spec, &[])
        .unwrap()
        .target
        .0
}

/// Holders with their running requests, the class, and the engine expected.
type Row = (&'static [(u32, u32)], Class, u32);

base::cases! {
    /// The fullest holder with capacity left is chosen; holders of the own zone get a
    /// small bonus.
    holder_is_chosen: check_holder => {
        only: (&[(2, 0)], Class::Live, 2),
        fuller: (&[(0, 2), (2, 6)], Class::Live, 2),
        full: (&[(0, 2), (2, 10)], Class::Live, 0),
        near: (&[(0, 3), (1, 3)], Class::Live, 0),
        far_but_fuller: (&[(0, 1), (1, 6)], Class::Live, 1),
        short_queue_before_a_load: (&[(3, 10)], Class::Live, 3),
    }
}

fn check_holder((holders, class, expected): Row) {
    let mut router = router();
    for (engine, running) in holders {
        router.apply(Time::ZERO, residents(*engine, 1, &[key(5, 1)], *running));
    }
    assert_that!(
        chosen(&mut router, 0, &spec(Some(key(5, 1)), class)),
        eq(expected)
    );
}

#[test]
fn a_full_holder_is_left_for_an_engine_that_loads() {
    let mut router = router();
    router.apply(Time::ZERO, residents(3, 1, &[key(5, 1)], 30));
    let choice = router
        .choose(Time::ZERO, &spec(Some(key(5, 1)), Class::Live), &[])
        .unwrap();
    assert_that!(choice.target, not(eq(TargetNo(3))));
    assert_that!(choice.resident, eq(false));
    let batch = spec(Some(key(5, 1)), Class::Batch);
    assert_that!(chosen(&mut router, 0, &batch), eq(3));
}

#[test]
fn all_routers_agree_on_a_home() {
    let mut one = router();
    let mut other = Router::new(ZoneNo(1), 99);
    for i in (0..4).rev() {
        other.apply(
            Time::ZERO,
            RouterUpdate::Target(target(i, ENGINES, i % 2, 1)),
        );
    }
    for adapter in 0..50 {
        let spec = spec(Some(key(adapter, 1)), Class::Live);
        assert_that!(chosen(&mut other, 0, &spec), eq(chosen(&mut one, 0, &spec)));
    }
}

/// A request goes to the holder that has its prompt's beginning cached, while that holder
/// has capacity.
#[test]
fn a_request_goes_where_its_prefix_is_cached() {
    let mut router = router();
    router.apply(Time::ZERO, residents(0, 1, &[key(5, 1)], 1));
    router.apply(Time::ZERO, residents(2, 1, &[key(5, 1)], 5));
    let report = |cached| {
        RouterUpdate::Report(Report {
            target: TargetNo(0),
            incarnation: Incarnation(1),
            taken: Time::ZERO,
            running: 0,
            waiting: 0,
            cached,
        })
    };
    let spec = RequestSpec {
        prefix: 77,
        ..spec(Some(key(5, 1)), Class::Live)
    };
    router.apply(Time::ZERO, report(vec![77]));
    assert_that!(chosen(&mut router, 10, &spec), eq(0));
    assert_that!(chosen(&mut router, 300_000, &spec), eq(2));
}

/// Guards against updates of a former owner that is cut off from the rest: a newer owner
/// may have loaded other adapters since, and requests would go where their adapter is not
/// resident.
#[test]
fn updates_of_a_former_owner_are_dropped() {
    base::covers!(former_owner_ignored);
    let mut router = router();
    router.apply(Time::ZERO, residents(1, 5, &[key(5, 1)], 0));
    router.apply(Time::ZERO, residents(1, 4, &[key(6, 1)], 0));
    let choice = router.choose(Time::ZERO, &spec(Some(key(5, 1)), Class::Live), &[]);
    assert_that!(choice.unwrap().resident, eq(true));
}

/// Guards against a late report of a replica's former incarnation which says that it is
/// full: the restarted, empty replica would get no requests.
#[test]
fn a_report_from_before_a_restart_is_dropped() {
    base::covers!(report_before_restart);
    let mut router = router();
    let now = Time::from_millis(60_000);
    for no in [11, 12, 13] {
        router.apply(now, RouterUpdate::Removed(TargetNo(no)));
    }
    router.apply(now, RouterUpdate::Target(target(12, PLAIN, 0, 1)));
    router.apply(now, RouterUpdate::Target(target(10, PLAIN, 0, 2)));
    for _ in 0..5 {
        router.apply(now, RouterUpdate::AttemptSent(TargetNo(12)));
    }
    router.apply(
        now,
        RouterUpdate::Report(Report {
            target: TargetNo(10),
            incarnation: Incarnation(1),
            taken: now + Duration::from_millis(1),
            running: 100,
            waiting: 100,
            cached: vec![],
        }),
    );
    let later = now.as_millis() + 10_000;
    assert_that!(
        chosen(&mut router, later, &spec(None, Class::Critical)),
        eq(10)
    );
}

/// Guards against a replica that fails every request at once and therefore looks idle:
/// the least loaded choice would send it every request. It is ejected for a while, then
/// its capacity is ramped up.
#[test]
fn a_failing_target_is_ejected_and_ramped_up() {
    base::covers!(failing_target_ejected);
    let mut router = router();
    for no in [11, 12] {
        router.apply(Time::ZERO, RouterUpdate::Removed(TargetNo(no)));
    }
    router.apply(Time::ZERO, RouterUpdate::AttemptSent(TargetNo(13)));
    for _ in 0..3 {
        router.apply(Time::ZERO, RouterUpdate::AttemptSent(TargetNo(10)));
        let end = RouterUpdate::AttemptEnded {
            target: TargetNo(10),
            ok: false,
        };
        router.apply(Time::ZERO, end);
    }
    let plain = spec(None, Class::Critical);
    assert_that!(chosen(&mut router, 100, &plain), eq(13));
    assert_that!(chosen(&mut router, 30_000, &plain), eq(10));
}

/// Guards against ejecting all engines, as when the store fails for a moment: no request
/// would be answered until the longest ejection ended.
#[test]
fn not_all_engines_are_ejected() {
    base::covers!(all_ejected_fallback);
    let mut router = router();
    for no in 0..4 {
        for _ in 0..4 {
            let end = RouterUpdate::AttemptEnded {
                target: TargetNo(no),
                ok: false,
            };
            router.apply(Time::ZERO, end);
        }
    }
    assert_that!(
        router.choose(Time::ZERO, &spec(Some(key(5, 1)), Class::Live), &[]),
        ok(anything())
    );
}

/// Guards against a stall at a version change: if requests were pinned to version 2 at
/// once, all callers of a busy adapter would wait for the same load. They stay with
/// version 1 until version 2 is resident somewhere, but not longer than a text may take
/// to be in force.
#[test]
fn requests_stay_with_the_old_version_until_the_new_one_is_loaded() {
    base::covers!(pinned_to_old_version);
    let mut router = router();
    let pin = |router: &Router, ms| {
        router
            .pin(Time::from_millis(ms), AdapterNo(5), Version(2))
            .0
    };
    router.apply(Time::ZERO, residents(1, 1, &[key(5, 1)], 0));
    assert_that!(pin(&router, 0), eq(2));
    let rolled = RouterUpdate::VersionChanged {
        old: key(5, 1),
        new: key(5, 2),
    };
    router.apply(Time::ZERO, rolled);
    assert_that!(pin(&router, 1_999), eq(1));
    assert_that!(pin(&router, 2_000), eq(2));
    router.apply(Time::ZERO, residents(2, 1, &[key(5, 2)], 0));
    assert_that!(pin(&router, 10), eq(2));
}

#[test]
fn leaving_unreachable_and_avoided_targets_get_nothing() {
    let mut router = router();
    router.apply(Time::ZERO, RouterUpdate::Leaving(TargetNo(10)));
    router.apply(Time::ZERO, RouterUpdate::Reachable(TargetNo(11), false));
    router.apply(Time::ZERO, RouterUpdate::Removed(TargetNo(12)));
    let plain = spec(None, Class::Critical);
    assert_that!(chosen(&mut router, 0, &plain), eq(13));
    let failure = router
        .choose(Time::ZERO, &plain, &[TargetNo(13)])
        .unwrap_err();
    assert_that!(failure.reason, eq(Refusal::Unavailable));
    assert_that!(failure.retry, some(gt(Duration::ZERO)));
}

/// Guards against requests to a target whose answers say that it leaves, while the list says
/// that it is live, and against a target that has started again and gets none.
#[test]
fn a_target_that_says_it_leaves_gets_nothing_until_it_starts_again() {
    let mut router = router();
    let plain = spec(None, Class::Critical);
    for no in [11, 12, 13] {
        router.apply(Time::ZERO, RouterUpdate::Removed(TargetNo(no)));
    }
    router.apply(Time::ZERO, RouterUpdate::SaysLeaving(TargetNo(10)));
    let live = |incarnation| RouterUpdate::Target(target(10, PLAIN, 0, incarnation));
    router.apply(Time::ZERO, live(1));
    assert_that!(router.choose(Time::ZERO, &plain, &[]), err(anything()));
    router.apply(Time::ZERO, live(2));
    assert_that!(chosen(&mut router, 0, &plain), eq(10));
}

#[test]
fn a_plain_request_stays_in_its_zone_until_another_is_clearly_better() {
    let mut router = router();
    let mut zones = Vec::new();
    for _ in 0..10 {
        let no = chosen(&mut router, 0, &spec(None, Class::Critical));
        router.apply(Time::ZERO, RouterUpdate::AttemptSent(TargetNo(no)));
        zones.push(no % 2);
    }
    // Two replicas of the zone take three each; then their load exceeds the margin for
    // another zone, a quarter of their ten concurrent requests.
    assert_that!(zones[..6], eq(&[0; 6]));
    assert_that!(zones[6..], contains(eq(&1)));
}

/// Guards against retries of every failure while a target is down: they would double the
/// load of the other targets, which then fail too.
#[test]
fn retries_are_limited_per_target_and_request() {
    base::covers!(retry_budget_spent);
    base::covers!(attempts_capped);
    let mut budget = RetryBudget::new();
    let spent = (0..20).filter(|_| budget.spend(TargetNo(1))).count();
    assert_that!(spent, eq(1));
    (0..200).for_each(|_| budget.earn(TargetNo(1)));
    let spent = (0..20).filter(|_| budget.spend(TargetNo(1))).count();
    assert_that!(spent, eq(10));
    (0..10).for_each(|_| budget.earn(TargetNo(1)));
    assert_that!(budget.spend(TargetNo(1)), eq(true));
    assert_that!(budget.spend(TargetNo(1)), eq(false));
    assert_that!(budget.spend(TargetNo(2)), eq(true));
    let mut attempts = Attempts::default();
    let made = (0..9).filter(|_| attempts.another()).count();
    assert_that!(made, eq(3));
}
