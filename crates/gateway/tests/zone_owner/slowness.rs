//! Which engines a holder finds slower than their neighbours.

use std::time::Duration;

use base::Ticket;
use gateway::zone_owner::Input;
use googletest::prelude::*;
use wire::fleet::{Pace, Sync};

use crate::world::World;

const ENGINES: usize = 8;
const ENTRIES: u64 = 30;
const EVERY: u64 = 250;

/// Tokens that an engine reads in a millisecond.
const SPEED: u64 = 38;

/// Entry instances exchange for some time; each has seen a request or none at each engine.
/// The first engine takes `times` as long as the others, all by turns a little more or less.
fn exchange(world: &mut World, ms: u64, times: u64) {
    for round in 0..ms / EVERY {
        for entry in 0..ENTRIES {
            let paces = (1..=ENGINES as u64).filter(|n| (n + entry + round) % 10 == 0);
            let paces = paces.map(|n| {
                let tokens = 1_000 + 300 * (entry % 4);
                let usual = tokens * (10 + entry % 3) / 11 / SPEED;
                Pace {
                    target: format!("e{n}"),
                    tokens,
                    took: Duration::from_millis(usual * if n == 1 { times } else { 1 }),
                }
            });
            let sync = Sync {
                instance: Some(format!("n{entry}").parse().unwrap()),
                paces: paces.collect(),
                ..Sync::default()
            };
            world.give(Input::Sync(Ticket(entry), sync));
        }
        world.pass(EVERY);
        world.own_zone();
    }
}

/// Returns how slow each engine is told to be.
fn told(world: &mut World) -> Vec<u32> {
    world.answers.clear();
    world.give(Input::Sync(Ticket(50), Sync::default()));
    let targets = world.answers[0].targets.clone().unwrap();
    targets.iter().map(|target| target.slowness).collect()
}

/// An engine works at a third of its speed, and answers its health check. No entry
/// instance sees more than a few of its requests; their callers are late one by one, as
/// it is chosen like the others.
#[gtest]
fn an_engine_at_a_third_of_its_speed_is_found_within_a_second() {
    let mut world = World::new(ENGINES);
    exchange(&mut world, 2_000, 1);
    expect_that!(told(&mut world), each(eq(&100)));
    exchange(&mut world, 1_000, 3);
    let slow = told(&mut world);
    expect_that!(slow[0], ge(200));
    expect_that!(slow[1..], each(eq(&100)));
}

/// It works as before. As little is sent there, little shows it.
#[gtest]
fn an_engine_that_is_not_seen_any_more_comes_back_gradually() {
    let mut world = World::new(ENGINES);
    exchange(&mut world, 3_000, 4);
    let slow = told(&mut world)[0];
    expect_that!(slow, ge(300));
    let mut before = slow;
    for _ in 0..20 {
        world.pass(300);
        world.own_zone();
        let now = told(&mut world)[0];
        expect_that!(now, le(before));
        expect_that!(before - now, le(150));
        before = now;
    }
    expect_that!(before, eq(100));
}

/// All engines are behind, as more is asked than they do. None of them is an outlier.
#[gtest]
fn engines_that_are_all_slow_are_not_told_apart() {
    let mut world = World::new(ENGINES);
    for round in 0..8 {
        for entry in 0..ENTRIES {
            let paces = (1..=ENGINES).map(|n| Pace {
                target: format!("e{n}"),
                tokens: 1_000,
                took: Duration::from_millis(2_000 + 100 * (entry + round) % 500),
            });
            let sync = Sync {
                paces: paces.collect(),
                ..Sync::default()
            };
            world.give(Input::Sync(Ticket(entry), sync));
        }
        world.pass(EVERY);
    }
    expect_that!(told(&mut world), each(eq(&100)));
}
