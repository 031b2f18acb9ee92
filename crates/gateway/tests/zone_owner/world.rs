//! A zone owner driven step by step.

use std::{collections::BTreeMap, time::Duration};

use base::{Ticket, Time};
use gateway::{
    table::{Engine, Model},
    zone_lease::ZoneLease,
    zone_owner::{
        Action, Config, Held, Input, ListedTarget, Order, OrderOutcome, Output, Report, ZoneOwner,
    },
};
use wire::fleet::{Sync, Synced};

const SLOTS: usize = 3;

/// The owner of one zone with engines `e1`, `e2`, and so on.
pub(crate) struct World {
    pub(crate) owner: ZoneOwner,
    pub(crate) now: Time,
    pub(crate) engines: usize,
    pub(crate) born: u64,
    /// The software of the first engines; that of the others isn't known.
    pub(crate) software: Vec<&'static str>,
    pub(crate) orders: Vec<Order>,
    pub(crate) answers: Vec<Synced>,
    pub(crate) reports: Vec<String>,
}

impl World {
    pub(crate) fn new(engines: usize) -> Self {
        World::with(engines, Config::default())
    }

    pub(crate) fn with(engines: usize, config: Config) -> Self {
        let mut owner = ZoneOwner::new(config, 1);
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
        let mut world = World {
            owner,
            now: Time::from_millis(1_000),
            engines,
            born: 1,
            software: Vec::new(),
            orders: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
        };
        world.own_zone();
        world.list(&[]);
        world.report_all();
        world
    }

    /// Renews the lease of the zone.
    pub(crate) fn own_zone(&mut self) {
        let mut lease = ZoneLease::default();
        lease.granted(self.now, [("za".to_owned(), 9)]);
        self.give(Input::Lease(lease));
    }

    pub(crate) fn give(&mut self, input: Input) {
        let mut out = Vec::new();
        self.owner.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Order(order) => self.orders.push(order),
                Output::Report { id, .. } => self.reports.push(id),
                Output::Answer { synced, .. } => self.answers.push(synced),
            }
        }
    }

    pub(crate) fn list(&mut self, adapters: &[&str]) {
        self.list_asked(self.now, adapters);
    }

    /// Passes in a list that was requested at `asked`.
    pub(crate) fn list_asked(&mut self, asked: Time, adapters: &[&str]) {
        self.list_of(asked, &held(adapters));
    }

    /// Passes in a list on which every engine holds `held`.
    pub(crate) fn list_held(&mut self, held: Held) {
        self.list_of(self.now, &held);
    }

    fn list_of(&mut self, asked: Time, held: &Held) {
        let software = |n: usize| self.software.get(n - 1).and_then(|raw| raw.parse().ok());
        let ids = (1..=self.engines).map(|n| (format!("e{n}"), software(n)));
        let listed = ids.map(|(id, software)| ListedTarget {
            addr: format!("{id}:1"),
            id,
            born: self.born,
            service: "s".to_owned(),
            zone: "za".to_owned(),
            software,
            slots: 10,
            ready: true,
            held: Some(held.clone()),
        });
        let list = listed.collect();
        let zones = vec!["za".to_owned()];
        self.give(Input::Listed { asked, zones, list });
    }

    /// Answers every report request with an engine that holds nothing but its model.
    pub(crate) fn report_all(&mut self) {
        for id in std::mem::take(&mut self.reports) {
            let report = Report {
                born: self.born,
                held: held(&[]),
                ..Report::default()
            };
            let report = Some(report);
            self.give(Input::Reported { id, report });
        }
    }

    pub(crate) fn want(&mut self, adapters: &[&str]) {
        let sync = Sync {
            wants: adapters.iter().map(|a| (*a).to_owned()).collect(),
            demand: adapters.iter().map(|a| ((*a).to_owned(), 1)).collect(),
            ..Sync::default()
        };
        self.give(Input::Sync(Ticket(1), sync));
    }

    /// An entry instance reports that it can't reach an engine.
    pub(crate) fn report_unreachable(&mut self, id: &str) {
        let sync = Sync {
            failing: vec![id.to_owned()],
            ..Sync::default()
        };
        self.give(Input::Sync(Ticket(3), sync));
    }

    /// Answers the oldest order with `outcome`.
    pub(crate) fn end(&mut self, outcome: OrderOutcome) -> Order {
        let order = self.orders.remove(0);
        let id = order.id.clone();
        self.give(Input::OrderEnded { id, outcome });
        order
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.give(Input::Wake);
    }
}

pub(crate) fn held(adapters: &[&str]) -> Held {
    Held {
        models: BTreeMap::from([("m".to_owned(), Some(1))]),
        adapters: adapters.iter().map(|a| ((*a).to_owned(), 1)).collect(),
    }
}

pub(crate) fn load(adapter: &str) -> Action {
    Action::Load {
        adapter: adapter.to_owned(),
        version: None,
    }
}

/// Answers every order as engines usually do, until none is left.
pub(crate) fn answer_orders(world: &mut World) {
    while let Some(order) = world.orders.first() {
        let evicts = matches!(order.action, Action::Evict(_));
        world.end(if evicts {
            OrderOutcome::Done
        } else {
            OrderOutcome::Accepted
        });
    }
}

/// Asks for an adapter and returns the wait announced to its callers.
pub(crate) fn announced_wait(world: &mut World, adapter: &str) -> Duration {
    world.own_zone();
    world.want(&[adapter]);
    answer_orders(world);
    world.give(Input::Sync(Ticket(11), Sync::default()));
    let targets = world.answers.last().and_then(|a| a.targets.clone());
    let mut residents = targets.into_iter().flatten().flat_map(|t| t.residents);
    let wait = residents.find(|r| r.adapter == adapter).map(|r| r.ready_in);
    world.pass(1_300);
    wait.unwrap()
}
