//! Adapters that streams need to go on at one software version.

use std::time::Duration;

use gateway::zone_owner::{Input, OrderOutcome};
use googletest::prelude::*;
use wire::stream::SoftwareWant;

use crate::world::{World, load};

fn want(world: &mut World, adapter: &str, software: &str) {
    let want = SoftwareWant {
        adapter: adapter.to_owned(),
        software: software.parse().unwrap(),
    };
    world.give(Input::StreamWants(vec![want]));
}

/// Guards against a stream that can't go on, as its adapter is held at another software
/// version only.
#[gtest]
fn an_adapter_is_loaded_at_the_version_that_a_stream_needs() {
    let mut world = World::new(2);
    world.software = vec!["v1", "v2"];
    world.list(&[]);
    world.want(&["m/x"]);
    let first = world.end(OrderOutcome::Accepted);
    let (held, other) = match first.id.as_str() {
        "e1" => ("v1", "v2"),
        _ => ("v2", "v1"),
    };
    want(&mut world, "m/x", held);
    expect_that!(world.orders, is_empty());
    want(&mut world, "m/x", other);
    want(&mut world, "m/x", other);
    expect_that!(world.orders, len(eq(1)));
    let second = world.end(OrderOutcome::Accepted);
    expect_that!(
        (&second.action, second.id != first.id),
        eq((&load("m/x"), true))
    );
}

/// Guards against loads for callers who have left, and at targets of other versions.
#[gtest]
fn nothing_is_loaded_for_a_version_that_no_target_runs() {
    let mut world = World::new(2);
    world.software = vec!["v1"];
    world.list(&[]);
    want(&mut world, "m/x", "v2");
    expect_that!(world.orders, is_empty());
    world.now = world.now + Duration::from_secs(1);
    world.software = vec!["v1", "v2"];
    world.own_zone();
    world.list(&[]);
    expect_that!(world.orders, is_empty());
}
