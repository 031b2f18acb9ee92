//! The room that engine services have.

use base::Ticket;
use gateway::zone_owner::Input;
use googletest::prelude::*;
use wire::{
    admission::Room,
    fleet::{Running, Sync},
};

use crate::world::World;

fn report(world: &mut World, instance: &str, running: &[(&str, u32)]) {
    let running = running.iter().map(|(target, count)| Running {
        target: (*target).to_owned(),
        adapter: "m/x".to_owned(),
        count: *count,
    });
    let sync = Sync {
        instance: Some(instance.parse().unwrap()),
        running: running.collect(),
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(1), sync));
}

/// What entry instances run at the engines of a zone is added up; queues at single engines
/// are told beside.
#[gtest]
fn rooms_are_sums_over_engines_and_instances() {
    let mut world = World::new(3);
    report(&mut world, "a", &[("e1", 9), ("e2", 2)]);
    report(&mut world, "b", &[("e1", 5)]);
    let room = Room {
        service: "s".to_owned(),
        zone: "za".to_owned(),
        slots: 30,
        running: 16,
        queued: 4,
    };
    assert_that!(world.owner.rooms(world.now), elements_are![eq(&room)]);
    world.engines = 1;
    world.list(&[]);
    let slots = world.owner.rooms(world.now)[0].slots;
    assert_that!(slots, eq(10));
}
