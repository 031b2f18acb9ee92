//! Owners of three zones that share one weight store, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Ticket, Time};
use gateway::{
    table::{Engine, Model},
    zone_lease::ZoneLease,
    zone_owner::{Action, Config, Input, ListedTarget, OrderOutcome, Output, Report, ZoneOwner},
};
use googletest::prelude::*;
use wire::{
    fleet::{FirstUse, LoadsElsewhere, Sync},
    store::StoreUse,
};

use crate::world::held;

const ZONES: usize = 3;
const ENGINES: usize = 20;
/// Loads that the store serves at full speed, and what each takes.
const FULL_SPEED: usize = 40;
const LOAD_MS: u64 = 288;
const STEP_MS: u64 = 5;
/// Loads in flight over all zones that owners may reach together: a load then takes 384 ms, and
/// who waits for it still begins within a goal of 500 ms.
const MOST: usize = FULL_SPEED * 4 / 3;
/// Mean time of a load: most who wait have the time of a prompt's queue left.
const MEAN_MS: u64 = LOAD_MS * 11 / 10;
/// Callers leave after this time.
const PATIENCE_MS: u64 = 1_000;

/// What happens, and how long messages between owners take.
#[derive(Clone, Copy)]
struct Course {
    /// Adapters that are wanted anew each second, by zone.
    rates: [u64; ZONES],
    delay_ms: u64,
    /// From when on the last owner is killed or cut off.
    killed_ms: u64,
    cut_ms: u64,
    /// Adapters that are wanted at once in each zone, from when on, and how much later in each
    /// further zone.
    burst: u64,
    burst_ms: u64,
    apart_ms: u64,
}

const CALM: Course = Course {
    rates: [0; ZONES],
    delay_ms: 2,
    killed_ms: u64::MAX,
    cut_ms: u64::MAX,
    burst: 0,
    burst_ms: 3_000,
    apart_ms: 0,
};

/// A load at the store.
struct Load {
    zone: usize,
    target: String,
    adapter: String,
    until: Time,
    told: Option<Time>,
}

struct Zone {
    owner: ZoneOwner,
    name: InstanceName,
    wants: BTreeMap<String, Time>,
    firsts: Vec<FirstUse>,
    outcomes: Vec<(Time, String, OrderOutcome)>,
    /// What arrives from other owners, and the claim that it confirms.
    mail: Vec<(Time, usize, StoreUse, Option<u32>)>,
    begun: usize,
}

struct Store {
    now: Time,
    course: Course,
    zones: Vec<Zone>,
    loads: Vec<Load>,
    /// Times that loads took, in milliseconds.
    took: Vec<u64>,
    most: usize,
    made: u64,
}

impl Store {
    fn run(course: Course, ms: u64) -> Store {
        let now = Time::from_millis(10_000);
        let mut store = Store {
            now,
            course,
            zones: (0..ZONES).map(|zone| new_zone(zone, now)).collect(),
            loads: Vec::new(),
            took: Vec::new(),
            most: 0,
            made: 0,
        };
        for passed in (0..ms).step_by(STEP_MS as usize) {
            store.step(passed);
        }
        store
    }

    fn step(&mut self, passed: u64) {
        self.now = self.now + Duration::from_millis(STEP_MS);
        let now = self.now;
        self.loads
            .retain(|load| load.until + Duration::from_secs(1) > now);
        let running = |l: &&Load| l.until > now;
        let under_way = |zone: usize| {
            self.loads
                .iter()
                .filter(running)
                .filter(move |l| l.zone != zone)
        };
        let elsewhere: Vec<_> = (0..ZONES).map(|zone| under_way(zone).count()).collect();
        for (zone, elsewhere) in elsewhere.into_iter().enumerate() {
            let killed = zone == ZONES - 1 && passed >= self.course.killed_ms;
            if !killed {
                self.zone_step(zone, passed, elsewhere);
            }
        }
        let in_flight = self.loads.iter().filter(|l| l.until > now).count();
        self.most = self.most.max(in_flight);
    }

    fn zone_step(&mut self, at: usize, passed: u64, elsewhere: usize) {
        let now = self.now;
        let mut out = Vec::new();
        let zone = &mut self.zones[at];
        let due: Vec<_> = zone
            .outcomes
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        for (_, id, outcome) in due {
            zone.owner.apply(now, Input::OrderEnded { id, outcome });
        }
        let due: Vec<_> = zone.mail.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, from, said, confirmed) in due {
            self.deliver(at, from, &said, confirmed);
        }
        let gap = 1_000 / self.course.rates[at].max(1);
        if self.course.rates[at] > 0 && passed % gap < STEP_MS {
            self.made += 1;
            let name = format!("m/z{at}-{}", self.made);
            self.zones[at].wants.insert(name, now);
        }
        if passed == self.course.burst_ms + at as u64 * self.course.apart_ms {
            for n in 0..self.course.burst {
                self.zones[at].wants.insert(format!("m/b{at}-{n}"), now);
            }
        }
        self.note_firsts(at);
        let zone = &mut self.zones[at];
        zone.wants
            .retain(|_, since| now.since(*since) < Duration::from_millis(PATIENCE_MS));
        if passed % 50 < STEP_MS {
            zone.owner.apply(now, Input::Lease(lease(at, now)));
            let adapters = u32::try_from(elsewhere).unwrap();
            let loads = LoadsElsewhere {
                adapters,
                models: 0,
            };
            let sync = Sync {
                instance: Some("n1".parse().unwrap()),
                wants: zone.wants.keys().cloned().collect(),
                demand: zone.wants.keys().map(|name| (name.clone(), 1)).collect(),
                first_uses: std::mem::take(&mut zone.firsts),
                loading_elsewhere: Some(loads.into()),
                ..Sync::default()
            };
            zone.owner.apply(now, Input::Sync(Ticket(1), sync));
        }
        zone.owner.poll(now, &mut out);
        for output in out {
            self.act(at, output);
        }
        let zone = &mut self.zones[at];
        let told = zone.owner.tell_store(now, &zone.name.clone());
        for to in (0..ZONES).filter(|to| *to != at) {
            if let Some(said) = &told {
                self.send(at, to, passed, said.clone(), None);
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        passed: u64,
        said: StoreUse,
        confirmed: Option<u32>,
    ) {
        let lost = from.max(to) == ZONES - 1 && passed >= self.course.cut_ms;
        if !lost {
            let due = self.now + Duration::from_millis(self.course.delay_ms);
            self.zones[to].mail.push((due, from, said, confirmed));
        }
    }

    fn deliver(&mut self, at: usize, from: usize, said: &StoreUse, confirmed: Option<u32>) {
        let zone = &mut self.zones[at];
        zone.owner.hear_store(self.now, said, confirmed);
        let answer = zone.owner.store_use(self.now, &zone.name);
        if let (None, Some(answer)) = (confirmed, answer) {
            self.send(at, from, 0, answer, Some(said.claim));
        }
    }

    fn act(&mut self, at: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Order(order) => {
                let mut outcome = OrderOutcome::Done;
                if let Action::Load { adapter, .. } = order.action {
                    outcome = OrderOutcome::Accepted;
                    let running = self.loads.iter().filter(|l| l.until > now).count() + 1;
                    let slower = (running as f64 / FULL_SPEED as f64).max(1.0);
                    let ms = (LOAD_MS as f64 * slower) as u64;
                    self.took.push(ms);
                    self.zones[at].begun += 1;
                    self.loads.push(Load {
                        zone: at,
                        target: order.id.clone(),
                        adapter,
                        until: now + Duration::from_millis(ms),
                        told: None,
                    });
                }
                let due = now + Duration::from_millis(STEP_MS);
                self.zones[at].outcomes.push((due, order.id, outcome));
            }
            Output::Answer { synced, .. } => {
                for target in synced.targets.into_iter().flatten() {
                    for held in target.residents.iter().filter(|r| !r.ready_in.is_zero()) {
                        let same =
                            |l: &&mut Load| l.adapter == held.adapter && l.target == target.id;
                        if let Some(load) = self.loads.iter_mut().find(same) {
                            load.told = Some(now + held.ready_in);
                        }
                    }
                }
            }
            Output::Report { .. } => {}
        }
    }

    /// Callers send their first requests when they were told to.
    fn note_firsts(&mut self, at: usize) {
        let (now, zone) = (self.now, &mut self.zones[at]);
        for load in self.loads.iter_mut().filter(|load| load.zone == at) {
            if load.told.is_some_and(|told| told <= now) {
                load.told = None;
                let held = load.until <= now;
                zone.firsts.push(FirstUse {
                    target: load.target.clone(),
                    adapter: load.adapter.clone(),
                    held,
                });
                if held {
                    zone.wants.remove(&load.adapter);
                }
            }
        }
    }

    fn mean_ms(&self) -> u64 {
        self.took.iter().sum::<u64>() / self.took.len().max(1) as u64
    }

    fn begun(&self) -> Vec<usize> {
        self.zones.iter().map(|zone| zone.begun).collect()
    }
}

fn lease(at: usize, now: Time) -> ZoneLease {
    let mut lease = ZoneLease::default();
    lease.granted(now, [(format!("z{at}"), 9)]);
    lease
}

fn new_zone(at: usize, now: Time) -> Zone {
    let config = Config {
        zones: ZONES,
        ..Config::default()
    };
    let mut owner = ZoneOwner::new(config, 1);
    let model = Model {
        name: "m".to_owned(),
        weights_mb: 60.0,
        adapter_mb: 1.0,
        load: None,
    };
    let spec = Engine {
        models: vec![model],
        adapter_slots: 12,
        memory_mb: 100.0,
    };
    owner.set_specs(BTreeMap::from([("s".to_owned(), spec)]));
    owner.set_tight(true);
    owner.apply(now, Input::Lease(lease(at, now)));
    let ids: Vec<_> = (0..ENGINES).map(|n| format!("z{at}e{n}")).collect();
    let listed = ids.iter().map(|id| ListedTarget {
        id: id.clone(),
        addr: format!("{id}:1"),
        born: 1,
        service: "s".to_owned(),
        zone: format!("z{at}"),
        software: None,
        slots: 10,
        ready: true,
        held: Some(held(&[])),
    });
    let (zones, list) = (vec![format!("z{at}")], listed.collect());
    owner.apply(
        now,
        Input::Listed {
            asked: now,
            zones,
            list,
        },
    );
    owner.poll(now, &mut Vec::new());
    for id in ids {
        let report = Some(Report {
            born: 1,
            held: held(&[]),
            ..Report::default()
        });
        owner.apply(now, Input::Reported { id, report });
    }
    Zone {
        owner,
        name: format!("c{at}").parse().unwrap(),
        wants: BTreeMap::new(),
        firsts: Vec::new(),
        outcomes: Vec::new(),
        mail: Vec::new(),
        begun: 0,
    }
}

/// Runs a course and checks the loads in flight, their mean time, and that zones began as many
/// as they need of what the store serves.
fn keeps_within((course, least): (Course, [usize; ZONES])) {
    let store = Store::run(course, course.burst_ms + 6_000);
    assert_that!(store.most, le(MOST));
    assert_that!(store.mean_ms(), le(MEAN_MS));
    for (begun, least) in store.begun().into_iter().zip(least) {
        assert_that!(begun, ge(least));
    }
}

base::cases! {
    /// Each owner used its share and half of what the others seemed to leave, so nearly twice as
    /// many loads were on their way as the store serves at full speed, and all took longer.
    owners_share_the_store: keeps_within => {
        one_needs_it: (Course { rates: [200, 0, 0], ..CALM }, [1_000, 0, 0]),
        one_needs_most: (Course { rates: [200, 10, 10], ..CALM }, [850, 88, 88]),
        all_need_it: (Course { rates: [100; 3], ..CALM }, [350; 3]),
        uneven: (Course { rates: [100, 50, 20], ..CALM }, [500, 400, 175]),
        late_messages: (Course { rates: [100; 3], delay_ms: 200, ..CALM }, [320; 3]),
        owner_killed: (Course { rates: [100; 3], killed_ms: 4_000, ..CALM }, [350, 350, 100]),
        zone_cut: (Course { rates: [100; 3], cut_ms: 4_000, ..CALM }, [300; 3]),
        cut_from_busy: (Course { rates: [200, 0, 50], cut_ms: 4_000, ..CALM }, [600, 0, 350]),
        all_at_once: (Course { burst: 80, delay_ms: 50, ..CALM }, [60; 3]),
        burst_beside_a_busy_zone: (Course { rates: [200, 0, 0], burst: 80, delay_ms: 50, ..CALM }, [800, 70, 70]),
        bursts_apart: (Course { burst: 120, delay_ms: 50, apart_ms: 120, ..CALM }, [100, 70, 70]),
        burst_after_long_calm: (Course { rates: [25; 3], burst: 100, burst_ms: 25_000, ..CALM }, [600; 3]),
    }
}
