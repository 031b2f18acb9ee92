//! Loads of base models at engines that have none.

use gateway::zone_owner::{Action, Held, Input, OrderOutcome, Report};
use googletest::prelude::*;

use crate::world::{World, held};

/// Time for which the load of a base model lasts here, in milliseconds: several times as long
/// as the zone owner expects.
const LOAD_MS: u64 = 12_000;

/// Interval between two lists, in milliseconds.
const LIST_MS: u64 = 600;

/// Answers all report requests as engines do that load their model.
fn report_busy(world: &mut World) {
    for id in std::mem::take(&mut world.reports) {
        let report = Report {
            born: 1,
            seq: 1,
            busy: true,
            ..Report::default()
        };
        let report = Some(report);
        world.give(Input::Reported { id, report });
    }
}

/// Guards against weights that load at all engines at once, as a load that takes longer than
/// expected counts as done: the more of them run, the longer each one takes, and none of the
/// engines serves meanwhile.
#[gtest]
fn weights_that_still_load_count_against_the_limit() {
    let mut world = World::new(6);
    world.born = 2;
    world.list_held(Held::default());
    world.report_held(&Held::default());
    let mut loading = 0;
    for _ in 0..LOAD_MS / LIST_MS {
        while !world.orders.is_empty() {
            let order = world.end(OrderOutcome::Accepted);
            expect_that!(order.action, eq(&Action::LoadModel("m".to_owned())));
            loading += 1;
        }
        world.own_zone();
        world.pass(LIST_MS);
        report_busy(&mut world);
        world.list_held(Held::default());
    }
    expect_that!(loading, eq(2));
    world.list_held(held(&[]));
    world.pass(LIST_MS);
    world.want(&["m/x"]);
    let loads = world
        .orders
        .iter()
        .any(|o| matches!(o.action, Action::Load { .. }));
    expect_that!(loads || !world.reports.is_empty(), eq(true));
}

/// Guards against an engine that gets no order any more after a load of its weights was lost.
#[gtest]
fn weights_whose_load_was_lost_are_ordered_again() {
    let mut world = World::new(1);
    world.born = 2;
    world.list_held(Held::default());
    world.report_held(&Held::default());
    world.end(OrderOutcome::Unknown);
    for _ in 0..10 {
        world.own_zone();
        world.pass(LIST_MS);
        world.report_held(&Held::default());
        world.list_held(Held::default());
    }
    let models = world
        .orders
        .iter()
        .filter(|o| matches!(o.action, Action::LoadModel(_)));
    expect_that!(models.count(), eq(1));
}
