//! When requests are sent to a second target, and to which.

use std::{collections::BTreeSet, time::Duration};

use base::{Seed, SoftwareVersion, Time};
use gateway::{
    budget::{Budget, Limits},
    hedge::{Due, HedgeLimit, Hedging, Wanted, Withheld},
    table::{Kind, Route},
    view::{Second, View},
};
use googletest::prelude::*;
use wire::fleet::{Resident, Target};

const NOW: Time = Time(60_000_000);
const SERVICE: &str = "s";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn check_parse((raw, read): (&str, std::result::Result<&str, &str>)) {
    let parsed = raw.parse::<HedgeLimit>();
    let parsed = parsed.map(|limit| limit.to_string());
    let parsed = parsed.map_err(|err| err.to_string());
    match read {
        Ok(shown) => assert_that!(parsed, ok(eq(shown))),
        Err(part) => assert_that!(parsed, err(contains_substring(part))),
    }
}

base::cases! {
    limits_are_read: check_parse => {
        percent: ("2%", Ok("2%")),
        fraction: ("0.02", Ok("2%")),
        spaced: (" 0.5 % ", Ok("0.5%")),
        exact: ("0.29", Ok("29%")),
        off: ("0", Ok("0%")),
        all: ("100%", Ok("100%")),
        percent_sign_forgotten: ("2", Err("`2%` or `0.02`")),
        negative: ("-1%", Err("is not between 0 and 1")),
        too_much: ("101%", Err("is not between 0 and 1")),
        endless: ("inf", Err("is not between 0 and 1")),
        not_a_number: ("NaN", Err("is not a part of requests")),
        word: ("some", Err("`some` is not a part of requests")),
        empty: ("", Err("is not a part of requests")),
    }
}

fn route(kind: Kind) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind,
        limit: Duration::from_secs(10),
        goal: Some(ms(500)),
        priority: 1,
        split: vec![(SERVICE.to_owned(), 1)],
        attempts: 2,
        public: false,
    }
}

fn resumable() -> Route {
    route(Kind::Stream { resumable: true })
}

/// Returns the decisions of an instance that has had so many requests of the route, each answered
/// after 100 ms.
fn seen(route: &Route, requests: u32) -> Hedging {
    let mut hedging = Hedging::new(Some("2%".parse().unwrap()), Time::ZERO);
    hedging.set_tight(true);
    for _ in 0..requests {
        hedging.request(NOW, SERVICE);
        hedging.answered(NOW, route, 100, ms(100));
    }
    hedging
}

fn check_plan((route, requests, planned): (Route, u32, bool)) {
    let plan = seen(&route, requests).plan(&route, 100, Duration::ZERO);
    assert_that!(plan.is_some(), eq(planned));
}

base::cases! {
    /// Guards against requests that run twice, and against delays that nothing was learned for.
    only_what_may_be_repeated_gets_a_second_target: check_plan => {
        resumable_stream: (resumable(), 100, true),
        safe: (route(Kind::Safe), 100, true),
        little_seen: (resumable(), 20, false),
        once_only: (route(Kind::Unsafe), 100, false),
        stream_that_may_not_go_on: (route(Kind::Stream { resumable: false }), 100, false),
        one_target_only: (Route { attempts: 1, ..resumable() }, 100, false),
        no_goal: (Route { goal: None, ..resumable() }, 100, false),
    }
}

/// Guards against a second send while the first is still likely to be in time, and against one
/// that is too late to be in time itself.
#[gtest]
fn a_second_send_goes_out_when_it_can_just_be_in_time() {
    let route = resumable();
    let hedging = seen(&route, 100);
    let delay = |held| hedging.plan(&route, 100, ms(held)).unwrap().delay;
    assert_that!(delay(0), all![gt(ms(380)), le(ms(400))]);
    assert_that!(delay(150), all![gt(ms(230)), le(ms(250))]);
    // Then the goal can't be met; others would nearly all have been answered after twice as long.
    assert_that!(delay(450), all![ge(ms(200)), lt(ms(220))]);
    assert_that!(hedging.plan(&route, 100_000, Duration::ZERO), none());
}

/// Guards against second sends for requests that are no slower than one in ten.
#[gtest]
fn a_second_send_waits_for_the_slowest_twentieth() {
    let route = resumable();
    let mut hedging = seen(&route, 100);
    (0..10).for_each(|_| hedging.answered(NOW, &route, 100, ms(300)));
    let plan = hedging.plan(&route, 100, ms(450)).unwrap();
    assert_that!(plan.delay, all![ge(ms(300)), lt(ms(335))]);
}

/// Guards against delays that were right some minutes ago.
#[gtest]
fn the_delay_follows_what_is_seen() {
    let route = resumable();
    let mut hedging = seen(&route, 1_000);
    let later = NOW + Duration::from_mins(10);
    for _ in 0..200 {
        hedging.answered(later, &route, 100, ms(700));
    }
    let plan = hedging.plan(&route, 100, Duration::ZERO).unwrap();
    assert_that!(plan.typical, all![ge(ms(700)), lt(ms(800))]);
    assert_that!(plan.delay, ge(ms(1_400)));
}

fn due() -> Due<'static> {
    Due {
        service: SERVICE,
        typical: ms(100),
        waited: ms(390),
        left: Duration::from_secs(5),
        may_repeat: true,
        suspect: false,
        pressed: false,
    }
}

fn decide(hedging: &mut Hedging, due: &Due<'_>) -> std::result::Result<String, Withheld> {
    hedging.decide(NOW, due, |_| Some("b".to_owned()), || true)
}

fn check_withheld((due, why): (Due<'_>, Withheld)) {
    let mut hedging = seen(&resumable(), 1_000);
    assert_that!(decide(&mut hedging, &due), err(eq(&why)));
}

base::cases! {
    second_sends_are_withheld: check_withheld => {
        no_attempts: (Due { may_repeat: false, ..due() }, Withheld::Attempts),
        suspect: (Due { suspect: true, ..due() }, Withheld::Suspect),
        pressed: (Due { pressed: true, ..due() }, Withheld::Pressed),
        deadline: (Due { left: ms(150), ..due() }, Withheld::Deadline),
        other_service: (Due { service: "other", ..due() }, Withheld::Limit),
    }
}

#[gtest]
fn no_room_and_no_budget_use_nothing_of_the_limit() {
    let mut hedging = seen(&resumable(), 50);
    let room = hedging.decide(
        NOW,
        &due(),
        |_| None,
        || panic!("it is charged for nothing"),
    );
    assert_that!(room, err(eq(&Withheld::Room)));
    let budget = hedging.decide(NOW, &due(), |_| Some("b".to_owned()), || false);
    assert_that!(budget, err(eq(&Withheld::Budget)));
    assert_that!(decide(&mut hedging, &due()), ok(eq("b")));
    assert_that!(decide(&mut hedging, &due()), err(eq(&Withheld::Limit)));
}

/// Guards against an extra send to a target that is expected to answer no sooner than the first.
#[gtest]
fn the_second_target_has_to_be_clearly_faster() {
    let mut hedging = seen(&resumable(), 50);
    let faster = |wanted: Wanted| (wanted.within <= ms(273)).then(|| "b".to_owned());
    let decided = hedging.decide(NOW, &due(), faster, || true);
    assert_that!(decided, ok(eq("b")));
}

/// Guards against requests that count for longer than a window, as the second of their arrival
/// still counts.
#[gtest]
fn requests_count_for_no_longer_than_a_window() {
    for (ms_later, sends) in [(20_050, false), (19_050, true)] {
        let mut hedging = Hedging::new(Some("2%".parse().unwrap()), Time::ZERO);
        (0..50).for_each(|_| hedging.request(NOW + ms(900), SERVICE));
        let later = NOW + ms(900 + ms_later);
        let decided = hedging.decide(later, &due(), |_| Some("b".to_owned()), || true);
        assert_that!(decided.is_ok(), eq(sends));
    }
}

/// Guards against extra sends that are forgotten within their window, and against ones that count
/// for good.
#[gtest]
fn an_extra_send_counts_for_a_window() {
    for (ms_later, sends) in [(20_000, false), (21_000, true)] {
        let mut hedging = seen(&resumable(), 50);
        assert_that!(decide(&mut hedging, &due()), ok(eq("b")));
        let later = NOW + ms(ms_later);
        (0..50).for_each(|_| hedging.request(later, SERVICE));
        let decided = hedging.decide(later, &due(), |_| Some("b".to_owned()), || true);
        assert_that!(decided.is_ok(), eq(sends));
    }
}

/// Guards against an instance that has its allowance again as soon as it has restarted.
#[gtest]
fn an_instance_that_has_just_started_sends_none() {
    let mut hedging = Hedging::new(Some("2%".parse().unwrap()), NOW);
    (0..1_000).for_each(|_| hedging.request(NOW, SERVICE));
    assert_that!(decide(&mut hedging, &due()), err(eq(&Withheld::Limit)));
}

#[gtest]
fn refusals_press_for_a_second() {
    let mut hedging = seen(&resumable(), 1);
    assert_that!(hedging.is_pressed(NOW), eq(false));
    hedging.refused(NOW);
    assert_that!(hedging.is_pressed(NOW + ms(900)), eq(true));
    assert_that!(hedging.is_pressed(NOW + ms(1_000)), eq(false));
}

/// Guards against extra sends that use what failures need.
#[gtest]
fn half_of_the_retry_budget_is_left_to_failures() {
    let limits = Limits {
        ratio: 0.2,
        extra: 0.0,
        window: Duration::from_secs(10),
    };
    let mut budget = Budget::new(limits, NOW, Seed(u64::MAX));
    (0..1_000).for_each(|_| budget.request(NOW, SERVICE));
    let spare = (0..1_000).filter(|_| budget.try_early(NOW, SERVICE).allowed);
    assert_that!(spare.count(), all![ge(65), le(70)]);
    let retries = (0..1_000).filter(|_| budget.try_retry(NOW, SERVICE).allowed);
    assert_that!(retries.count(), all![ge(65), le(70)]);
    assert_that!(budget.try_early(NOW, SERVICE).allowed, eq(false));
}

fn target(id: &str, ip: u8, zone: &str) -> Target {
    let resident = Resident {
        adapter: "m/a".to_owned(),
        version: 2,
        ready_in: Duration::ZERO,
    };
    Target {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: format!("10.0.0.{ip}:80"),
        zone: zone.to_owned(),
        slots: 10,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: vec![resident],
        limit: None,
    }
}

/// Returns the second target of a request that was sent to `a` in zone `za`, beside `others`.
fn second(others: Vec<Target>, change: impl FnOnce(&mut View)) -> Option<String> {
    let zones = ["za".to_owned(), "zb".to_owned()];
    let mut view = View::new("za", Seed(1));
    let all = [target("a", 1, "za")].into_iter().chain(others);
    view.set_targets(NOW, &zones, all.collect());
    view.set_versions(NOW, [("m/a".to_owned(), 2)]);
    change(&mut view);
    let software: SoftwareVersion = "v1".parse().unwrap();
    let tried = BTreeSet::from(["tried".to_owned()]);
    let asked = Second {
        service: SERVICE,
        adapter: "m/a",
        first: "a",
        tried: &tried,
        software: view.software(NOW, "a").map(|_| &software),
    };
    let wanted = Wanted {
        typical: ms(100),
        within: ms(270),
    };
    view.second(NOW, &asked, wanted)
}

#[gtest]
fn the_second_target_is_elsewhere() {
    let near = || target("near", 2, "za");
    let far = || target("far", 3, "zb");
    assert_that!(second(vec![near(), far()], |_| {}), some(eq("far")));
    assert_that!(second(vec![near()], |_| {}), some(eq("near")));
    assert_that!(second(vec![target("b", 1, "zb")], |_| {}), none());
}

fn check_unfit(change: fn(&mut Target)) {
    let mut other = target("b", 2, "zb");
    change(&mut other);
    assert_that!(second(vec![other], |_| {}), none());
}

base::cases! {
    a_target_that_does_not_fit_is_not_the_second: check_unfit => {
        tried: |target| target.id = "tried".to_owned(),
        leaving: |target| target.ready = false,
        other_service: |target| target.service = "other".to_owned(),
        slow: |target| target.slowness = 300,
        no_adapter: |target| target.residents.clear(),
        old_version: |target| target.residents[0].version = 1,
        adapter_on_its_way: |target| target.residents[0].ready_in = ms(100),
    }
}

fn check_trouble(change: fn(&mut View)) {
    assert_that!(second(vec![target("b", 2, "zb")], change), none());
}

base::cases! {
    a_target_in_trouble_is_not_the_second: check_trouble => {
        full: |view| (0..8).for_each(|_| { view.begin("b", "", 0); }),
        full_of_others: |view| view.set_other_running(&["zb".to_owned()], [("b".to_owned(), 8)]),
        much_to_read: |view| { view.begin("b", "", 10_000); },
        out_of_reach: |view| view.unreachable(NOW, "b"),
        failing: |view| (0..2).for_each(|_| view.outcome(NOW, "b", false)),
        outrun: |view| (0..2).for_each(|_| view.outrun(NOW, "b")),
        limited: |view| { view.limits().seen(NOW, "b", Some("2".parse().unwrap())); },
        brittle: |view| { view.seen_brittle("b", Some("5".parse().unwrap())); },
        other_software: |view| {
            view.set_software([
                ("a".to_owned(), Some("v1".parse().unwrap())),
                ("b".to_owned(), Some("v2".parse().unwrap())),
            ]);
        },
    }
}

#[gtest]
fn a_target_of_the_same_software_is_the_second() {
    let told = ["a", "b"].map(|id| (id.to_owned(), Some("v1".parse().unwrap())));
    let found = second(vec![target("b", 2, "zb")], |view| {
        view.set_software(told);
    });
    assert_that!(found, some(eq("b")));
}
