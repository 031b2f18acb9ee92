//! Which adapters are loaded next, and what the zone owner learns of the store and of
//! engines' host memory.

use std::{collections::BTreeMap, time::Duration};

use base::Ticket;
use gateway::zone_owner::{Action, Config, Input, OrderOutcome};
use googletest::prelude::*;
use wire::fleet::{FirstUse, Sync};

use crate::world::{World, announced_wait, answer_orders, load};

/// Orders loads of `count` adapters; returns how many were ordered at once, and the wait
/// announced for the last one.
fn loads_at_once(world: &mut World, round: usize, count: usize) -> (usize, Duration) {
    let wants: Vec<_> = (0..count).map(|n| format!("m/r{round}-{n}")).collect();
    let wants: Vec<_> = wants.iter().map(String::as_str).collect();
    world.want(&wants);
    let mut given = 0;
    world.own_zone();
    while let Some(order) = world.orders.first() {
        let evicts = matches!(order.action, Action::Evict(_));
        world.end(if evicts {
            OrderOutcome::Done
        } else {
            OrderOutcome::Accepted
        });
        given += usize::from(!evicts);
    }
    world.give(Input::Sync(Ticket(10), Sync::default()));
    let targets = world.answers.last().and_then(|a| a.targets.clone());
    let residents = targets.into_iter().flatten().flat_map(|t| t.residents);
    let wait = residents.map(|r| r.ready_in).max();
    (given, wait.unwrap_or_default())
}

/// Reports whether the first requests for the adapters just loaded found them.
fn say_firsts(world: &mut World, round: usize, count: usize, held: bool) {
    let mut firsts = Vec::new();
    for engine in 1..=world.engines {
        firsts.extend((0..count).map(|n| FirstUse {
            target: format!("e{engine}"),
            adapter: format!("m/r{round}-{n}"),
            held,
        }));
    }
    let sync = Sync {
        first_uses: firsts,
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(9), sync));
}

/// The store serves half as many loads at full speed as expected. Callers were told a
/// quarter of a second, sent their requests too early, and nearly half of all requests at
/// engines were refused.
#[gtest]
fn a_slower_store_is_learned_from_refused_first_requests() {
    let _mark = base::ExpectedMark::new("store_slower");
    let mut world = World::new(8);
    let (at_first, wait) = loads_at_once(&mut world, 0, 24);
    assert_that!(at_first, eq(16));
    assert_that!(wait, le(Duration::from_millis(260)));
    say_firsts(&mut world, 0, 24, false);
    let mut last = Vec::new();
    for round in 1..40 {
        world.pass(2_000);
        let (at_once, _) = loads_at_once(&mut world, round, 24);
        say_firsts(&mut world, round, 24, at_once <= 8);
        last.push(at_once);
    }
    let settled = &last[20..];
    expect_that!(settled, each(all![ge(&6), le(&9)]));
    // The time added while too many loads ran has been removed again.
    world.pass(2_000);
    let (_, wait) = loads_at_once(&mut world, 40, 4);
    expect_that!(wait, le(Duration::from_millis(300)));
}

/// A store that serves more loads than expected is used fully once loads are in time.
#[gtest]
fn a_faster_store_is_learned_from_served_first_requests() {
    let mut world = World::new(12);
    for round in 0..30 {
        loads_at_once(&mut world, round, 12);
        say_firsts(&mut world, round, 12, true);
        world.pass(2_000);
    }
    let (at_once, _) = loads_at_once(&mut world, 30, 40);
    expect_that!(at_once, ge(20));
}

/// A load takes a fifth longer than the initial estimate, however few run. The expected
/// time was lowered to the estimate again and again, so that half of the first requests
/// came too early; taken as a sign of too many loads they left one at a time of sixteen,
/// and adapters that were requested all day were never loaded.
#[gtest]
fn a_load_that_always_takes_longer_is_no_sign_of_too_many() {
    let mut world = World::new(8);
    let mut given = Vec::new();
    for round in 0..60 {
        let (at_once, wait) = loads_at_once(&mut world, round, 24);
        let held = wait >= Duration::from_millis(300);
        say_firsts(&mut world, round, 24, held);
        given.push(at_once);
        world.pass(2_000);
    }
    assert_that!(given, each(ge(&14)));
}

/// Callers ask for one more copy of a busy adapter while others wait for one that was
/// requested once. The copy goes first, and only one is loaded at a time.
#[gtest]
fn a_copy_of_a_busy_adapter_goes_before_a_rare_one() {
    let mut world = World::new(2);
    world.want(&["m/busy"]);
    world.end(OrderOutcome::Accepted);
    world.pass(2_000);
    let sync = Sync {
        demand: vec![("m/busy".to_owned(), 30), ("m/rare".to_owned(), 1)],
        wants: vec!["m/rare".to_owned()],
        copies: vec!["m/busy".to_owned()],
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(7), sync));
    let given: Vec<_> = world.orders.iter().map(|o| o.action.clone()).collect();
    assert_that!(given.first(), some(eq(&load("m/busy"))));
    while !world.orders.is_empty() {
        world.end(OrderOutcome::Accepted);
    }
    let again = Sync {
        copies: vec!["m/busy".to_owned()],
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(8), again));
    assert_that!(world.orders, is_empty());
}

/// Many adapters wait for the store. One that an engine still has in host memory takes a
/// tenth of the time and nothing of the store, yet waited among them.
#[gtest]
fn a_load_from_memory_passes_the_queue_of_the_store() {
    let config = Config {
        zones: 8,
        ..Config::default()
    };
    let mut world = World::with(1, config);
    for adapter in ["m/a", "m/b", "m/c", "m/d"] {
        announced_wait(&mut world, adapter);
    }
    world.pass(300);
    world.own_zone();
    world.want(&["m/x", "m/y", "m/z"]);
    answer_orders(&mut world);
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
    answer_orders(&mut world);
    world.give(Input::Sync(Ticket(12), Sync::default()));
    let targets = world.answers.last().and_then(|a| a.targets.clone());
    let mut residents = targets.into_iter().flatten().flat_map(|t| t.residents);
    assert_that!(residents.any(|r| r.adapter == "m/a"), eq(true));
}

/// Guards against callers who are told to wait a tenth of a load after a new version was
/// ordered, because the engine has evicted the previous version.
#[gtest]
fn a_new_version_is_not_taken_to_be_in_memory() {
    let mut world = World::new(1);
    for adapter in ["m/a", "m/b", "m/c", "m/d"] {
        announced_wait(&mut world, adapter);
    }
    let versions = BTreeMap::from([("m/a".to_owned(), 7)]);
    world.give(Input::Versions(versions));
    let wait = announced_wait(&mut world, "m/a");
    assert_that!(wait, gt(Duration::from_millis(200)));
}

/// Guards against the opposite: the ordered version is the one that was evicted.
#[gtest]
fn a_named_version_that_was_dropped_is_in_memory() {
    let mut world = World::new(1);
    let versions = BTreeMap::from([("m/a".to_owned(), 7)]);
    world.give(Input::Versions(versions));
    for adapter in ["m/a", "m/b", "m/c", "m/d"] {
        announced_wait(&mut world, adapter);
    }
    let wait = announced_wait(&mut world, "m/a");
    assert_that!(wait, lt(Duration::from_millis(60)));
}

/// Engines keep fewer evicted adapters in host memory than expected. Callers were told a
/// tenth of a load, and each was refused.
#[gtest]
fn the_size_of_an_engines_memory_is_learned() {
    let _mark = base::ExpectedMark::new("memory_smaller");
    let mut world = World::new(1);
    let quick = Duration::from_millis(60);
    let ask_all = |world: &mut World, there: usize| {
        let mut wrong = 0;
        for n in 0..40 {
            let adapter = format!("m/{n}");
            let wait = announced_wait(world, &adapter);
            let held = wait > quick || 36 < there;
            wrong += usize::from(!held);
            let target = "e1".to_owned();
            let first = FirstUse {
                target,
                adapter,
                held,
            };
            let firsts = vec![first];
            let sync = Sync {
                first_uses: firsts,
                ..Sync::default()
            };
            world.give(Input::Sync(Ticket(13), sync));
        }
        wrong
    };
    // Each is reloaded after 36 others were evicted; the engine keeps 20.
    ask_all(&mut world, 20);
    expect_that!(ask_all(&mut world, 20), le(10));
    expect_that!(ask_all(&mut world, 20), eq(0));
}

/// More rare adapters are wanted than the store can load. Their callers waited in vain
/// for a third of their time; callers far back in the queue are told the estimated wait
/// at once.
#[gtest]
fn callers_far_back_in_the_queue_of_the_store_are_told() {
    let config = Config {
        zones: 4,
        ..Config::default()
    };
    let mut world = World::with(2, config);
    let wants: Vec<_> = (0..40).map(|n| format!("m/a{n}")).collect();
    let wants: Vec<_> = wants.iter().map(String::as_str).collect();
    world.want(&wants);
    answer_orders(&mut world);
    world.answers.clear();
    let again = Sync {
        wants: vec!["m/a39".to_owned(), "m/a38".to_owned()],
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(15), again));
    let waits = &world.answers[0].waits;
    assert_that!(waits.len(), eq(2));
    // Four loads of a quarter of a second at once: 36 wait for nine rounds.
    let longest = waits.iter().map(|(_, wait)| *wait).max().unwrap();
    expect_that!(
        longest,
        all![ge(Duration::from_secs(1)), le(Duration::from_secs(3))]
    );
}

/// The store can't load all adapters in time. Callers of one adapter have waited for half
/// a second and will be late in any case; those of another have just arrived and can
/// still be served in time. First come, first served made both late.
#[gtest]
fn callers_that_can_be_served_in_time_go_first() {
    let config = Config {
        zones: 16,
        ..Config::default()
    };
    let mut world = World::with(2, config);
    world.want(&["m/first"]);
    for _ in 0..2 {
        world.want(&["m/old"]);
        world.pass(250);
    }
    world.end(OrderOutcome::Accepted);
    world.pass(10);
    while !world.orders.is_empty() {
        world.end(OrderOutcome::Unknown);
    }
    world.want(&["m/old"]);
    world.want(&["m/new"]);
    world.pass(300);
    let next = world.orders.iter().map(|o| o.action.clone()).next();
    assert_that!(next, some(eq(&load("m/new"))));
}

/// A busy adapter is held in another zone only. Its callers here would lose it with that
/// zone or its engine; a copy costs nothing while no caller waits for the store, and has
/// to wait while some do.
#[gtest]
fn a_busy_adapter_is_copied_while_nobody_waits_for_the_store() {
    let busy = || Sync {
        demand: vec![("m/busy".to_owned(), 60)],
        ..Sync::default()
    };
    let mut world = World::new(1);
    world.give(Input::Sync(Ticket(16), busy()));
    assert_that!(world.orders[0].action, eq(&load("m/busy")));

    let config = Config {
        zones: 16,
        ..Config::default()
    };
    let mut world = World::with(1, config);
    world.want(&["m/a", "m/b", "m/c"]);
    world.end(OrderOutcome::Accepted);
    world.give(Input::Sync(Ticket(17), busy()));
    let given: Vec<_> = world.orders.iter().map(|o| o.action.clone()).collect();
    assert_that!(given, not(contains(eq(&load("m/busy")))));
}

/// An adapter was busy while others waited for the store, and is requested no more when
/// the store is free: a copy would not be used.
#[gtest]
fn an_adapter_that_was_busy_is_not_copied_later() {
    let config = Config {
        zones: 16,
        ..Config::default()
    };
    let mut world = World::with(1, config);
    world.want(&["m/a", "m/b"]);
    let sync = Sync {
        demand: vec![("m/busy".to_owned(), 16)],
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(18), sync));
    answer_orders(&mut world);
    world.pass(2_000);
    world.own_zone();
    world.pass(100);
    assert_that!(world.orders, is_empty());
}
