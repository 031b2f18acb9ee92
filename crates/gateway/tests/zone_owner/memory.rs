//! What engines say that they have in host memory.

use std::collections::BTreeMap;

use gateway::zone_owner::{Input, Report};
use googletest::prelude::*;

use crate::world::{World, held, load};

/// Returns the engine that loads a wanted adapter which the second one has in host memory, after
/// the owner was told so in a report.
fn loaded_at(tight: bool) -> String {
    let mut world = World::new(2);
    world.owner.set_tight(tight);
    world.born = 2;
    world.list(&[]);
    for id in std::mem::take(&mut world.reports) {
        let named = BTreeMap::from([("m/x".to_owned(), 3)]);
        let report = Some(Report {
            born: 2,
            held: held(&[]),
            in_memory: if id == "e2" { named } else { BTreeMap::new() },
            ..Report::default()
        });
        world.give(Input::Reported { id, report });
    }
    world.want(&["m/x"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.orders[0].action, eq(&load("m/x")));
    world.orders[0].id.clone()
}

/// The owner had just changed and knew of no eviction: it loaded from the store what an engine
/// had in its host memory.
#[gtest]
fn a_new_owner_loads_from_the_memory_that_an_engine_reports() {
    expect_that!(loaded_at(true).as_str(), eq("e2"));
    expect_that!(loaded_at(false).as_str(), eq("e1"));
}
