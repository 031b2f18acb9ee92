//! Engines that have asked entry instances for rest.

use std::time::Duration;

use base::InstanceName;
use gateway::zone_owner::{Input, OrderOutcome};
use googletest::prelude::*;
use wire::rest::{RestReport, RestingTarget};

use crate::world::World;

const REST: Duration = Duration::from_secs(3);

fn report(world: &mut World, instance: &str, target: &str) {
    let report = RestReport {
        instance: InstanceName::try_from(instance).unwrap(),
        resting: vec![RestingTarget {
            target: target.to_owned(),
            left: REST,
        }],
    };
    world.owner.rest_report(world.now, &report);
    world.give(Input::Wake);
}

/// Guards against callers who wait for an adapter whose only holder rests, and against loads at
/// an engine that looks idle as it rests.
#[gtest]
fn an_adapter_of_a_resting_engine_is_loaded_elsewhere() {
    let mut world = World::new(2);
    world.want(&["m/a"]);
    let first = world.end(OrderOutcome::Accepted);
    world.pass(700);
    report(&mut world, "f1", &first.id);
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.orders[0].id, not(eq(&first.id)));
}

/// Guards against loads that outlast a rest, or that one instance alone causes.
#[gtest]
fn an_engine_that_rests_no_longer_counts_again() {
    let mut world = World::new(2);
    world.want(&["m/a"]);
    let first = world.end(OrderOutcome::Accepted);
    world.pass(700);
    report(&mut world, "f1", &first.id);
    world.pass(u64::try_from(REST.as_millis()).unwrap());
    world.want(&["m/a"]);
    assert_that!(world.orders, is_empty());
}

/// Guards against orders to an engine that has asked the owner of its zone for rest.
#[gtest]
fn an_engine_that_turns_an_order_away_gets_none_while_it_rests() {
    let mut world = World::new(1);
    world.want(&["m/a"]);
    world.end(OrderOutcome::Resting(REST));
    let ms = u64::try_from(REST.as_millis()).unwrap();
    for _ in 0..5 {
        world.want(&["m/a"]);
        assert_that!(world.orders, is_empty());
        world.pass(ms / 6);
    }
    world.pass(ms);
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
}

/// Guards against an engine that is left out of placement for what the process before it under its
/// id has asked for.
#[gtest]
fn an_engine_that_has_started_again_counts_again() {
    let mut world = World::new(2);
    world.want(&["m/a"]);
    let first = world.end(OrderOutcome::Accepted);
    world.pass(700);
    report(&mut world, "f1", &first.id);
    world.born = 2;
    world.list(&[]);
    world.report_all();
    let mut used = Vec::new();
    for adapter in ["m/a", "m/b", "m/c", "m/d"] {
        world.want(&[adapter]);
        while !world.orders.is_empty() {
            used.push(world.end(OrderOutcome::Accepted).id);
        }
        world.pass(300);
    }
    assert_that!(used.len(), ge(2));
    assert_that!(used, contains(eq(&first.id)));
}
