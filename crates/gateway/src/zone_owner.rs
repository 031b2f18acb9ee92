//! The zone owner: the one control instance that gives orders to the engines of a zone.
//!
//! Entry instances report which requests run at which target, which adapters are
//! requested and which are missing. The platform's target list and the engines' reports
//! say which adapters each engine holds. The zone owner loads missing adapters, adds
//! copies of busy ones, and evicts the least requested ones to make room.

mod aging;
mod copies;
mod demand;
mod engine;
mod estimate;
mod limits;
mod lists;
mod message;
mod models;
mod placement;
mod plan;
mod queue;
mod rates;
mod rests;
mod rooms;
mod slowness;
mod synced;
mod target_updates;
mod traffic;
mod worth;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, SoftwareVersion, Ticket, Time};
use wire::{
    fleet::{FirstUse, LoadsElsewhere, Sync, Weights},
    stream::SoftwareWant,
};

pub use self::message::{Action, Held, Input, ListedTarget, Order, OrderOutcome, Output, Report};
use self::{
    aging::Aging,
    copies::Sizing,
    demand::Demand,
    engine::{Engine, Source},
    estimate::{MemoryEstimate, StoreEstimate},
    models::ModelEstimate,
    placement::Placement,
    rests::RestingEngines,
    slowness::Slowness,
    target_updates::TargetUpdates,
    traffic::Traffic,
};
use crate::{table, target_limit::Granter, zone_lease::ZoneLease};

/// An entry instance not heard from for this long is ignored: its requests have ended or
/// its connections are gone.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the answer to an entry instance is delayed until its missing adapters are
/// ordered. An order takes a few milliseconds; after this time the instance asks again.
const SYNC_WAIT: Duration = Duration::from_millis(150);

/// How long an engine that did not answer a report request gets no orders and its
/// adapters do not count as available. The platform's list takes seconds to drop a dead
/// engine; until then callers would be sent to it and no copy would be loaded elsewhere.
const FAILING_TIME: Duration = Duration::from_secs(2);

/// How long an adapter stays wanted after the last request for it. An instance with
/// waiting callers asks again every 300 ms; a load for callers that have left delays
/// loads for others.
const WANTED_TIME: Duration = Duration::from_millis(450);

/// How long a request for one more copy of an adapter stays valid: two exchanges between
/// an entry instance and the zone owner.
const COPY_WANTED_TIME: Duration = Duration::from_millis(500);

/// Settings of the zone owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of zones in the deployment, each with a zone owner.
    pub zones: usize,
    /// Initial estimate of the time that an engine takes to load an adapter from the
    /// weight store.
    pub adapter_load: Duration,
    /// Number of evicted adapters that an engine still keeps in host memory, from where
    /// it can reload them without the store; 0 for none.
    pub memory: usize,
    /// Time that an engine takes to load a base model from the weight store, until the
    /// configuration names one.
    pub model_load: Duration,
    /// Place of this instance's zone among all zones: which owner is the first to use room at
    /// the weight store that all see at the same time.
    pub rank: usize,
    /// Maximum age of an engine report on arrival; the effect of an order given less than
    /// this before may be missing in it.
    pub report_lag: Duration,
    /// Maximum age of the platform's target list at the time it is requested.
    pub list_lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            zones: 1,
            // The deployment's data sheets give a quarter of a second per adapter.
            adapter_load: Duration::from_millis(250),
            memory: 0,
            model_load: Duration::from_secs(2),
            rank: 0,
            // Reports are up to a few hundred milliseconds old.
            report_lag: Duration::from_millis(350),
            // An engine sends its state every 1.2 s, and the platform's list lags up to
            // 0.8 s behind that; the rest is margin.
            list_lag: Duration::from_millis(2_300),
        }
    }
}

/// Interval at which the speeds of engines are compared: that at which entry instances
/// report them.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two plans that are not triggered by an input.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(5);

/// An adapter that callers wait for.
#[derive(Clone, Copy, Debug)]
struct Want {
    /// When it was first requested.
    first_asked: Time,
    /// When it was last requested.
    last_asked: Time,
    /// Whether an engine had it in host memory when it was first requested.
    cached: bool,
}

/// An exchange of an entry instance that waits for its answer.
#[derive(Debug)]
struct PendingSync {
    ticket: Ticket,
    requester: Option<InstanceName>,
    /// The number of the last target update that the requester has.
    known: u64,
    /// Targets that the requester wants in any case.
    resend: Vec<String>,
    /// Whether it asks for adapters only and carries no load.
    brief: bool,
    wants: Vec<String>,
    until: Time,
}

/// Statistics of adapter loads in the zones of this owner, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadStats {
    /// Estimated duration of a load from the store.
    pub load: Duration,
    /// Estimated number of loads over all zones that the store serves concurrently at
    /// full speed.
    pub loads: usize,
    /// Estimated number of evicted adapters that an engine still keeps in host memory.
    pub memory: usize,
    /// Adapters that callers wait for and whose load is not ordered yet.
    pub waiting: usize,
    /// Adapters being loaded.
    pub loading: usize,
    /// Engines that could take an order at the last plan.
    pub available: usize,
    /// Those of them that had no free slot and no adapter that could be evicted.
    pub full: usize,
}

/// Decides on the orders to the engines of the zones that this instance owns.
#[derive(Debug)]
pub struct ZoneOwner {
    config: Config,
    /// Capacity of the engines of each service.
    specs: BTreeMap<String, table::Engine>,
    targets: BTreeMap<String, ListedTarget>,
    engines: BTreeMap<String, Engine>,
    traffic: Traffic,
    demand: Demand,
    store: StoreEstimate,
    models: ModelEstimate,
    /// When the next base model may be loaded from the weight store.
    fetch_due: Option<Time>,
    memory: MemoryEstimate,
    wants: BTreeMap<String, Want>,
    /// Adapters that streams need to go on, and when they were last asked for.
    stream_wants: BTreeMap<SoftwareWant, Time>,
    aging: Aging,
    slowness: Slowness,
    /// When the speeds of engines were last compared.
    compared: Time,
    /// Adapters of which entry instances want one more copy, and when they last said so.
    copies: BTreeMap<String, Time>,
    /// How many copies adapters need, counted only where goals are tight.
    sizing: Sizing,
    /// Wanted adapters whose load is not ordered yet, with the estimated time until they
    /// can be used.
    queue: BTreeMap<String, Duration>,
    /// Engines that did not answer a report request, and when that was noticed.
    failing: BTreeMap<String, Time>,
    /// Adapters being loaded under other zone owners, and when an entry instance last
    /// said so.
    elsewhere: Option<(Time, u32)>,
    versions: BTreeMap<String, u32>,
    lease: ZoneLease,
    /// When the lists of owned zones were requested that are in use.
    lists: BTreeMap<String, Time>,
    /// Owned zones at the time of the last answer.
    answered_zones: Vec<String>,
    updates: TargetUpdates,
    /// Targets that may have changed since the last target update.
    changed: BTreeSet<String>,
    /// Cached count of adapter copies; `None` once something has changed at an engine.
    placement: Option<Placement>,
    /// Whether an input has arrived that the next plan must take into account.
    plan_due: bool,
    /// When the next plan is due if no input arrives.
    next_plan: Option<Time>,
    /// Engines and adapters examined by plans so far.
    steps: u64,
    /// See [`LoadStats`].
    available: usize,
    full: usize,
    pending: Vec<PendingSync>,
    /// The limits that targets name.
    limits: Granter,
    rests: RestingEngines,
    /// Whether goals are tight, so that copies are placed by the time that callers will wait.
    tight: bool,
}

impl ZoneOwner {
    /// Creates a zone owner without any state. `serial` is the start of its update
    /// numbers and has to differ between incarnations of the process, so that a number
    /// from an earlier incarnation never matches.
    #[must_use]
    pub fn new(config: Config, serial: u64) -> Self {
        ZoneOwner {
            config,
            specs: BTreeMap::new(),
            targets: BTreeMap::new(),
            engines: BTreeMap::new(),
            traffic: Traffic::default(),
            demand: Demand::default(),
            store: StoreEstimate::new(config.adapter_load, plan::INITIAL_LOADS, config.zones),
            models: ModelEstimate::default(),
            fetch_due: None,
            memory: MemoryEstimate::default(),
            wants: BTreeMap::new(),
            stream_wants: BTreeMap::new(),
            aging: Aging::default(),
            slowness: Slowness::default(),
            compared: Time::ZERO,
            copies: BTreeMap::new(),
            sizing: Sizing::default(),
            queue: BTreeMap::new(),
            failing: BTreeMap::new(),
            elsewhere: None,
            versions: BTreeMap::new(),
            lease: ZoneLease::default(),
            lists: BTreeMap::new(),
            answered_zones: Vec::new(),
            updates: TargetUpdates::new(serial),
            changed: BTreeSet::new(),
            placement: None,
            plan_due: true,
            next_plan: None,
            steps: 0,
            available: 0,
            full: 0,
            pending: Vec::new(),
            limits: Granter::default(),
            rests: RestingEngines::default(),
            tight: false,
        }
    }

    /// Sets the capacity of the engines of each service.
    pub fn set_specs(&mut self, specs: BTreeMap<String, table::Engine>) {
        let models = specs.values().flat_map(|spec| &spec.models);
        if let Some(load) = models.filter_map(|model| model.load).max() {
            self.config.model_load = load;
        }
        self.specs = specs;
    }

    /// Sets whether a route has a tight goal; see [`table::Table::has_tight_goals`].
    pub fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
        self.slowness.set_tight(tight);
        self.store.set_tight(tight);
    }

    /// Returns the current estimates of the store's speed and the engines' host memory,
    /// and the state of the last plan.
    #[must_use]
    pub fn load_stats(&self) -> LoadStats {
        LoadStats {
            load: self.store.time(),
            loads: self.store.window() as usize,
            memory: self.memory.size(),
            waiting: self.queue.len(),
            loading: self
                .placement
                .as_ref()
                .map_or(0, |placement| placement.loading),
            available: self.available,
            full: self.full,
        }
    }

    /// Returns how many engines and adapters plans have examined so far: the cost of
    /// planning, independent of the machine.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the number of engines that hold each version of a base model's weights.
    #[must_use]
    pub fn weights(&self) -> BTreeMap<Weights, usize> {
        let mut counts = BTreeMap::new();
        for weights in self.engines.values().flat_map(Engine::weights) {
            *counts.entry(weights).or_default() += 1;
        }
        counts
    }

    /// Returns the listed targets in the zones of this owner.
    pub fn owned_targets(&self, now: Time) -> impl Iterator<Item = &ListedTarget> {
        let listed = self.targets.values();
        listed.filter(move |listed| self.lease.fence(now, &listed.zone).is_some())
    }

    /// Returns the number of targets of each service that run each version of its software.
    #[must_use]
    pub fn software(&self) -> BTreeMap<(String, SoftwareVersion), usize> {
        let mut counts = BTreeMap::new();
        for listed in self.targets.values() {
            if let Some(software) = &listed.software {
                let key = (listed.service.clone(), software.clone());
                *counts.entry(key).or_default() += 1;
            }
        }
        counts
    }

    /// Returns when [`Self::poll`] has to be called if no input arrives before.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.next_plan
    }

    /// Applies one input and appends the resulting orders and answers to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.apply(now, input);
        self.poll(now, out);
    }

    /// Applies one input without acting on it, so that several inputs that arrive
    /// together are followed by a single [`Self::poll`].
    pub fn apply(&mut self, now: Time, input: Input) {
        match input {
            Input::Lease(lease) => self.set_lease(now, lease),
            Input::Listed { asked, zones, list } => self.listed(now, asked, &zones, list),
            Input::Versions(versions) => {
                self.versions = versions;
                self.placement = None;
                self.plan_due = true;
            }
            Input::Sync(ticket, sync) => self.sync(now, ticket, sync),
            Input::StreamWants(wants) => {
                for want in wants {
                    self.plan_due |= self.stream_wants.insert(want, now).is_none();
                }
            }
            Input::OrderEnded { id, outcome } => self.order_ended(now, &id, outcome),
            Input::Reported { id, report } => self.reported(now, &id, report),
            Input::Wake => self.plan_due = true,
        }
    }

    /// Appends the orders and answers that result from the inputs applied so far.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire(now);
        self.compare_engines(now);
        self.size_copies(now);
        if self.plan_due || self.next_plan.is_some_and(|at| now >= at) {
            self.plan_due = false;
            self.plan(now, out);
        }
        self.answer(now, out);
    }

    /// Sets the zone lease of this instance. State about engines is discarded for zones
    /// that are new or were owned by another instance in the meantime.
    fn set_lease(&mut self, now: Time, lease: ZoneLease) {
        let same = |zone: &String| lease.fence(now, zone) == self.lease.fence(now, zone);
        let zones = lease.zones(now);
        let gained: Vec<_> = zones.into_iter().filter(|zone| !same(zone)).collect();
        let targets = &self.targets;
        self.engines.retain(|id, _| {
            let zone = targets.get(id).map(|t| &t.zone);
            zone.is_none_or(|zone| !gained.contains(zone))
        });
        self.limits.retain(|id| {
            let zone = targets.get(id).map(|t| &t.zone);
            zone.is_none_or(|zone| !gained.contains(zone))
        });
        self.lists.retain(|zone, _| !gained.contains(zone));
        if !gained.is_empty() {
            self.traffic.forget();
        }
        self.lease = lease;
        self.placement = None;
        self.plan_due = true;
    }

    fn sync(&mut self, now: Time, ticket: Ticket, sync: Sync) {
        for (adapter, count) in &sync.demand {
            self.plan_due |= self.demand.add(now, adapter, f64::from(*count));
            if self.tight {
                self.sizing.rates.add(now, adapter, f64::from(*count));
            }
        }
        for adapter in &sync.wants {
            self.want(now, adapter);
        }
        for adapter in sync.copies {
            self.plan_due |= self.copies.insert(adapter, now).is_none();
        }
        for target in &sync.failing {
            if let Some(engine) = self.engines.get_mut(target) {
                engine.unreachable(now);
                self.plan_due = true;
            }
        }
        for pace in &sync.prompt_times {
            self.slowness.add_sample(now, pace);
        }
        for first in &sync.first_uses {
            self.first_use(now, first);
        }
        if let Some(loads) = sync.loading_elsewhere {
            let loads = LoadsElsewhere::from(loads);
            self.elsewhere = Some((now, loads.adapters));
            self.models.heard(now, loads.models);
        }
        if let Some(instance) = &sync.instance {
            self.traffic.heard(now, instance);
            if !sync.brief {
                self.traffic.set(instance, sync.running, sync.unread);
            }
        }
        self.pending.push(PendingSync {
            ticket,
            requester: sync.instance,
            known: sync.update,
            resend: sync.resend,
            brief: sync.brief,
            wants: sync.wants,
            until: now + SYNC_WAIT,
        });
    }

    /// Records that callers wait for an adapter. Only an adapter that was not wanted
    /// before triggers a plan.
    fn want(&mut self, now: Time, adapter: &str) {
        if let Some(want) = self.wants.get_mut(adapter) {
            want.last_asked = now;
            return;
        }
        let mut engines = self.engines.values();
        let cached = engines.any(|engine| self.in_memory(engine, adapter));
        let want = Want {
            first_asked: now,
            last_asked: now,
            cached,
        };
        self.wants.insert(adapter.to_owned(), want);
        self.plan_due = true;
    }

    /// Updates the load estimates from the outcome of the first request for an adapter
    /// that was just loaded.
    fn first_use(&mut self, now: Time, first: &FirstUse) {
        let Some(engine) = self.engines.get_mut(&first.target) else {
            return;
        };
        let Some((load, ordered)) = engine.first_use(now, first, self.store.time()) else {
            return;
        };
        if !first.held {
            self.engine_changed(&first.target);
        }
        match (load, first.held) {
            (Source::Store, true) => self.store.in_time(now, ordered),
            (Source::Store, false) => self.store.late(now, ordered),
            (Source::Memory { depth }, there) => self.memory.observe(depth, there),
        }
    }

    fn order_ended(&mut self, now: Time, id: &str, outcome: OrderOutcome) {
        self.config.adapter_load = self.store.time();
        self.config.memory = self.memory.size();
        if let Some(engine) = self.engines.get_mut(id) {
            engine.order_ended(now, outcome, &self.config);
            self.engine_changed(id);
        }
    }

    /// Marks an engine as changed since the last plan and target update.
    fn engine_changed(&mut self, id: &str) {
        self.changed.insert(id.to_owned());
        self.placement = None;
        self.plan_due = true;
    }

    fn reported(&mut self, now: Time, id: &str, report: Option<Report>) {
        if report.is_none() {
            self.failing.insert(id.to_owned(), now);
        }
        if let Some(engine) = self.engines.get_mut(id) {
            let ended = engine.reported(now, report, &self.config);
            if let Some(load) = ended {
                self.models.ended(&load, self.config.model_load);
            }
        }
        self.engine_changed(id);
    }

    /// Compares the speeds of engines, four times a second.
    fn compare_engines(&mut self, now: Time) {
        if now.since(self.compared) < COMPARE_INTERVAL {
            return;
        }
        self.compared = now;
        self.changed.extend(self.slowness.compare(now));
    }

    fn expire(&mut self, now: Time) {
        self.traffic.expire(now);
        self.update_rests(now);
        self.wants
            .retain(|_, want| now.since(want.last_asked) < WANTED_TIME);
        self.stream_wants
            .retain(|_, at| now.since(*at) < WANTED_TIME);
        self.copies
            .retain(|_, at| now.since(*at) < COPY_WANTED_TIME);
        self.aging.expire(now);
        let failing = self.failing.len();
        self.failing.retain(|_, at| now.since(*at) < FAILING_TIME);
        if failing != self.failing.len() {
            self.placement = None;
            self.plan_due = true;
        }
        self.demand.expire(now);
    }

    /// Answers each exchange whose missing adapters are all ordered, far back in the
    /// queue, or whose waiting time is over.
    fn answer(&mut self, now: Time, out: &mut Vec<Output>) {
        let zones = self.listed_zones(now);
        if zones != self.answered_zones {
            self.answered_zones.clone_from(&zones);
            self.updates.reset();
            self.changed = self.targets.keys().cloned().collect();
        }
        if self.pending.is_empty() {
            return;
        }
        self.number_changes(&zones);
        let placement = self.placement(now);
        let pending = std::mem::take(&mut self.pending);
        for sync in pending {
            let known =
                |adapter: &String| placement.placed(adapter) || self.waits_too_long(adapter);
            if now < sync.until && !sync.wants.iter().all(known) {
                self.pending.push(sync);
                continue;
            }
            let ticket = sync.ticket;
            let synced = self.synced_for(now, &zones, &sync);
            out.push(Output::Answer { ticket, synced });
        }
        self.placement = Some(placement);
    }

    /// Returns the count of adapter copies; counts them again only if something has
    /// changed.
    fn placement(&mut self, now: Time) -> Placement {
        let placement = self.placement.take();
        let placement = placement.filter(|placement| placement.next.is_none_or(|at| now < at));
        placement.unwrap_or_else(|| self.count_copies(now))
    }

    /// Returns whether a target takes requests and can be reached.
    fn serves(&self, id: &str) -> bool {
        !self.failing.contains_key(id) && self.targets.get(id).is_some_and(|t| t.ready)
    }

    /// Returns the engines whose copies of adapters count and on which more are loaded: those
    /// that name no limit and don't rest, or all if none is left.
    ///
    /// Failure: an engine names a limit far below what its adapters are requested for.
    /// Their other callers would wait in vain, as nobody loads what is held already.
    fn open_engines(&self) -> BTreeSet<&str> {
        let serving = self.engines.keys().filter(|id| self.serves(id));
        let open = serving.clone();
        let open = open.filter(|id| !self.limits.is_limited(id) && !self.rests.is_closed(id));
        let open: BTreeSet<&str> = open.map(String::as_str).collect();
        if open.is_empty() {
            return serving.map(String::as_str).collect();
        }
        open
    }
}
