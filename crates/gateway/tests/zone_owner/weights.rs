//! Loads of base models at engines that have none.

use gateway::zone_owner::{Action, Config, Held, Input, Order, OrderOutcome, Report};
use googletest::prelude::*;
use wire::fleet::{LoadsElsewhere, Sync};

use base::Ticket;

use crate::world::{World, held};

/// Interval between two lists, in milliseconds.
const LIST_MS: u64 = 600;

/// What engines answer while they load their model.
fn busy() -> Report {
    Report {
        born: 2,
        seq: 1,
        busy: true,
        ..Report::default()
    }
}

/// A zone whose engines have just started and hold nothing; `copies` of them, the first ones,
/// have a copy of the weights.
fn started(engines: usize, copies: usize, config: Config) -> World {
    let mut world = World::with(engines, config);
    world.born = 2;
    world.list_held(Held::default());
    for id in std::mem::take(&mut world.reports) {
        let copy = (1..=copies).any(|n| id == format!("e{n}"));
        let report = Report {
            born: 2,
            own_copies: copy.then(|| "m".to_owned()).into_iter().collect(),
            ..Report::default()
        };
        let report = Some(report);
        world.give(Input::Reported { id, report });
    }
    world
}

/// Answers all report requests with `report`.
fn report(world: &mut World, report: &Report) {
    for id in std::mem::take(&mut world.reports) {
        let report = Some(report.clone());
        world.give(Input::Reported { id, report });
    }
}

fn accept_all(world: &mut World) -> Vec<Order> {
    let mut accepted = Vec::new();
    while !world.orders.is_empty() {
        accepted.push(world.end(OrderOutcome::Accepted));
    }
    accepted
}

fn elsewhere(models: u32) -> u32 {
    let loads = LoadsElsewhere {
        adapters: 0,
        models,
    };
    loads.into()
}

fn model() -> Action {
    Action::LoadModel("m".to_owned())
}

/// Passes 12 s in which engines load their model, and returns all orders that they accept.
fn while_loading(world: &mut World) -> Vec<Order> {
    let mut accepted = Vec::new();
    for _ in 0..20 {
        accepted.extend(accept_all(world));
        world.own_zone();
        world.pass(LIST_MS);
        report(world, &busy());
        world.list_held(Held::default());
    }
    accepted
}

/// Guards against weights that load at all engines at once, as a load that takes longer than
/// expected counts as done: the more of them run, the longer each one takes.
#[gtest]
fn weights_that_still_load_count_against_the_limit() {
    let mut world = started(6, 0, Config::default());
    let accepted = while_loading(&mut world);
    expect_that!(accepted.len(), eq(2));
}

/// Guards against callers who wait for an adapter that is ordered from an engine whose weights
/// take longer than expected: it was chosen as the emptiest, and refused.
#[gtest]
fn no_adapter_is_ordered_before_the_weights_are_there() {
    let mut world = started(1, 0, Config::default());
    let mut actions = Vec::new();
    for _ in 0..20 {
        world.want(&["m/x"]);
        actions.extend(accept_all(&mut world).into_iter().map(|o| o.action));
        world.own_zone();
        world.pass(LIST_MS);
        report(&mut world, &busy());
    }
    expect_that!(actions, eq(&vec![model()]));
    world.pass(LIST_MS);
    let there = Report {
        born: 2,
        seq: 1,
        held: held(&[]),
        ..Report::default()
    };
    report(&mut world, &there);
    world.want(&["m/x"]);
    expect_that!(world.orders.len(), eq(1));
}

/// Guards against engines that crashed and wait, behind others that load from the weight store,
/// for weights of which they have a copy of their own.
#[gtest]
fn copies_of_their_own_load_at_once() {
    let mut world = started(8, 4, Config::default());
    let accepted = accept_all(&mut world);
    let ids: Vec<_> = accepted.iter().map(|order| order.id.as_str()).collect();
    expect_that!(ids, eq(&vec!["e1", "e2", "e3", "e4", "e5", "e6"]));
}

/// Guards against an engine that gets no order any more after a load of its weights was lost.
#[gtest]
fn weights_whose_load_was_lost_are_ordered_again() {
    let _mark = base::ExpectedMark::new("order_outcome_unknown");
    let mut world = started(1, 0, Config::default());
    world.end(OrderOutcome::Unknown);
    world.pass(LIST_MS);
    let empty = Report {
        born: 2,
        ..Report::default()
    };
    report(&mut world, &empty);
    world.pass(LIST_MS);
    expect_that!(world.orders.len(), eq(1));
    expect_that!(world.orders[0].action, eq(&model()));
}

/// Guards against owners of several zones that load weights at the same time, each as if it
/// were alone with the store.
#[gtest]
fn weights_that_load_in_other_zones_count() {
    let config = Config {
        zones: 4,
        ..Config::default()
    };
    let mut world = World::with(4, config);
    let sync = Sync {
        loading_elsewhere: Some(elsewhere(2)),
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(5), sync));
    world.born = 2;
    world.list_held(Held::default());
    let empty = Report {
        born: 2,
        ..Report::default()
    };
    report(&mut world, &empty);
    expect_that!(world.orders, is_empty());
    for _ in 0..4 {
        let sync = Sync {
            loading_elsewhere: Some(elsewhere(1)),
            ..Sync::default()
        };
        world.pass(200);
        world.give(Input::Sync(Ticket(5), sync));
    }
    expect_that!(world.orders.len(), eq(1));
}
