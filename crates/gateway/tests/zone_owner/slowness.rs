//! Which engines a zone owner finds slower than the others.

use std::time::Duration;

use base::Ticket;
use gateway::zone_owner::Input;
use googletest::prelude::*;
use wire::fleet::{PromptTime, Sync};

use crate::world::World;

const ENGINES: usize = 8;
const ENTRIES: u64 = 30;
const EVERY: u64 = 250;

/// Tokens that an engine reads in a millisecond.
const SPEED: u64 = 38;

/// Entry instances send their state for `ms`; each has seen one request or none at each
/// engine. The first engine takes `times` as long as the others, alternately a little
/// more or less.
fn exchange(world: &mut World, ms: u64, times: u64) {
    exchange_part(world, ms, times * 100);
}

/// The same with the time that the first engine takes in percent of the others' time.
fn exchange_part(world: &mut World, ms: u64, percent: u64) {
    for round in 0..ms / EVERY {
        for entry in 0..ENTRIES {
            let paces = (1..=ENGINES as u64).filter(|n| (n + entry + round) % 10 == 0);
            let paces = paces.map(|n| {
                let tokens = 1_000 + 300 * (entry % 4);
                let usual = tokens * (10 + entry % 3) / 11 / SPEED;
                PromptTime {
                    target: format!("e{n}"),
                    tokens,
                    took: Duration::from_millis(usual * if n == 1 { percent } else { 100 } / 100),
                }
            });
            let sync = Sync {
                instance: Some(format!("n{entry}").parse().unwrap()),
                prompt_times: paces.collect(),
                ..Sync::default()
            };
            world.give(Input::Sync(Ticket(entry), sync));
        }
        world.pass(EVERY);
        world.own_zone();
    }
}

/// Returns the published slowness of each engine.
fn slowness(world: &mut World) -> Vec<u32> {
    world.answers.clear();
    world.give(Input::Sync(Ticket(50), Sync::default()));
    let targets = world.answers[0].targets.clone().unwrap();
    targets.iter().map(|target| target.slowness).collect()
}

/// An engine works at a third of its speed, and its health check succeeds. No entry
/// instance sees more than a few of its requests; their callers were served late one by
/// one, as it was chosen like the others.
#[gtest]
fn an_engine_at_a_third_of_its_speed_is_found_within_a_second() {
    let mut world = World::new(ENGINES);
    exchange(&mut world, 2_000, 1);
    expect_that!(slowness(&mut world), each(eq(&100)));
    exchange(&mut world, 1_000, 3);
    let slow = slowness(&mut world);
    expect_that!(slow[0], ge(200));
    expect_that!(slow[1..], each(eq(&100)));
}

/// The engine works at full speed again. As it gets few requests, few samples show that.
#[gtest]
fn an_engine_that_is_not_seen_any_more_comes_back_gradually() {
    let mut world = World::new(ENGINES);
    exchange(&mut world, 3_000, 4);
    let slow = slowness(&mut world)[0];
    expect_that!(slow, ge(300));
    let mut before = slow;
    for _ in 0..20 {
        world.pass(300);
        world.own_zone();
        let now = slowness(&mut world)[0];
        expect_that!(now, le(before));
        expect_that!(before - now, le(150));
        before = now;
    }
    expect_that!(before, eq(100));
}

/// All engines have a backlog, as the demand exceeds their capacity. None of them is an
/// outlier.
#[gtest]
fn equally_slow_engines_are_not_outliers() {
    let mut world = World::new(ENGINES);
    for round in 0..8 {
        for entry in 0..ENTRIES {
            let paces = (1..=ENGINES).map(|n| PromptTime {
                target: format!("e{n}"),
                tokens: 1_000,
                took: Duration::from_millis(2_000 + 100 * (entry + round) % 500),
            });
            let sync = Sync {
                prompt_times: paces.collect(),
                ..Sync::default()
            };
            world.give(Input::Sync(Ticket(entry), sync));
        }
        world.pass(EVERY);
    }
    expect_that!(slowness(&mut world), each(eq(&100)));
}

/// Engines of one service differ in speed, and goals are tight. A fast engine got no more
/// requests than the others.
#[gtest]
fn faster_engines_are_told_where_goals_are_tight() {
    let mut world = World::new(ENGINES);
    exchange_part(&mut world, 3_000, 60);
    expect_that!(slowness(&mut world), each(eq(&100)));
    let mut world = World::new(ENGINES);
    world.owner.set_tight(true);
    exchange_part(&mut world, 3_000, 60);
    let told = slowness(&mut world);
    expect_that!(told[0], all![ge(50), le(75)]);
    expect_that!(told[1..], each(all![ge(&85), le(&115)]));
}

/// Each change sends the target again to every entry instance.
#[gtest]
fn a_factor_that_varies_a_little_is_not_told_again() {
    let mut world = World::new(ENGINES);
    world.owner.set_tight(true);
    exchange_part(&mut world, 3_000, 160);
    let told = slowness(&mut world);
    for percent in [155, 170, 165, 150, 160] {
        exchange_part(&mut world, 1_000, percent);
        expect_that!(slowness(&mut world), eq(&told));
    }
}

/// An engine was five times as slow for a while and gets no requests any more. It has to get
/// some again that show its speed.
#[gtest]
fn a_slow_engine_without_requests_is_tried_again() {
    let mut world = World::new(ENGINES);
    world.owner.set_tight(true);
    exchange(&mut world, 3_000, 5);
    expect_that!(slowness(&mut world)[0], ge(300));
    for _ in 0..60 {
        world.pass(500);
        world.own_zone();
    }
    // What is left is less than the difference from which a factor is told.
    expect_that!(slowness(&mut world)[0], le(125));
}
