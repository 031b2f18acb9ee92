//! Which adapters are loaded while more are requested than the store can load.

use std::time::Duration;

use base::Time;
use gateway::zone_owner::{Action, Config, OrderOutcome};
use googletest::prelude::*;

use crate::world::World;

/// Zones that share the store: one of sixteen gets one load at a time, four a second.
const ZONES: usize = 16;

/// Adapters that are requested all the time.
const BUSY: usize = 24;

/// Time between two callers of the rare adapter.
const SELDOM: Duration = Duration::from_secs(2);

/// Answers all orders as engines do, and returns the loaded adapters.
fn carry_out(world: &mut World) -> Vec<String> {
    let mut loaded = Vec::new();
    while let Some(order) = world.orders.first() {
        let evicts = matches!(order.action, Action::Evict(_));
        let order = world.end(if evicts {
            OrderOutcome::Done
        } else {
            OrderOutcome::Accepted
        });
        if let Action::Load { adapter, .. } = order.action {
            loaded.push(adapter);
        }
    }
    loaded
}

/// Simulates some seconds; returns when the rare adapter was first loaded.
fn rare_loaded_after(seconds: u64) -> Option<Duration> {
    let config = Config {
        zones: ZONES,
        ..Config::default()
    };
    let mut world = World::with(4, config);
    let begun = world.now;
    let mut asked = Time::ZERO;
    let mut round = 0;
    while world.now.since(begun) < Duration::from_secs(seconds) {
        round += 1;
        // Adapters are replaced by new ones one by one, so that all but a few always
        // wait.
        let busy = (0..BUSY).map(|n| format!("m/busy-{n}-{}", (round + 7 * n) / 60));
        let busy: Vec<_> = busy.collect();
        let busy: Vec<_> = busy.iter().map(String::as_str).collect();
        for _ in 0..3 {
            world.want(&busy);
        }
        // Its caller waits for a moment, is told to come back, and leaves.
        if world.now.since(asked) >= SELDOM {
            asked = world.now;
        }
        if world.now.since(asked) < Duration::from_millis(300) {
            world.want(&["m/rare"]);
        }
        if carry_out(&mut world).iter().any(|a| a == "m/rare") {
            return Some(world.now.since(begun));
        }
        world.pass(50);
        if round % 100 == 0 {
            world.own_zone();
        }
        world.report_all();
    }
    None
}

/// An adapter is requested every two seconds, all day, and was never loaded: others have
/// more demand at any moment, and it started at the end of the queue with each caller.
#[gtest]
fn a_repeatedly_requested_adapter_is_loaded() {
    // Four loads a second, one in four for the adapter that has waited longest, and 25
    // wait at most.
    assert_that!(rare_loaded_after(60), some(le(Duration::from_secs(25))));
}
