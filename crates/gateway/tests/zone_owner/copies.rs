//! How many copies of adapters a zone owner loads and gives up where goals are tight.

use std::collections::BTreeSet;

use base::Ticket;
use gateway::zone_owner::{Action, Input, ListedTarget, OrderOutcome};
use googletest::prelude::*;
use wire::fleet::{Running, Sync, Synced};

use crate::world::{World, answer_orders, held, load};

/// Creates an owner told that goals are tight, whose engines hold `held`.
fn tight(holds: &[&[&str]]) -> World {
    let mut world = World::new(holds.len());
    world.owner.set_tight(true);
    list(&mut world, holds);
    world
}

/// Passes in a list of engines with ten slots each that hold `holds`.
fn list(world: &mut World, holds: &[&[&str]]) {
    let listed = holds.iter().enumerate().map(|(n, adapters)| ListedTarget {
        id: format!("e{}", n + 1),
        addr: format!("e{}:1", n + 1),
        born: world.born,
        service: "s".to_owned(),
        zone: "za".to_owned(),
        software: None,
        slots: 10,
        ready: true,
        held: Some(held(adapters)),
    });
    let (asked, list) = (world.now, listed.collect());
    let zones = vec!["za".to_owned()];
    world.give(Input::Listed { asked, zones, list });
}

/// An entry instance reports what runs, and how many requests were asked for.
fn report(world: &mut World, running: &[(&str, &str, u32)], demand: &[(&str, u32)]) -> Synced {
    let running = running.iter().map(|(target, adapter, count)| Running {
        target: (*target).to_owned(),
        adapter: (*adapter).to_owned(),
        count: *count,
    });
    let demand = demand.iter().map(|(a, count)| ((*a).to_owned(), *count));
    let sync = Sync {
        instance: Some("n1".parse().unwrap()),
        running: running.collect(),
        demand: demand.collect(),
        ..Sync::default()
    };
    world.answers.clear();
    world.give(Input::Sync(Ticket(1), sync));
    world.answers[0].clone()
}

/// Reports four times a second for `ms`.
fn report_for(world: &mut World, ms: u64, running: &[(&str, &str, u32)], demand: &[(&str, u32)]) {
    for _ in 0..ms / 250 {
        report(world, running, demand);
        world.pass(250);
        world.own_zone();
    }
}

/// Returns the engines that are ordered to load an adapter.
fn loads_of<'a>(world: &'a World, adapter: &str) -> Vec<&'a str> {
    let orders = world.orders.iter();
    let orders = orders.filter(|order| order.action == load(adapter));
    orders.map(|order| order.id.as_str()).collect()
}

/// Demand for one adapter jumps, and its holder has twice as many requests as slots. Copies
/// came one by one, each after callers had waited.
#[gtest]
fn copies_for_a_jump_in_demand_are_loaded_at_once() {
    let mut world = tight(&[&["m/hot"], &[], &[], &[], &[], &[]]);
    report(&mut world, &[("e1", "m/hot", 20)], &[("m/hot", 20)]);
    world.pass(100);
    let engines: BTreeSet<_> = loads_of(&world, "m/hot").into_iter().collect();
    // 24 requests with the headroom, 7 for each engine.
    expect_that!(engines.len(), eq(3));
}

/// Further copies count as soon as they are ordered, so that a jump isn't answered twice.
#[gtest]
fn copies_on_their_way_are_counted() {
    let mut world = tight(&[&["m/hot"], &[], &[], &[], &[], &[]]);
    report(&mut world, &[("e1", "m/hot", 20)], &[]);
    world.pass(100);
    expect_that!(world.orders.len(), eq(3));
    answer_orders(&mut world);
    world.pass(120);
    report(&mut world, &[("e1", "m/hot", 20)], &[]);
    expect_that!(world.orders, is_empty());
}

/// Requests that come faster show before they have filled the holders.
#[gtest]
fn copies_are_loaded_by_the_rate_before_holders_are_full() {
    let mut world = tight(&[&["m/hot"], &["m/other"], &[], &[], &[]]);
    let running = [("e1", "m/hot", 2), ("e2", "m/other", 4)];
    report_for(&mut world, 3_000, &running, &[("m/hot", 1), ("m/other", 2)]);
    expect_that!(loads_of(&world, "m/hot"), is_empty());
    report_for(&mut world, 250, &running, &[("m/hot", 12), ("m/other", 2)]);
    expect_that!(loads_of(&world, "m/hot"), not(is_empty()));
}

/// No engine has room: a further copy would only drive out other adapters.
#[gtest]
fn no_copies_are_loaded_where_no_engine_has_room() {
    let mut world = tight(&[&["m/hot"], &["m/a"], &["m/b"]]);
    let running = [("e1", "m/hot", 20), ("e2", "m/a", 8), ("e3", "m/b", 9)];
    report(&mut world, &running, &[]);
    world.pass(100);
    expect_that!(loads_of(&world, "m/hot"), is_empty());
}

/// Demand has moved on. Its copies were kept as long as their adapter had more requests for
/// each than others that had one copy.
#[gtest]
fn surplus_copies_make_room_first() {
    let each: &[&str] = &["m/old", "m/a", "m/b"];
    let mut world = tight(&[each, each, each, each]);
    let demand = [("m/old", 10), ("m/a", 8), ("m/b", 8)];
    report_for(&mut world, 750, &[("e1", "m/old", 1)], &demand);
    let running = [
        ("e1", "m/a", 5),
        ("e2", "m/a", 5),
        ("e3", "m/a", 5),
        ("e4", "m/b", 5),
        ("e1", "m/b", 5),
        ("e2", "m/b", 5),
        ("e3", "m/b", 5),
    ];
    report_for(&mut world, 250, &running, &[]);
    world.orders.clear();
    world.want(&["m/new"]);
    let evicted: Vec<_> = world.orders.iter().map(|order| &order.action).collect();
    expect_that!(
        evicted,
        elements_are![eq(&&Action::Evict("m/old".to_owned()))]
    );
}

/// The idlest engine holds busy adapters only, and another one an adapter that nobody has
/// asked for. Rare adapters asked at once drove out the busy ones.
#[gtest]
fn rare_adapters_do_not_drive_out_busy_ones() {
    let busy: &[&str] = &["m/a", "m/b", "m/c"];
    let mut world = tight(&[busy, &["m/idle", "m/d", "m/e"]]);
    let demand = ["m/a", "m/b", "m/c", "m/d", "m/e"].map(|a| (a, 30));
    report_for(&mut world, 1_000, &[("e2", "m/d", 3)], &demand);
    world.orders.clear();
    world.want(&["m/rare"]);
    let orders = world
        .orders
        .iter()
        .map(|order| (order.id.as_str(), &order.action));
    let idle = Action::Evict("m/idle".to_owned());
    expect_that!(
        orders.collect::<Vec<_>>(),
        elements_are![eq(&("e2", &idle))]
    );
}

/// An owner that has just started has heard of a few requests only. It answered that nothing
/// else ran, and requests went to full engines.
#[gtest]
fn an_owner_that_knows_nothing_says_so_and_gives_nothing_up() {
    let each: &[&str] = &["m/old", "m/a", "m/b"];
    let mut world = tight(&[each, each]);
    let answer = report(&mut world, &[], &[("m/old", 9), ("m/a", 1), ("m/b", 5)]);
    expect_that!(answer.knows_running(), eq(false));
    world.pass(110);
    world.want(&["m/new"]);
    let evicted = world.orders.iter().map(|order| &order.action);
    expect_that!(
        evicted.collect::<Vec<_>>(),
        elements_are![eq(&&Action::Evict("m/a".to_owned()))]
    );
    report_for(&mut world, 500, &[], &[]);
    expect_that!(report(&mut world, &[], &[]).knows_running(), eq(true));
    // Frozen for some seconds.
    world.pass(3_000);
    expect_that!(report(&mut world, &[], &[]).knows_running(), eq(false));
}

/// A third of the engines is gone, with most of the copies of an adapter. What is left has to
/// get copies for its requests, and wanted adapters go on being loaded.
#[gtest]
fn lost_copies_are_replaced_at_what_is_left() {
    let mut holds: Vec<&[&str]> = vec![&["m/hot"]; 4];
    holds.extend([&[] as &[&str]; 5]);
    let mut world = tight(&holds);
    let spread = [
        ("e1", "m/hot", 4),
        ("e2", "m/hot", 4),
        ("e3", "m/hot", 4),
        ("e4", "m/hot", 4),
    ];
    report_for(&mut world, 1_000, &spread, &[("m/hot", 4)]);
    expect_that!(world.orders, is_empty());
    let left: Vec<&[&str]> = vec![&["m/hot"], &[], &[], &[], &[], &[]];
    list(&mut world, &left);
    report(&mut world, &[("e1", "m/hot", 16)], &[("m/hot", 4)]);
    world.pass(100);
    expect_that!(loads_of(&world, "m/hot").len(), ge(2));
    world.want(&["m/wanted"]);
    expect_that!(loads_of(&world, "m/wanted").len(), eq(1));
}

/// The orders of an owner for a recorded course of demand.
fn orders_of(told: Option<bool>) -> Vec<String> {
    let mut world = World::new(5);
    if let Some(tight) = told {
        world.owner.set_tight(tight);
    }
    let mut given = Vec::new();
    for step in 0..200_u32 {
        let adapters = [step % 3, 3 + step % 17, 3 + step * 7 % 40].map(|n| format!("m/{n}"));
        let running = [("e1", adapters[0].as_str(), step % 19), ("e2", "m/1", 3)];
        let demand = [(adapters[0].as_str(), step % 9), (&adapters[1], 1)];
        report(&mut world, &running, &demand);
        world.want(&[&adapters[1], &adapters[2]]);
        while let Some(order) = world.orders.first() {
            given.push(format!("{step} {} {:?}", order.id, order.action));
            let evicts = matches!(order.action, Action::Evict(_));
            world.end(if evicts {
                OrderOutcome::Done
            } else {
                OrderOutcome::Accepted
            });
        }
        world.pass(70);
        world.own_zone();
    }
    given
}

/// Goals aren't tight: every order is the same as that of an owner that was never told.
#[gtest]
fn orders_stay_the_same_without_tight_goals() {
    let before = orders_of(None);
    expect_that!(before.len(), gt(50));
    expect_that!(orders_of(Some(false)), eq(&before));
    expect_that!(orders_of(Some(true)), not(eq(&before)));
}
