//! How many adapters are on their way to one engine.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use gateway::{
    table::{Engine, Model},
    zone_owner::{Action, Input, OrderOutcome, Report},
};
use googletest::prelude::*;

use crate::world::{World, held};

/// An engine that refuses a load beyond those that it takes at once.
struct Fake {
    takes: usize,
    load_ms: u64,
    /// Adapters that it is loading, and until when.
    coming: BTreeMap<String, Time>,
    held: Vec<String>,
    seq: u64,
    refused: usize,
}

impl Fake {
    fn step(&mut self, world: &mut World) {
        let now = world.now;
        let done = self.coming.extract_if(.., |_, until| *until <= now);
        self.held.extend(done.map(|(adapter, _)| adapter));
        for id in std::mem::take(&mut world.reports) {
            let names: Vec<_> = self.held.iter().map(String::as_str).collect();
            let report = Some(Report {
                born: world.born,
                seq: self.seq,
                held: held(&names),
                pending: self.coming.keys().map(|a| (a.clone(), 0)).collect(),
                ..Report::default()
            });
            world.give(Input::Reported { id, report });
        }
        while let Some(order) = world.orders.first() {
            let outcome = match &order.action {
                Action::Load { .. } if self.coming.len() >= self.takes => {
                    self.refused += 1;
                    OrderOutcome::Conflict
                }
                Action::Load { adapter, .. } => {
                    let until = now + Duration::from_millis(self.load_ms);
                    self.coming.insert(adapter.clone(), until);
                    self.seq += 1;
                    OrderOutcome::Accepted
                }
                Action::Evict(adapter) => {
                    self.held.retain(|held| held != adapter);
                    self.seq += 1;
                    OrderOutcome::Done
                }
                Action::LoadModel(_) => OrderOutcome::Accepted,
            };
            world.end(outcome);
        }
    }
}

/// Callers want ten adapters after the other for 8 s; returns how many loads the engine refused,
/// and how many it took.
fn refused(takes: usize, load_ms: u64) -> (usize, u64) {
    let mut world = World::new(1);
    world.owner.set_tight(true);
    let model = Model {
        name: "m".to_owned(),
        weights_mb: 1.0,
        adapter_mb: 1.0,
        load: None,
    };
    let spec = Engine {
        models: vec![model],
        adapter_slots: 12,
        memory_mb: 100.0,
    };
    world
        .owner
        .set_specs(BTreeMap::from([("s".to_owned(), spec)]));
    let mut fake = Fake {
        takes,
        load_ms,
        coming: BTreeMap::new(),
        held: Vec::new(),
        seq: 0,
        refused: 0,
    };
    for step in 0..800 {
        if step % 10 == 0 {
            world.own_zone();
            let names: Vec<_> = (0..10).map(|n| format!("m/{}-{n}", step / 100)).collect();
            world.want(&names.iter().map(String::as_str).collect::<Vec<_>>());
        }
        fake.step(&mut world);
        world.pass(10);
    }
    (fake.refused, fake.seq)
}

/// Loads took longer than expected and counted as done: the engine refused each fifth one, and
/// took nothing until a report had shown its count.
#[gtest]
fn a_fifth_load_is_not_ordered_while_four_are_on_their_way() {
    let (refused, taken) = refused(4, 300);
    expect_that!(refused, eq(0));
    expect_that!(taken, ge(50));
}

/// An engine takes fewer at once than others. Each load beyond was ordered again and again.
#[gtest]
fn a_lower_limit_is_learned_from_refused_loads() {
    let (refused, taken) = refused(2, 240);
    expect_that!(refused, le(4));
    expect_that!(taken, ge(30));
}
