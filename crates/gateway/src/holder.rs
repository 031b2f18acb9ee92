//! The one instance that gives orders to the engines of its zones.
//!
//! Entry instances tell it what runs where, which adapters are asked for and
//! which are missing; the platform's list and the engines' reports tell it what
//! is held. It loads what is missing, adds copies of what is busy, and makes
//! room by what is asked for least.

mod census;
mod demand;
mod engine;
mod message;
mod news;
mod pace;
mod plan;
mod queue;
mod slow;
mod traffic;
mod turns;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, Ticket, Time};
use wire::fleet::{First, Resident, Sync, Synced, Target, Weights};

pub use self::message::{Act, Ended, Held, Input, Listed, Order, Output, Report};
use self::{
    census::Census,
    demand::Demand,
    engine::{Engine, Source},
    news::News,
    pace::{Memory, Pace},
    slow::Slow,
    traffic::Traffic,
    turns::Turns,
};
use crate::{table, tenure::Tenure};

/// An entry instance that was silent for so long no longer counts: its requests
/// have ended or its connections are gone.
const ENTRY_SILENT: Duration = Duration::from_secs(2);

/// How long an answer waits for an adapter that is missing to be ordered. An
/// order takes a few milliseconds; beyond this the asker asks again.
const PARK: Duration = Duration::from_millis(150);

/// How long an engine that doesn't answer its holder gets no orders and counts
/// for nothing. The platform's list needs seconds to drop a dead one;
/// until then callers would be sent to it and no copy made elsewhere.
const FAILING: Duration = Duration::from_secs(2);

/// How long an adapter stays wanted after it was last asked for: whoever waits
/// asks again each 300 ms, and a load for callers that have left takes the place
/// of others'.
const WANTED: Duration = Duration::from_millis(450);

/// How long one more copy of an adapter stays wanted: two exchanges.
const COPY_WANTED: Duration = Duration::from_millis(500);

/// Times that the holder goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How many zones there are, each with a holder.
    pub zones: usize,
    /// Time that an engine takes to load an adapter from the store.
    pub adapter_load: Duration,
    /// Dropped adapters that an engine still has in its memory.
    pub memory: usize,
    /// Time that an engine takes to load a base model.
    pub model_load: Duration,
    /// How old a report may be when it arrives; what was ordered less long ago
    /// may be missing in it.
    pub report_lag: Duration,
    /// How old the platform's list may be when it is asked for.
    pub list_lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            zones: 1,
            // The users' sheets give a quarter of a second for an adapter.
            adapter_load: Duration::from_millis(250),
            memory: 0,
            model_load: Duration::from_secs(2),
            // Reports are some hundred milliseconds old.
            report_lag: Duration::from_millis(350),
            // The users' settings: an engine speaks every 1.2 s, and the list is
            // up to 0.8 s behind that.
            list_lag: Duration::from_millis(2_300),
        }
    }
}

/// How often engines are compared: as often as entry instances tell of them.
const RATE_EVERY: Duration = Duration::from_millis(250);

/// Least time between two plans that no message calls for.
const PLAN_REST: Duration = Duration::from_millis(5);

/// An adapter that callers wait for.
#[derive(Clone, Copy, Debug)]
struct Want {
    /// Since when.
    first: Time,
    /// When that was last said.
    last: Time,
    /// Whether an engine had it in memory when it was first wanted.
    near: bool,
}

#[derive(Debug)]
struct Parked {
    ticket: Ticket,
    asker: Option<InstanceName>,
    news: u64,
    again: Vec<String>,
    brief: bool,
    wants: Vec<String>,
    until: Time,
}

/// What a holder has learned of loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Learned {
    /// The time that a load from the store takes.
    pub load: Duration,
    /// Loads that run at full speed over all zones.
    pub loads: usize,
    /// Dropped adapters that an engine still has in memory.
    pub memory: usize,
    /// Adapters that callers wait for and that aren't on their way.
    pub waiting: usize,
    /// Adapters on their way.
    pub coming: usize,
    /// Engines that took orders at the last plan.
    pub idle: usize,
    /// Those of them where no adapter could be dropped.
    pub full: usize,
}

/// The holder of orders.
#[derive(Debug)]
pub struct Holder {
    config: Config,
    /// What engines of each service can hold.
    specs: BTreeMap<String, table::Engine>,
    targets: BTreeMap<String, Listed>,
    engines: BTreeMap<String, Engine>,
    traffic: Traffic,
    demand: Demand,
    pace: Pace,
    memory: Memory,
    wants: BTreeMap<String, Want>,
    turns: Turns,
    slow: Slow,
    /// When engines were last compared.
    rated: Time,
    /// Adapters of which callers need one more copy, and when that was said.
    copies: BTreeMap<String, Time>,
    /// Wanted adapters that aren't on their way yet, and the time until they can
    /// be used.
    queue: BTreeMap<String, Duration>,
    /// Engines that didn't answer, and when.
    failing: BTreeMap<String, Time>,
    /// Adapters on their way under other holders, and when that was said.
    elsewhere: Option<(Time, u32)>,
    versions: BTreeMap<String, u32>,
    tenure: Tenure,
    /// Zones that the last answer spoke for.
    told: Vec<String>,
    news: News,
    /// Targets that may differ from what was told of them.
    changed: BTreeSet<String>,
    /// Copies at the engines, while nothing has changed there.
    census: Option<Census>,
    /// Whether something has come that a plan may act on.
    due: bool,
    /// When the next plan is made without any message.
    next: Option<Time>,
    /// Engines and adapters looked at so far.
    steps: u64,
    /// See [`Learned`].
    idle: usize,
    full: usize,
    parked: Vec<Parked>,
}

impl Holder {
    /// Makes a holder that knows nothing; `serial` begins its count of news and
    /// differs between lives, so that an asker's old count never matches.
    #[must_use]
    pub fn new(config: Config, serial: u64) -> Self {
        Holder {
            config,
            specs: BTreeMap::new(),
            targets: BTreeMap::new(),
            engines: BTreeMap::new(),
            traffic: Traffic::default(),
            demand: Demand::default(),
            pace: Pace::new(config.adapter_load, plan::TRANSIT_ALL, config.zones),
            memory: Memory::default(),
            wants: BTreeMap::new(),
            turns: Turns::default(),
            slow: Slow::default(),
            rated: Time::ZERO,
            copies: BTreeMap::new(),
            queue: BTreeMap::new(),
            failing: BTreeMap::new(),
            elsewhere: None,
            versions: BTreeMap::new(),
            tenure: Tenure::default(),
            told: Vec::new(),
            news: News::new(serial),
            changed: BTreeSet::new(),
            census: None,
            due: true,
            next: None,
            steps: 0,
            idle: 0,
            full: 0,
            parked: Vec::new(),
        }
    }

    /// Takes what the engines of each service can hold.
    pub fn set_specs(&mut self, specs: BTreeMap<String, table::Engine>) {
        self.specs = specs;
    }

    /// Returns what was learned of the store and of engines' memory.
    #[must_use]
    pub fn learned(&self) -> Learned {
        Learned {
            load: self.pace.time(),
            loads: self.pace.window() as usize,
            memory: self.memory.size(),
            waiting: self.queue.len(),
            coming: self.census.as_ref().map_or(0, |census| census.loading),
            idle: self.idle,
            full: self.full,
        }
    }

    /// Returns how many engines and adapters were looked at so far: what plans cost,
    /// whatever machine makes them.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns how many engines hold which version of a base model's weights.
    #[must_use]
    pub fn weights(&self) -> BTreeMap<Weights, usize> {
        let mut counts = BTreeMap::new();
        for weights in self.engines.values().flat_map(Engine::weights) {
            *counts.entry(weights).or_default() += 1;
        }
        counts
    }

    /// Returns when [`Self::act`] is due without any input, if it is.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        self.next
    }

    /// Takes one input and appends what has to be done about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.take(now, input);
        self.act(now, out);
    }

    /// Takes one input. What follows from all that came together is asked for once,
    /// by [`Self::act`].
    pub fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::Tenure(tenure) => self.take_tenure(now, tenure),
            Input::Listed { asked, zones, list } => self.listed(now, asked, &zones, list),
            Input::Versions(versions) => {
                self.versions = versions;
                self.census = None;
                self.due = true;
            }
            Input::Sync(ticket, sync) => self.sync(now, ticket, sync),
            Input::Ended { id, ended } => self.ended(now, &id, ended),
            Input::Reported { id, report } => self.reported(now, &id, report),
            Input::Wake => self.due = true,
        }
    }

    /// Appends the orders and answers that follow from what was taken.
    pub fn act(&mut self, now: Time, out: &mut Vec<Output>) {
        self.forget(now);
        self.rate(now);
        if self.due || self.next.is_some_and(|at| now >= at) {
            self.due = false;
            self.plan(now, out);
        }
        self.answer(now, out);
    }

    /// Takes the zones of this instance. What it knew of the engines of a zone
    /// that another has owned in between counts for nothing.
    fn take_tenure(&mut self, now: Time, tenure: Tenure) {
        let same = |zone: &String| tenure.fence(now, zone) == self.tenure.fence(now, zone);
        let zones = tenure.zones(now);
        let gained: Vec<_> = zones.into_iter().filter(|zone| !same(zone)).collect();
        let targets = &self.targets;
        self.engines.retain(|id, _| {
            let zone = targets.get(id).map(|t| &t.zone);
            zone.is_none_or(|zone| !gained.contains(zone))
        });
        self.tenure = tenure;
        self.census = None;
        self.due = true;
    }

    fn listed(&mut self, now: Time, asked: Time, zones: &[String], list: Vec<Listed>) {
        let mut targets = std::mem::take(&mut self.targets);
        targets.retain(|_, listed| !zones.contains(&listed.zone));
        for listed in list {
            if self.specs.contains_key(&listed.service) {
                let engine = self.engines.entry(listed.id.clone()).or_default();
                engine.listed(now, asked, &listed, &self.config);
            }
            targets.insert(listed.id.clone(), listed);
        }
        self.engines.retain(|id, _| targets.contains_key(id));
        self.changed.extend(targets.keys().cloned());
        self.changed.extend(self.news.ids());
        self.targets = targets;
        self.census = None;
        self.due = true;
    }

    fn sync(&mut self, now: Time, ticket: Ticket, sync: Sync) {
        for (adapter, count) in &sync.demand {
            self.due |= self.demand.add(now, adapter, f64::from(*count));
        }
        for adapter in &sync.wants {
            self.want(now, adapter);
        }
        for adapter in sync.copies {
            self.due |= self.copies.insert(adapter, now).is_none();
        }
        for target in &sync.failing {
            if let Some(engine) = self.engines.get_mut(target) {
                engine.accused(now);
                self.due = true;
            }
        }
        for pace in &sync.paces {
            self.slow.seen(now, pace);
        }
        for first in &sync.firsts {
            self.first_use(now, first);
        }
        if let Some(loads) = sync.elsewhere {
            self.elsewhere = Some((now, loads));
        }
        if let Some(instance) = &sync.instance {
            self.traffic.heard(now, instance);
            if !sync.brief {
                self.traffic.told(instance, sync.running, sync.unread);
            }
        }
        self.parked.push(Parked {
            ticket,
            asker: sync.instance,
            news: sync.news,
            again: sync.again,
            brief: sync.brief,
            wants: sync.wants,
            until: now + PARK,
        });
    }

    /// Notes that callers wait for an adapter. What is known to wait calls for no plan.
    fn want(&mut self, now: Time, adapter: &str) {
        if let Some(want) = self.wants.get_mut(adapter) {
            want.last = now;
            return;
        }
        let mut engines = self.engines.values();
        let near = engines.any(|engine| self.in_memory(engine, adapter));
        let want = Want {
            first: now,
            last: now,
            near,
        };
        self.wants.insert(adapter.to_owned(), want);
        self.due = true;
    }

    /// Learns from the first request for an adapter that was just loaded.
    fn first_use(&mut self, now: Time, first: &First) {
        let Some(engine) = self.engines.get_mut(&first.target) else {
            return;
        };
        let Some((load, ordered)) = engine.first_use(now, first, self.pace.time()) else {
            return;
        };
        if !first.held {
            self.engine_changed(&first.target);
        }
        match (load, first.held) {
            (Source::Store, true) => self.pace.in_time(ordered),
            (Source::Store, false) => self.pace.late(now, ordered),
            (Source::Memory { depth }, there) => self.memory.seen(depth, there),
        }
    }

    fn ended(&mut self, now: Time, id: &str, ended: Ended) {
        self.config.adapter_load = self.pace.time();
        self.config.memory = self.memory.size();
        if let Some(engine) = self.engines.get_mut(id) {
            engine.ended(now, ended, &self.config);
            self.engine_changed(id);
        }
    }

    /// Notes that something at an engine has changed.
    fn engine_changed(&mut self, id: &str) {
        self.changed.insert(id.to_owned());
        self.census = None;
        self.due = true;
    }

    fn reported(&mut self, now: Time, id: &str, report: Option<Report>) {
        if report.is_none() {
            self.failing.insert(id.to_owned(), now);
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.reported(now, report, &self.config);
        }
        self.engine_changed(id);
    }

    /// Compares the engines a few times a second.
    fn rate(&mut self, now: Time) {
        if now.since(self.rated) < RATE_EVERY {
            return;
        }
        self.rated = now;
        self.changed.extend(self.slow.rate(now));
    }

    fn forget(&mut self, now: Time) {
        self.traffic.forget(now);
        self.wants.retain(|_, want| now.since(want.last) < WANTED);
        self.copies.retain(|_, at| now.since(*at) < COPY_WANTED);
        self.turns.forget(now);
        let failing = self.failing.len();
        self.failing.retain(|_, at| now.since(*at) < FAILING);
        if failing != self.failing.len() {
            self.census = None;
            self.due = true;
        }
        self.demand.forget(now);
    }

    /// Answers whoever waits for nothing any more, or has waited long enough.
    fn answer(&mut self, now: Time, out: &mut Vec<Output>) {
        let zones = self.tenure.zones(now);
        if zones != self.told {
            self.told.clone_from(&zones);
            self.news.restart();
            self.changed = self.targets.keys().cloned().collect();
        }
        if self.parked.is_empty() {
            return;
        }
        self.show(&zones);
        let census = self.census(now);
        let parked = std::mem::take(&mut self.parked);
        for asked in parked {
            let known = |adapter: &String| census.placed(adapter) || self.waits_long(adapter);
            if now < asked.until && !asked.wants.iter().all(known) {
                self.parked.push(asked);
                continue;
            }
            let ticket = asked.ticket;
            let synced = self.answer_to(now, &zones, &asked);
            out.push(Output::Answer { ticket, synced });
        }
        self.census = Some(census);
    }

    fn answer_to(&self, now: Time, zones: &[String], asked: &Parked) -> Synced {
        let told = self.news.since(now, asked.news, &asked.again);
        let asker = asked.asker.as_ref();
        let mut synced = Synced {
            news: self.news.last(),
            targets: told.targets,
            whole: told.whole,
            gone: told.gone,
            waits: self.waits(&asked.wants),
            zones: zones.to_vec(),
            entries: u32::try_from(self.traffic.entries()).unwrap_or(u32::MAX),
            ..Synced::default()
        };
        if !asked.brief {
            synced.running = self.traffic.running_without(asker);
            synced.unread = self.traffic.unread_without(asker);
        }
        synced
    }

    /// Returns copies at the engines, counted anew only where something has changed.
    fn census(&mut self, now: Time) -> Census {
        let census = self.census.take();
        let census = census.filter(|census| census.next.is_none_or(|at| now < at));
        census.unwrap_or_else(|| self.count(now))
    }

    /// Numbers what has changed at the targets of `zones`.
    fn show(&mut self, zones: &[String]) {
        for id in std::mem::take(&mut self.changed) {
            let listed = self.targets.get(&id);
            let Some(listed) = listed.filter(|listed| zones.contains(&listed.zone)) else {
                self.news.drop_target(&id);
                continue;
            };
            let engine = self.engines.get(&id);
            let held = engine.map(Engine::residents).unwrap_or_default();
            let (residents, ready): (Vec<Resident>, Vec<Time>) = held.into_iter().unzip();
            let target = Target {
                id,
                service: listed.service.clone(),
                addr: listed.addr.clone(),
                zone: listed.zone.clone(),
                slots: listed.slots,
                ready: listed.ready,
                slowness: self.slow.of(&listed.id),
                weights: engine.map(Engine::weights).unwrap_or_default(),
                residents,
            };
            self.news.show(target, ready);
        }
    }

    /// Tells whether an adapter is so far back in the queue for the store that
    /// whoever asks had better be told at once.
    fn waits_long(&self, adapter: &str) -> bool {
        self.queue.get(adapter).is_some_and(|wait| *wait > PARK)
    }

    fn waits(&self, wants: &[String]) -> Vec<(String, Duration)> {
        let waits = wants
            .iter()
            .filter_map(|a| Some((a.clone(), *self.queue.get(a)?)));
        waits.collect()
    }

    /// Tells whether a target takes requests and can be reached.
    fn serves(&self, id: &str) -> bool {
        !self.failing.contains_key(id) && self.targets.get(id).is_some_and(|t| t.ready)
    }
}
