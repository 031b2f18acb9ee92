//! Choice by expected time: under uneven engines, full slots, and too little knowledge.

#[path = "expected/fleet.rs"]
mod fleet;

use std::time::Duration;

use base::Time;
use gateway::view::Choice;
use googletest::prelude::*;

use self::fleet::{ADAPTER, Fleet, PLAIN, SERVICE, engine, plain};

/// Failure guarded against: callers wait for seconds at the slots of one holder while another
/// one is idle in the next zone.
#[gtest]
fn a_target_whose_slots_are_taken_is_passed_over() {
    let mut fleet = Fleet::new(1);
    fleet.list(&[engine("a1", "za"), engine("b1", "zb")]);
    fleet.report(&[("a1", 14), ("b1", 4)]);
    expect_that!(
        fleet.sent(SERVICE, ADAPTER).keys().collect::<Vec<_>>(),
        elements_are![eq(&"b1")]
    );
}

/// Failure guarded against: an engine at half the speed gets as many requests as the others,
/// and its callers are late.
#[gtest]
fn slow_engines_get_less_and_fast_ones_more() {
    let mut fleet = Fleet::new(60);
    let mut targets = vec![engine("a1", "za"), engine("a2", "za"), engine("a3", "za")];
    targets[1].slowness = 240;
    targets[2].slowness = 70;
    fleet.list(&targets);
    fleet.report(&[("a1", 9), ("a2", 9), ("a3", 9)]);
    let sent = fleet.sent(SERVICE, ADAPTER);
    let of = |id| sent.get(id).copied().unwrap_or(0);
    expect_that!(of("a2"), lt(of("a1")));
    expect_that!(of("a1"), lt(of("a3")));
}

/// Failure guarded against: a zone's owner is frozen, its targets look empty, and the requests
/// of all instances go there until their queues are full.
fn unknown_zone(age: Duration) -> usize {
    let mut fleet = Fleet::new(60);
    let targets = ["a1", "a2", "a3"].map(|id| engine(id, "za"));
    let unknown = ["b1", "b2", "b3"].map(|id| engine(id, "zb"));
    fleet.list(&[targets, unknown].concat());
    fleet.report(&[("a1", 6), ("a2", 6), ("a3", 6)]);
    fleet.pass(age);
    fleet.report_zone("za", &[("a1", 9), ("a2", 9), ("a3", 9)], 60);
    let sent = fleet.sent(SERVICE, ADAPTER);
    sent.iter()
        .filter(|(id, _)| id.starts_with('b'))
        .map(|(_, count)| count)
        .sum()
}

/// Failure guarded against: as above, right after another instance has taken the zone and has
/// heard from few instances.
#[gtest]
fn a_report_of_few_instances_is_not_taken_for_an_empty_zone() {
    let mut fleet = Fleet::new(60);
    fleet.list(&[
        engine("a1", "za"),
        engine("a2", "za"),
        engine("b1", "zb"),
        engine("b2", "zb"),
    ]);
    fleet.report_zone("za", &[("a1", 9), ("a2", 9)], 60);
    fleet.report_zone("zb", &[], 3);
    let sent = fleet.sent(SERVICE, ADAPTER);
    let there: usize = sent
        .iter()
        .filter(|(id, _)| id.starts_with('b'))
        .map(|(_, n)| n)
        .sum();
    expect_that!(there, lt(45));
}

#[gtest]
fn a_zone_that_is_not_heard_from_is_not_flooded() {
    expect_that!(unknown_zone(Duration::from_millis(100)), ge(45));
    expect_that!(unknown_zone(Duration::from_millis(2_000)), lt(40));
}

/// Failure guarded against: requests that last for less than an exchange make each report
/// oscillate, and all instances send to whatever was empty a quarter of a second ago.
#[gtest]
fn brief_requests_are_spread_though_reports_oscillate() {
    let mut fleet = Fleet::new(60);
    fleet.list(&[
        plain("a1", "za"),
        plain("a2", "za"),
        plain("b1", "zb"),
        plain("c1", "zc"),
    ]);
    fleet.lasted(Duration::from_millis(60));
    for round in 0..12 {
        let (even, odd) = if round % 2 == 0 { (0, 24) } else { (24, 0) };
        fleet.report(&[("a1", even), ("a2", odd), ("b1", even), ("c1", odd)]);
        fleet.pass(Duration::from_millis(250));
    }
    let sent = fleet.sent(PLAIN, "");
    expect_that!(sent.values().max(), some(le(&40)));
    expect_that!(sent.len(), ge(3));
}

/// Failure guarded against: a target that has just refused a request for want of room gets the
/// next ones as well, as its load isn't heard yet.
#[gtest]
fn a_target_that_refused_for_want_of_room_is_left_for_a_moment() {
    let mut fleet = Fleet::new(1);
    fleet.list(&[engine("a1", "za"), engine("b1", "zb")]);
    fleet.report(&[]);
    fleet.refuse("a1");
    expect_that!(fleet.sent(SERVICE, ADAPTER).contains_key("a1"), eq(false));
    fleet.pass(Duration::from_millis(300));
    fleet.report(&[]);
    expect_that!(fleet.sent(SERVICE, ADAPTER).contains_key("a1"), eq(true));
}

fn zone_for_copy(running: u32) -> Option<String> {
    let mut fleet = Fleet::new(1);
    let mut other = engine("b1", "zb");
    other.residents.clear();
    fleet.list(&[engine("a1", "za"), other]);
    fleet.report(&[("a1", running)]);
    fleet.zone_for_copy()
}

/// Failure guarded against: the only holder's slots are taken, its queue is of callers whose
/// prompts are short, and no copy is asked for.
#[gtest]
fn a_copy_is_asked_for_where_all_holders_keep_callers_waiting() {
    expect_that!(zone_for_copy(6), none());
    expect_that!(zone_for_copy(18), some(eq("zb")));
}

/// Failure guarded against: a copy is there in a moment, and callers queue for longer at the
/// holder that is full.
fn beside_a_loading_copy(running: u32) -> Choice {
    let mut fleet = Fleet::new(1);
    let mut coming = engine("a2", "za");
    coming.residents[0].ready_in = Duration::from_millis(150);
    fleet.list(&[engine("a1", "za"), coming]);
    fleet.report(&[("a1", running)]);
    fleet.choose(SERVICE, ADAPTER)
}

#[gtest]
fn a_loading_copy_is_waited_for_only_if_that_is_faster() {
    expect_that!(beside_a_loading_copy(4), eq(&Choice::Send("a1".to_owned())));
    expect_that!(
        beside_a_loading_copy(20),
        eq(&Choice::Wait(Duration::from_millis(150)))
    );
}

/// Failure guarded against: what is new changes decisions for users whose goals aren't tight.
#[gtest]
fn without_tight_goals_choices_are_as_before() {
    for seed in 0..500 {
        let mut told = fleet::drawn(seed);
        let mut never_told = told.clone();
        told.set_tight(false);
        told.heard_load(Time(1), &["za".to_owned(), "zb".to_owned()], 60);
        told.add_hold_sample("e1", 700, Duration::from_millis(900));
        told.no_room(Time(2), "e2");
        never_told.no_room(Time(2), "e2");
        for adapter in ["m/x", "m/y"] {
            let choose = |view: &gateway::view::View| {
                let chosen = view.choose(fleet::NOW, SERVICE, adapter, &Default::default(), None);
                let load = Duration::from_millis(250);
                let copy = view.zone_for_copy(fleet::NOW, SERVICE, adapter, load);
                (chosen, copy.map(str::to_owned))
            };
            expect_that!(choose(&told), eq(&choose(&never_told)));
        }
    }
}

/// Prints the time of a choice among 600 targets of which twelve hold the adapter.
#[gtest]
#[ignore = "measures"]
fn cost_of_a_choice() {
    let mut fleet = Fleet::new(1);
    let targets: Vec<_> = (0..600)
        .map(|n| {
            let mut target = engine(&format!("e{n}"), ["za", "zb", "zc"][n % 3]);
            if n % 50 != 0 {
                target.residents[0].adapter = format!("m/a{n}");
            }
            target
        })
        .collect();
    fleet.list(&targets);
    fleet.report(&[]);
    for tight in [false, true] {
        fleet.set_tight(tight);
        let begun = std::time::Instant::now();
        for _ in 0..10_000 {
            fleet.choose(SERVICE, ADAPTER);
        }
        println!("tight {tight}: {:?} a choice", begun.elapsed() / 10_000);
    }
}
