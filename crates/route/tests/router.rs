//! The router: its directory, its choice, and the guards of both.

use std::time::Duration;

use base::{
    AdapterKey, AdapterNo, BrandNo, Class, Fence, Incarnation, Refusal, TargetNo, Time, Tokens,
    Version, stable_hash,
};
use googletest::prelude::*;
use route::{Ask, Attempts, News, PoolNo, Report, Residents, RetryBudget, Router, Target, ZoneNo};

const ENGINES: PoolNo = PoolNo(0);
const PLAIN: PoolNo = PoolNo(1);

fn target(no: u32, pool: PoolNo, zone: u32, life: u64) -> Target {
    Target {
        target: TargetNo(no),
        pool,
        zone: ZoneNo(zone),
        hash: stable_hash(&[&no.to_le_bytes()]),
        incarnation: Incarnation(life),
        batch: 10,
        slots: 2,
    }
}

/// Four engines 0 to 3 and four plain replicas 10 to 13, in zones 0 and 1; the
/// router is in zone 0.
fn router() -> Router {
    let mut router = Router::new(ZoneNo(0), 7);
    for i in 0..4 {
        router.note(Time::ZERO, News::Target(target(i, ENGINES, i % 2, 1)));
        router.note(Time::ZERO, News::Target(target(10 + i, PLAIN, i % 2, 1)));
    }
    router
}

fn key(adapter: u32, version: u32) -> AdapterKey {
    AdapterKey {
        adapter: AdapterNo(adapter),
        version: Version(version),
    }
}

fn ask(key: Option<AdapterKey>, class: Class) -> Ask {
    Ask {
        pool: if key.is_some() { ENGINES } else { PLAIN },
        key,
        brand: BrandNo(0),
        class,
        prefix: 0,
        tokens: Tokens(100),
        deadline: Time::from_millis(5_000),
    }
}

/// An owner's whole account of an engine.
fn holds(engine: u32, fence: u64, added: &[AdapterKey], running: u32) -> News {
    News::Residents(Residents {
        target: TargetNo(engine),
        fence: Fence(fence),
        whole: true,
        added: added.to_vec(),
        removed: Vec::new(),
        running,
        queued: 0,
        worth: 0,
    })
}

fn chosen(router: &mut Router, now: u64, ask: &Ask) -> u32 {
    router
        .choose(Time::from_millis(now), ask, &[])
        .unwrap()
        .target
        .0
}

/// Holders with their loads, the class, and the engine expected.
type Row = (&'static [(u32, u32)], Class, u32);

base::cases! {
    /// Of the holders the fullest with room, the own zone a little better.
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
        router.note(Time::ZERO, holds(*engine, 1, &[key(5, 1)], *running));
    }
    assert_that!(
        chosen(&mut router, 0, &ask(Some(key(5, 1)), class)),
        eq(expected)
    );
}

#[test]
fn a_full_holder_is_left_for_an_engine_that_loads() {
    let mut router = router();
    router.note(Time::ZERO, holds(3, 1, &[key(5, 1)], 30));
    let choice = router
        .choose(Time::ZERO, &ask(Some(key(5, 1)), Class::Live), &[])
        .unwrap();
    assert_that!(choice.target, not(eq(TargetNo(3))));
    assert_that!(choice.resident, eq(false));
    let patient = ask(Some(key(5, 1)), Class::Batch);
    assert_that!(chosen(&mut router, 0, &patient), eq(3));
}

#[test]
fn all_routers_agree_on_a_home() {
    let mut one = router();
    let mut other = Router::new(ZoneNo(1), 99);
    for i in (0..4).rev() {
        other.note(Time::ZERO, News::Target(target(i, ENGINES, i % 2, 1)));
    }
    for adapter in 0..50 {
        let ask = ask(Some(key(adapter, 1)), Class::Live);
        assert_that!(chosen(&mut other, 0, &ask), eq(chosen(&mut one, 0, &ask)));
    }
}

/// A conversation goes on where its head is cached, while that engine has room.
#[test]
fn a_cached_prompt_draws_its_conversation() {
    let mut router = router();
    router.note(Time::ZERO, holds(0, 1, &[key(5, 1)], 1));
    router.note(Time::ZERO, holds(2, 1, &[key(5, 1)], 5));
    let report = |cached| {
        News::Report(Report {
            target: TargetNo(0),
            incarnation: Incarnation(1),
            taken: Time::ZERO,
            running: 0,
            waiting: 0,
            cached,
        })
    };
    let ask = Ask {
        prefix: 77,
        ..ask(Some(key(5, 1)), Class::Live)
    };
    router.note(Time::ZERO, report(vec![77]));
    assert_that!(chosen(&mut router, 10, &ask), eq(0));
    assert_that!(chosen(&mut router, 300_000, &ask), eq(2));
}

/// An owner is cut off and goes on telling what its engine held, while a newer
/// owner has long loaded something else: requests would go where their adapter
/// is not loaded.
#[test]
fn news_of_an_old_owner_is_dropped() {
    base::covers!(old_owner_ignored);
    let mut router = router();
    router.note(Time::ZERO, holds(1, 5, &[key(5, 1)], 0));
    router.note(Time::ZERO, holds(1, 4, &[key(6, 1)], 0));
    let choice = router.choose(Time::ZERO, &ask(Some(key(5, 1)), Class::Live), &[]);
    assert_that!(choice.unwrap().resident, eq(true));
}

/// A plain replica restarts; a report of its life before arrives late and says
/// that it is full. Believed, the empty replica would get nothing.
#[test]
fn a_report_from_before_a_restart_is_dropped() {
    base::covers!(report_before_restart);
    let mut router = router();
    let now = Time::from_millis(60_000);
    for no in [11, 12, 13] {
        router.note(now, News::Removed(TargetNo(no)));
    }
    router.note(now, News::Target(target(12, PLAIN, 0, 1)));
    router.note(now, News::Target(target(10, PLAIN, 0, 2)));
    for _ in 0..5 {
        router.note(now, News::Started(TargetNo(12)));
    }
    router.note(
        now,
        News::Report(Report {
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
        chosen(&mut router, later, &ask(None, Class::Critical)),
        eq(10)
    );
}

/// A replica refuses everything at once, so it looks idle, and the least
/// loaded choice sends it every request. It is left out, then eased in.
#[test]
fn a_failing_target_is_eased_out_and_in() {
    base::covers!(failing_target_out);
    let mut router = router();
    for no in [11, 12] {
        router.note(Time::ZERO, News::Removed(TargetNo(no)));
    }
    router.note(Time::ZERO, News::Started(TargetNo(13)));
    for _ in 0..3 {
        router.note(Time::ZERO, News::Started(TargetNo(10)));
        let end = News::Ended {
            target: TargetNo(10),
            ok: false,
        };
        router.note(Time::ZERO, end);
    }
    let plain = ask(None, Class::Critical);
    assert_that!(chosen(&mut router, 100, &plain), eq(13));
    assert_that!(chosen(&mut router, 30_000, &plain), eq(10));
}

/// Every engine fails for a moment, as when the store does. If all were left
/// out, nobody would be answered until the longest wait was over.
#[test]
fn never_are_all_targets_left_out() {
    base::covers!(never_all_out);
    let mut router = router();
    for no in 0..4 {
        for _ in 0..4 {
            let end = News::Ended {
                target: TargetNo(no),
                ok: false,
            };
            router.note(Time::ZERO, end);
        }
    }
    assert_that!(
        router.choose(Time::ZERO, &ask(Some(key(5, 1)), Class::Live), &[]),
        ok(anything())
    );
}

/// Version 2 is accepted. Sent to it at once, every caller of a hot adapter
/// would wait for the same load; they stay with version 1 until 2 is loaded
/// somewhere, but not for longer than a text may take to be in force.
#[test]
fn requests_stay_with_the_old_version_until_the_new_one_is_loaded() {
    base::covers!(pinned_to_old_version);
    let mut router = router();
    let pin = |router: &Router, ms| {
        router
            .pin(Time::from_millis(ms), AdapterNo(5), Version(2))
            .0
    };
    router.note(Time::ZERO, holds(1, 1, &[key(5, 1)], 0));
    assert_that!(pin(&router, 0), eq(2));
    let rolled = News::Rolled {
        old: key(5, 1),
        new: key(5, 2),
    };
    router.note(Time::ZERO, rolled);
    assert_that!(pin(&router, 1_999), eq(1));
    assert_that!(pin(&router, 2_000), eq(2));
    router.note(Time::ZERO, holds(2, 1, &[key(5, 2)], 0));
    assert_that!(pin(&router, 10), eq(2));
}

#[test]
fn leaving_unreachable_and_avoided_targets_get_nothing() {
    let mut router = router();
    router.note(Time::ZERO, News::Leaving(TargetNo(10)));
    router.note(Time::ZERO, News::Reachable(TargetNo(11), false));
    router.note(Time::ZERO, News::Removed(TargetNo(12)));
    let plain = ask(None, Class::Critical);
    assert_that!(chosen(&mut router, 0, &plain), eq(13));
    let failure = router
        .choose(Time::ZERO, &plain, &[TargetNo(13)])
        .unwrap_err();
    assert_that!(failure.reason, eq(Refusal::Unavailable));
    assert_that!(failure.retry, some(gt(Duration::ZERO)));
}

#[test]
fn a_plain_request_stays_in_its_zone_until_another_is_clearly_better() {
    let mut router = router();
    let mut zones = Vec::new();
    for _ in 0..10 {
        let no = chosen(&mut router, 0, &ask(None, Class::Critical));
        router.note(Time::ZERO, News::Started(TargetNo(no)));
        zones.push(no % 2);
    }
    // Two replicas of the zone take three each, a quarter of their ten places.
    assert_that!(zones[..6], eq(&[0; 6]));
    assert_that!(zones[6..], contains(eq(&1)));
}

/// A target is down and every failure is repeated: the repeats double the load
/// of the others, which then fail too.
#[test]
fn repeats_are_limited_per_target_and_request() {
    base::covers!(retry_budget_spent);
    base::covers!(attempts_capped);
    let mut budget = RetryBudget::new();
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
