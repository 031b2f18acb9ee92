//! Engines that name limits.

use std::time::Duration;

use base::{InstanceName, RequestRate, Ticket};
use gateway::zone_owner::{Input, OrderOutcome};
use googletest::prelude::*;
use wire::{
    fleet::{Running, Sync},
    limit::{LimitReport, Permit, PermitRequest, SeenLimit, TargetLimit},
};

use crate::world::{World, answer_orders};

fn report(target: &str, limit: Option<&str>, ask: bool) -> LimitReport {
    let rate = |raw: &str| raw.parse::<RequestRate>().unwrap();
    LimitReport {
        instance: InstanceName::try_from("e1").unwrap(),
        seen: vec![SeenLimit {
            target: target.to_owned(),
            limit: limit.map(rate),
            ago: Duration::ZERO,
        }],
        before: Vec::new(),
        want: ask.then(|| PermitRequest {
            target: target.to_owned(),
            account: None,
            priority: 1,
        }),
    }
}

fn name_limit(world: &mut World, target: &str, limit: Option<&str>) {
    let report = report(target, limit, false);
    world.owner.limit_report(world.now, &report);
    world.give(Input::Wake);
}

/// Returns what entry instances are told of the limit of a target.
fn told(world: &mut World, target: &str) -> Option<TargetLimit> {
    world.give(Input::Sync(Ticket(7), Sync::default()));
    let answer = world.answers.last().unwrap();
    let targets = answer.targets.iter().flatten();
    let mut known = targets.filter(|known| known.id == target);
    known.next().unwrap().limit
}

/// Guards against callers who wait for an adapter whose only holder has used up its limit.
#[gtest]
fn an_adapter_of_a_limited_engine_is_loaded_elsewhere() {
    let mut world = World::new(2);
    world.want(&["m/a"]);
    let first = world.end(OrderOutcome::Accepted);
    world.pass(700);
    name_limit(&mut world, &first.id, Some("0.5"));
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.orders[0].id, not(eq(&first.id)));
}

/// Guards against engines that get no adapters any more since all of them name limits.
#[gtest]
fn adapters_are_loaded_though_all_engines_name_limits() {
    let mut world = World::new(2);
    for id in ["e1", "e2"] {
        name_limit(&mut world, id, Some("2"));
    }
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
    answer_orders(&mut world);
    world.pass(700);
    world.want(&["m/a"]);
    assert_that!(world.orders, is_empty());
}

/// Guards against an engine that gets the adapters of all limited ones, though its slots are
/// in use.
#[gtest]
fn a_full_engine_takes_no_adapters_over() {
    let mut world = World::new(2);
    world.want(&["m/a"]);
    let first = world.end(OrderOutcome::Accepted);
    world.pass(700);
    let other = if first.id == "e1" { "e2" } else { "e1" };
    world.give(Input::Sync(Ticket(8), running(other, 8)));
    name_limit(&mut world, &first.id, Some("0.5"));
    world.want(&["m/a"]);
    assert_that!(world.orders, is_empty());
    world.give(Input::Sync(Ticket(8), running(other, 2)));
    world.want(&["m/a"]);
    world.pass(10);
    assert_that!(world.orders.len(), eq(1));
}

/// Returns the report of an instance that runs requests at a target.
fn running(target: &str, count: u32) -> Sync {
    Sync {
        instance: Some(InstanceName::try_from("e1").unwrap()),
        running: vec![Running {
            target: target.to_owned(),
            adapter: "m/z".to_owned(),
            count,
        }],
        ..Sync::default()
    }
}

#[gtest]
fn entry_instances_are_told_of_a_limit_and_of_its_end() {
    let mut world = World::new(1);
    assert_that!(told(&mut world, "e1"), none());
    name_limit(&mut world, "e1", Some("2.5"));
    let limit = told(&mut world, "e1").unwrap();
    assert_that!(limit.rate.map(|rate| rate.to_string()), some(eq("2.5")));
    world.pass(50);
    name_limit(&mut world, "e1", None);
    assert_that!(told(&mut world, "e1"), some(eq(TargetLimit { rate: None })));
}

/// Guards against a limit that outlives the engine that named it: it starts again under its
/// id.
#[gtest]
fn an_engine_that_starts_again_has_no_limit() {
    let mut world = World::new(1);
    name_limit(&mut world, "e1", Some("2"));
    world.pass(100);
    world.born += 1;
    world.list(&[]);
    assert_that!(told(&mut world, "e1"), some(eq(TargetLimit { rate: None })));
}

/// Guards against two instances that grant permits for one target.
#[gtest]
fn only_the_owner_of_its_zone_grants_permits() {
    let mut world = World::new(1);
    let asked = report("e9", Some("2"), true);
    let (permit, changes) = world.owner.limit_report(world.now, &asked);
    assert_that!(permit, some(eq(Permit::NotOwner)));
    assert_that!(changes, is_empty());
    let later = world.now + Duration::from_secs(30);
    let (permit, _) = world
        .owner
        .limit_report(later, &report("e1", Some("2"), true));
    assert_that!(permit, some(eq(Permit::NotOwner)));
}
