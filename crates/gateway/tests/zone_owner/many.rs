//! Cost of planning while far more adapters wait than the store can load.
//!
//! Pattern: a backlog whose length makes each step more expensive. Work for what can't be
//! served yet takes time from what can, so the backlog grows: the zone owner collapses,
//! and doesn't recover when the cause is over. So the cost of a plan has to depend on
//! what it orders.

use std::{collections::BTreeMap, time::Duration};

use base::{Ticket, Time};
use gateway::{
    table::{Engine, Model},
    zone_lease::ZoneLease,
    zone_owner::{Config, Input, ListedTarget, Order, OrderOutcome, Output, Report, ZoneOwner},
};
use googletest::prelude::*;
use wire::fleet::{Running, Sync};

use crate::world::held;

const ENTRIES: usize = 60;
const SLOTS: usize = 5;

/// The owner of one zone whose engines are full, with many entry instances.
struct BusyZone {
    owner: ZoneOwner,
    now: Time,
    orders: Vec<Order>,
    answers: usize,
}

impl BusyZone {
    /// Creates an owner whose engines hold `full` adapters each.
    fn new(engines: usize, full: usize) -> Self {
        let mut owner = ZoneOwner::new(Config::default(), 1);
        let spec = Engine {
            models: vec![Model {
                name: "m".to_owned(),
                weights_mb: 60.0,
                adapter_mb: 1.0,
                load: None,
            }],
            adapter_slots: SLOTS,
            memory_mb: 100.0,
        };
        owner.set_specs(BTreeMap::from([("s".to_owned(), spec)]));
        let mut zone = BusyZone {
            owner,
            now: Time::from_millis(1_000),
            orders: Vec::new(),
            answers: 0,
        };
        let mut lease = ZoneLease::default();
        lease.granted(zone.now, [("za".to_owned(), 9)]);
        zone.give(Input::Lease(lease));
        zone.list(engines, full);
        zone
    }

    fn list(&mut self, engines: usize, full: usize) {
        let holds = |n: usize| {
            let names: Vec<_> = (0..full).map(|p| format!("m/held-{n}-{p}")).collect();
            held(&names.iter().map(String::as_str).collect::<Vec<_>>())
        };
        let listed = (0..engines).map(|n| ListedTarget {
            id: format!("e{n}"),
            addr: format!("e{n}:1"),
            born: 1,
            service: "s".to_owned(),
            zone: "za".to_owned(),
            software: None,
            slots: 64,
            ready: true,
            held: Some(holds(n)),
        });
        let (asked, list) = (self.now, listed.collect());
        let zones = vec!["za".to_owned()];
        self.give(Input::Listed { asked, zones, list });
        for n in 0..engines {
            let report = Report {
                born: 1,
                held: holds(n),
                ..Report::default()
            };
            let (id, report) = (format!("e{n}"), Some(report));
            self.give(Input::Reported { id, report });
        }
    }

    fn give(&mut self, input: Input) {
        let mut out = Vec::new();
        self.owner.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Order(order) => self.orders.push(order),
                Output::Answer { .. } => self.answers += 1,
                Output::Report { .. } => {}
            }
        }
    }

    /// One entry instance sends its state; it has requests running at some engines, and
    /// its callers wait for some adapters.
    fn exchange(&mut self, entry: usize, engines: usize, waiting: usize) {
        let running = (0..engines).step_by(3).map(|n| Running {
            target: format!("e{n}"),
            adapter: format!("m/held-{n}-0"),
            count: 1,
        });
        let wants = (0..waiting).filter(|n| n % ENTRIES == entry);
        let sync = Sync {
            instance: Some(format!("n{entry}").parse().unwrap()),
            running: running.collect(),
            wants: wants.map(|n| format!("m/wanted-{n}")).collect(),
            ..Sync::default()
        };
        self.give(Input::Sync(Ticket(entry as u64), sync));
    }

    /// Every entry instance sends its state once, and a tenth of a second passes.
    fn round(&mut self, engines: usize, waiting: usize) -> u64 {
        let before = self.owner.steps();
        for entry in 0..ENTRIES {
            self.exchange(entry, engines, waiting);
        }
        self.now = self.now + Duration::from_millis(100);
        self.give(Input::Wake);
        self.owner.steps() - before
    }
}

/// Hundreds of adapters wait, and every message of every entry instance made the plan
/// examine each of them at each engine. Answers to orders arrived but were not processed
/// in time: the orders counted as lost, and more adapters waited.
#[gtest]
fn what_waits_costs_nothing_until_it_can_be_ordered() {
    for engines in [35, 140] {
        let mut zone = BusyZone::new(engines, SLOTS);
        let few = (0..5).map(|_| zone.round(engines, 3)).max().unwrap();
        let mut zone = BusyZone::new(engines, SLOTS);
        let many = (0..5).map(|_| zone.round(engines, 600)).max().unwrap();
        // Each adapter is examined once per plan; plans are made for the first request
        // for it, and then ten times a second.
        let plans = ENTRIES as u64 + 5;
        let most = few + plans * 600 + 2 * plans * (engines * (SLOTS + 2)) as u64;
        expect_that!(many, lt(most), "{engines} engines, {few} with few waiting");
    }
}

/// The same once all adapters are known: callers ask repeatedly, and nothing can be
/// ordered.
#[gtest]
fn what_is_asked_for_again_is_not_planned_again() {
    let engines = 35;
    let mut zone = BusyZone::new(engines, SLOTS);
    zone.round(engines, 600);
    let again = zone.round(engines, 600);
    // One plan for the time that has passed.
    expect_that!(again, lt((600 + 4 * engines * (SLOTS + 2)) as u64));
}

/// The zone owner has fallen behind: the answers of a hundred orders and the messages of
/// all entry instances are processed together. They are followed by one plan, which
/// includes the orders that the answers make possible.
#[gtest]
fn what_came_together_is_followed_by_one_plan() {
    let engines = 35;
    let mut zone = BusyZone::new(engines, 0);
    zone.round(engines, 600);
    let given = std::mem::take(&mut zone.orders);
    expect_that!(given.len(), gt(5));
    let before = zone.owner.steps();
    for order in &given {
        let (id, outcome) = (order.id.clone(), OrderOutcome::Accepted);
        zone.owner
            .apply(zone.now, Input::OrderEnded { id, outcome });
    }
    for entry in 0..ENTRIES {
        let sync = Input::Sync(Ticket(entry as u64), Sync::default());
        zone.owner.apply(zone.now, sync);
    }
    let mut out = Vec::new();
    zone.owner.poll(zone.now, &mut out);
    // The next ones are due once these have completed.
    zone.now = zone.now + Duration::from_millis(300);
    zone.owner.poll(zone.now, &mut out);
    let orders = out.iter().filter(|o| matches!(o, Output::Order(_))).count();
    expect_that!(orders, ge(given.len()));
    let most = 2 * 600 + (orders + 6) * engines * (SLOTS + 2);
    expect_that!(zone.owner.steps() - before, lt(most as u64));
}
