//! An entry instance's view of the targets, and its choice of one for each request.

mod backlog;
mod backup;
mod choose;
mod expected;
mod hedge;
mod held;
mod leaving;
mod need;
mod others;
mod processes;
mod software;
mod spread;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base::{Seed, SoftwareVersion, Time};
use rest::Rests;
use wire::fleet::{FirstUse, LoadsElsewhere, PromptTime, Running, Target};

use crate::{
    brittle::BrittleTargets,
    explain::Part,
    home::WeightedZone,
    reach::Targets,
    target_limit::{KnownLimits, LimitChange},
};

pub use self::backup::{Backup, Origin, Unused};
pub use self::choose::BRIEF_REST;
pub use self::hedge::Second;
pub use self::processes::ListedStart;
use self::{
    backlog::{FULL_WAIT, known_outside},
    backup::OUTDATED,
    choose::sum,
    expected::ServiceTimes,
    held::Held,
    leaving::Leavers,
    others::OthersLoad,
    processes::KnownProcess,
    software::KnownSoftware,
};

/// Added to the load of a target in another availability zone, in parts of its slots. A
/// round trip there costs some 3 ms and traffic between zones, so the own zone is
/// preferred until its targets are fuller by this much.
const CROSS_ZONE_COST: f64 = 0.15;

/// Added to the load of a target, multiplied by the fraction of its recent requests that
/// failed: a target that fails half of them is avoided while any other is less than full.
const FAILURE_COST: f64 = 2.0;

/// Weight of the newest outcome in a target's failure rate, which is thus an average over
/// about ten requests.
const FAILURE_WEIGHT: f64 = 0.15;

/// Added to the load of a target that names a limit or is brittle, in parts of its slots: it is in need,
/// and asking for a permit takes some milliseconds.
const LIMITED_COST: f64 = 0.25;

/// Half-life of the failure rate without any request: a target that recovers is tried
/// again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// How long a target is avoided that could not be connected to or did not answer.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_500);

/// Maximum age of the announced wait for an adapter whose load is not ordered yet; an
/// instance with waiting callers asks again every 300 ms.
const EXPECTED_MAX_AGE: Duration = Duration::from_millis(400);

/// Most adapters whose requests are counted between two exchanges; callers choose the names.
const DEMAND_MAX: usize = 4_096;

/// Number of entry instances that is assumed until a control instance has told it.
const INITIAL_INSTANCES: u32 = 12;

/// Where a request can be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this target, by id.
    Send(String),
    /// No target has the adapter yet, but one is loading it and is expected to have it
    /// after this time.
    Wait(Duration),
    /// No target has the adapter or is loading it.
    Missing,
    /// All targets that could take it have used up the limits that they name; a permit for
    /// this one may be had after this time.
    Limited(String, Duration),
    /// All targets that could take it rest, or have just rested and take few requests; this one
    /// may take it after this time.
    Resting(String, Duration),
    /// The service has no target that takes requests, or none of the software version that
    /// the request needs.
    NoTarget,
}

/// An entry instance's view of the targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    zone: String,
    targets: BTreeMap<String, TargetState>,
    /// Versions of adapters, the oldest first: the newest that was set long ago, and all
    /// that were set since.
    versions: BTreeMap<String, Vec<Named>>,
    /// Requests of all other instances running at each target.
    others: BTreeMap<String, u32>,
    /// How much of that is known.
    load_known: OthersLoad,
    /// Prompt tokens of other instances' requests that each target has not read yet.
    unread_others: BTreeMap<String, u64>,
    /// Prompt tokens that targets read per second, a moving average over requests.
    speed: Option<f64>,
    /// Requests for each adapter since the last [`Self::take_demand`].
    demand: BTreeMap<String, u32>,
    /// Adapters whose load is not ordered yet: when they are expected to be usable, and
    /// when that was announced.
    expected: BTreeMap<String, (Time, Time)>,
    /// Outcomes of first requests after a load, by zone, since they were last taken.
    firsts: BTreeMap<String, Vec<FirstUse>>,
    /// Time that targets took to read prompts, since it was last taken.
    paces: BTreeMap<String, PromptTime>,
    /// Targets for which an announced adapter was dropped from this view, as they refused
    /// a request for it.
    stale: BTreeSet<String>,
    /// The limits that targets name.
    limits: KnownLimits,
    /// The software versions of targets.
    software: KnownSoftware,
    /// Targets that fall over when they refuse many requests.
    brittle: BrittleTargets,
    /// Targets that have asked this instance for rest.
    rests: Rests<String>,
    /// Targets whose answers say that they leave.
    leavers: Leavers,
    /// The processes that targets' ids stand for.
    processes: BTreeMap<String, KnownProcess>,
    /// Targets that have begun to leave, or are gone, since they were last taken.
    left: Vec<String>,
    /// What zone owners said of limits since it was last taken.
    limit_changes: Vec<LimitChange>,
    /// Makes this instance's random choices differ from those of others.
    seed: u64,
    /// Number of requests sent so far.
    sent: u64,
    /// Whether goals are tight, so that targets are chosen by expected time.
    tight: bool,
    /// What is learned of the requests of each service.
    times: ServiceTimes,
}

/// An adapter version set by operators.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: u32,
    /// When this instance first received it.
    since: Time,
}

#[derive(Clone, Debug)]
struct TargetState {
    target: Target,
    residents: BTreeMap<String, Held>,
    own: BTreeMap<String, u32>,
    /// Prompt tokens sent by this instance that the target has not read yet.
    unread: u64,
    failures: Failures,
    /// Until when it counts as full, as it refused a request for want of room.
    full_until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    rate: f64,
    at: Time,
    avoid_until: Option<Time>,
}

impl View {
    /// Creates the view of an instance in `zone` that knows no targets yet. `seed` has to
    /// differ between instances.
    #[must_use]
    pub fn new(zone: impl Into<String>, seed: Seed) -> Self {
        View {
            zone: zone.into(),
            seed: seed.0,
            limits: KnownLimits::new(seed.0, INITIAL_INSTANCES),
            brittle: BrittleTargets::new(seed.0, INITIAL_INSTANCES),
            rests: Rests::new(seed),
            ..View::default()
        }
    }

    /// Sets whether a route has a tight goal; see [`crate::table::Table::has_tight_goals`].
    pub fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
    }

    /// Returns whether targets are chosen by expected time.
    #[must_use]
    pub fn is_tight(&self) -> bool {
        self.tight
    }

    /// Replaces the targets of `zones`.
    pub fn set_targets(&mut self, now: Time, zones: &[String], targets: Vec<Target>) {
        let all = std::mem::take(&mut self.targets);
        let listed: BTreeSet<_> = targets.iter().map(|t| t.id.clone()).collect();
        let in_zones = |id: &String, known: &TargetState| {
            zones.contains(&known.target.zone) || listed.contains(id)
        };
        let (mut old, rest) = all.into_iter().partition(|(id, known)| in_zones(id, known));
        self.targets = rest;
        for target in targets {
            let before = old.remove(&target.id);
            self.add_target(now, target, before);
        }
        self.keep_running(old);
    }

    /// Applies a delta: targets that have changed or were requested again, and the ids of
    /// those that are gone. The others stay unchanged.
    pub fn change_targets(&mut self, now: Time, targets: Vec<Target>, gone: &[String]) {
        for target in targets {
            let before = self.targets.remove(&target.id);
            self.add_target(now, target, before);
        }
        let gone = gone.iter().filter_map(|id| self.targets.remove_entry(id));
        let gone: BTreeMap<_, _> = gone.collect();
        self.keep_running(gone);
    }

    /// Takes over the list of a zone that doesn't say which adapters targets hold: targets
    /// that were known keep theirs.
    pub fn relist(&mut self, now: Time, zone: &str, listed: Vec<Target>) {
        let all = std::mem::take(&mut self.targets);
        let (mut old, rest) = all
            .into_iter()
            .partition(|(_, known)| known.target.zone == zone);
        self.targets = rest;
        for target in listed {
            let Some(mut known) = old.remove(&target.id) else {
                self.add_target(now, target, None);
                continue;
            };
            if known.target.ready && !target.ready {
                self.left.push(target.id.clone());
            }
            known.target.ready = target.ready;
            known.target.addr = target.addr;
            known.target.slots = target.slots;
            self.targets.insert(target.id, known);
        }
        self.keep_running(old);
    }

    /// Returns and forgets the targets that have begun to leave, or are gone.
    pub fn take_left(&mut self) -> Vec<String> {
        std::mem::take(&mut self.left)
    }

    /// Returns whether a target is listed as taking requests.
    #[must_use]
    pub fn is_ready(&self, id: &str) -> bool {
        self.targets.get(id).is_some_and(|known| known.target.ready)
    }

    fn add_target(&mut self, now: Time, target: Target, before: Option<TargetState>) {
        let was_ready = before.as_ref().is_some_and(|known| known.target.ready);
        if was_ready && !target.ready {
            self.left.push(target.id.clone());
        }
        if let Some(told) = target.limit {
            let change = self.limits.told(now, &target.id, told);
            self.limit_changes.extend(change);
        }
        let residents = target.residents.iter().map(|resident| {
            let old = before.as_ref();
            let old = old.and_then(|known| known.residents.get(&resident.adapter));
            (resident.adapter.clone(), Held::merge(now, resident, old))
        });
        let known = TargetState {
            residents: residents.collect(),
            own: before.as_ref().map(|k| k.own.clone()).unwrap_or_default(),
            unread: before.as_ref().map_or(0, |k| k.unread),
            full_until: before.as_ref().map_or(Time::ZERO, |k| k.full_until),
            failures: before.map(|k| k.failures).unwrap_or_default(),
            target,
        };
        self.targets.insert(known.target.id.clone(), known);
    }

    /// Keeps removed targets while requests of this instance run there; otherwise the end
    /// of these would be counted against a new target with the same id.
    fn keep_running(&mut self, gone: BTreeMap<String, TargetState>) {
        for (id, mut known) in gone {
            if known.target.ready {
                self.left.push(id.clone());
            }
            if known.own.values().any(|n| *n > 0) {
                known.target.ready = false;
                self.targets.insert(id, known);
            }
        }
    }

    /// Removes and returns the targets of `zones` that the zone owner has to send again,
    /// as part of their announced state was dropped here.
    pub fn take_stale(&mut self, zones: &[String]) -> Vec<String> {
        let targets = &self.targets;
        let in_zones = |id: &String| {
            targets
                .get(id)
                .is_some_and(|k| zones.contains(&k.target.zone))
        };
        let (due, rest) = std::mem::take(&mut self.stale)
            .into_iter()
            .partition(in_zones);
        self.stale = rest;
        let due: BTreeSet<String> = due;
        due.into_iter().collect()
    }

    /// Applies adapter versions set by operators; older versions than known are ignored.
    pub fn set_versions(&mut self, now: Time, versions: impl IntoIterator<Item = (String, u32)>) {
        for (adapter, version) in versions {
            let known = self.versions.entry(adapter).or_default();
            if known.last().is_some_and(|newest| version <= newest.version) {
                continue;
            }
            let long_ago = |named: &Named| now.since(named.since) >= OUTDATED;
            let last = known.iter().rposition(long_ago).unwrap_or(0);
            known.drain(..last);
            known.push(Named {
                version,
                since: now,
            });
        }
    }

    /// Replaces the numbers of requests that other instances run at the targets of
    /// `zones`.
    pub fn set_other_running(
        &mut self,
        zones: &[String],
        others: impl IntoIterator<Item = (String, u32)>,
    ) {
        let targets = &self.targets;
        self.others
            .retain(|id, _| known_outside(targets, zones, id));
        self.others.extend(others);
        self.divide_brittle(zones);
    }

    /// Applies the announced waits for adapters that this instance asked for.
    pub fn set_waits(&mut self, now: Time, waits: Vec<(String, Duration)>) {
        self.expected
            .retain(|_, (_, announced_at)| now.since(*announced_at) < EXPECTED_MAX_AGE);
        let waits = waits.into_iter();
        self.expected
            .extend(waits.map(|(adapter, wait)| (adapter, (now + wait, now))));
    }

    /// Returns when an adapter whose load is not ordered yet can be used, as announced by
    /// the zone owner.
    #[must_use]
    pub fn expected(&self, now: Time, adapter: &str) -> Option<Time> {
        let (at, announced_at) = self.expected.get(adapter)?;
        (now.since(*announced_at) < EXPECTED_MAX_AGE).then_some(*at)
    }

    /// Returns the zones that have a target of `service` that takes requests and runs the
    /// software `wanted`, if any is wanted, weighted by the part of these targets that names
    /// no limit.
    #[must_use]
    pub fn zones_of(
        &self,
        now: Time,
        service: &str,
        wanted: Option<&SoftwareVersion>,
    ) -> Vec<WeightedZone> {
        let ready = self.targets.values();
        let ready = ready.filter(|known| self.runs(now, known, wanted));
        let ready = ready.map(|known| &known.target);
        let ready = ready.filter(|t| t.ready && t.service == service);
        let mut counts: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for target in ready {
            let (open, all) = counts.entry(&target.zone).or_default();
            let id = &target.id;
            let is_open = !self.limits.is_limited(id) && !self.rests.is_resting(now, id);
            *open += f64::from(u8::from(is_open));
            *all += 1.0;
        }
        let zones = counts.into_iter().map(|(zone, (open, all))| WeightedZone {
            name: zone.to_owned(),
            weight: open / all,
        });
        zones.collect()
    }

    /// Returns the version on which requests for `adapter` have to run, if operators set
    /// one.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u32> {
        Some(self.versions.get(adapter)?.last()?.version)
    }

    /// Returns the IP address and port of a target.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<&str> {
        self.targets.get(id).map(|k| k.target.addr.as_str())
    }

    /// Returns the addresses of all targets that take requests, by zone.
    #[must_use]
    pub fn addresses(&self) -> Targets {
        let mut addresses = Targets::new();
        for known in self.targets.values().filter(|known| known.target.ready) {
            if let Ok(addr) = known.target.addr.parse() {
                let of_zone = addresses.entry(known.target.zone.clone());
                of_zone.or_default().insert(addr);
            }
        }
        addresses
    }

    /// Returns the target that listens at an address.
    #[must_use]
    pub fn id_at(&self, addr: SocketAddr) -> Option<&str> {
        let mut targets = self.targets.values();
        let found = targets.find(|known| known.target.addr.parse() == Ok(addr))?;
        Some(&found.target.id)
    }

    /// Forgets all failures, as they were not those of targets.
    ///
    /// Failure: an instance is cut off from all targets, and avoids them for as long again
    /// when it reaches them.
    pub fn forgive(&mut self) {
        for known in self.targets.values_mut() {
            known.failures = Failures::default();
        }
    }

    /// Counts a request for an adapter.
    pub fn count_request(&mut self, adapter: &str) {
        if let Some(count) = self.demand.get_mut(adapter) {
            *count += 1;
        } else if self.demand.len() < DEMAND_MAX {
            self.demand.insert(adapter.to_owned(), 1);
        }
    }

    /// Returns and resets the counted requests.
    pub fn take_demand(&mut self) -> Vec<(String, u32)> {
        std::mem::take(&mut self.demand).into_iter().collect()
    }

    /// Returns the targets that recently could not be reached from this instance.
    #[must_use]
    pub fn failing(&self, now: Time) -> Vec<String> {
        let avoided = self
            .targets
            .iter()
            .filter(|(_, known)| known.is_avoided(now));
        avoided.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the numbers of adapters and base models being loaded by targets outside
    /// `zones`.
    #[must_use]
    pub fn loading_outside(&self, now: Time, zones: &[String]) -> LoadsElsewhere {
        LoadsElsewhere {
            adapters: self.count_outside(now, zones, |name| name.contains('/')),
            models: self.count_outside(now, zones, |name| !name.contains('/')),
        }
    }

    fn count_outside(&self, now: Time, zones: &[String], kind: impl Fn(&str) -> bool) -> u32 {
        let others = self.targets.values();
        let others = others.filter(|known| !zones.contains(&known.target.zone));
        let loading = others.flat_map(|known| &known.residents);
        let loading = loading.filter(|(name, held)| kind(name) && held.ready > now);
        u32::try_from(loading.count()).unwrap_or(u32::MAX)
    }

    /// Returns the requests of this instance that run at the targets of `zones`.
    #[must_use]
    pub fn running(&self, zones: &[String]) -> Vec<Running> {
        let in_zones = self.targets.iter();
        let in_zones = in_zones.filter(|(_, known)| zones.contains(&known.target.zone));
        let each = in_zones.flat_map(|(id, known)| {
            let own = known.own.iter().filter(|(_, count)| **count > 0);
            own.map(move |(adapter, count)| Running {
                target: id.clone(),
                adapter: adapter.clone(),
                count: *count,
            })
        });
        each.collect()
    }

    /// Counts a request with `tokens` prompt tokens as sent to a target. Returns the
    /// number of tokens that the target has to read before it can answer.
    pub fn begin(&mut self, id: &str, adapter: &str, tokens: u64) -> u64 {
        self.sent += 1;
        let Some(known) = self.targets.get_mut(id) else {
            return tokens;
        };
        known.unread += tokens;
        *known.own.entry(adapter.to_owned()).or_default() += 1;
        self.ahead(&self.targets[id])
    }

    /// Notes that a target has read `tokens` prompt tokens, or will never read them.
    pub fn read(&mut self, id: &str, tokens: u64) {
        if let Some(known) = self.targets.get_mut(id) {
            known.unread = known.unread.saturating_sub(tokens);
        }
    }

    /// Counts a request at a target as ended.
    pub fn end(&mut self, id: &str, adapter: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if let Some(count) = known.own.get_mut(adapter) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                known.own.remove(adapter);
            }
        }
    }

    /// Records whether a request succeeded at a target.
    pub fn outcome(&mut self, now: Time, id: &str, good: bool) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let rate = known.failures.decayed_rate(now);
        let newest = if good { 0.0 } else { 1.0 };
        known.failures.rate = rate + (newest - rate) * FAILURE_WEIGHT;
        known.failures.at = now;
        if good {
            known.failures.avoid_until = None;
        }
    }

    /// Notes that a target could not be reached or did not answer.
    pub fn unreachable(&mut self, now: Time, id: &str) {
        self.outcome(now, id, false);
        if let Some(known) = self.targets.get_mut(id) {
            known.failures.avoid_until = Some(now + UNREACHABLE_PAUSE);
        }
    }

    /// Notes that a target took a request and closed the connection without an answer.
    ///
    /// Failure: a target loses its answers but executes its requests. If it counted as
    /// unreachable, its adapters would be loaded again elsewhere, and half of the engines
    /// of a zone were idle meanwhile.
    pub fn answer_lost(&mut self, now: Time, id: &str) {
        self.outcome(now, id, false);
    }

    /// Notes that a target holds an adapter but can't use it within `wait`.
    pub fn adapter_not_ready(&mut self, now: Time, id: &str, adapter: &str, wait: Duration) {
        if let Some(known) = self.targets.get_mut(id)
            && let Some(held) = known.residents.get_mut(adapter)
        {
            held.ready = held.ready.max(now + wait);
        }
    }

    /// Returns whether a target holds an adapter in the required version or a newer one.
    ///
    /// Failure: a version was set and some targets still hold the previous one. Callers
    /// would get answers of the new and the old version alternately. So only holders of
    /// the newest version are chosen from the moment it is known here.
    fn holds(&self, known: &TargetState, adapter: &str) -> bool {
        if adapter.is_empty() {
            return true;
        }
        let Some(held) = known.residents.get(adapter) else {
            return false;
        };
        let named = self.version(adapter).unwrap_or(0);
        held.version == 0 || held.version >= named
    }

    /// Returns the requests that run at a target, as a part of its slots.
    fn load(&self, known: &TargetState) -> f64 {
        let own: u32 = known.own.values().sum();
        let others = self.others.get(&known.target.id).copied().unwrap_or(0);
        f64::from(own + others) / f64::from(known.target.slots.max(1))
    }

    fn cost(&self, now: Time, known: &TargetState, tried: &BTreeSet<String>) -> f64 {
        sum(&self.cost_parts(now, known, tried))
    }

    /// Returns the parts of the cost of a target, as parts of its slots.
    fn cost_parts(
        &self,
        now: Time,
        known: &TargetState,
        tried: &BTreeSet<String>,
    ) -> [(Part, f64); 7] {
        let target = &known.target;
        let when = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        let failures = FAILURE_COST * known.failures.decayed_rate(now);
        [
            (Part::Load, self.load(known) * known.slow()),
            (Part::Zone, when(target.zone != self.zone, CROSS_ZONE_COST)),
            (Part::Need, when(self.in_need(&target.id), LIMITED_COST)),
            (Part::Prompts, self.backlog(known) / FULL_WAIT),
            (Part::Failures, failures),
            (Part::Avoided, when(known.is_avoided(now), 10.0)),
            (Part::Tried, when(tried.contains(&target.id), 100.0)),
        ]
    }
}

impl TargetState {
    /// Returns how many times as long as a typical target this one takes.
    fn slow(&self) -> f64 {
        (f64::from(self.target.slowness) / 100.0).max(1.0)
    }

    /// Returns whether the target recently could not be reached.
    fn is_avoided(&self, now: Time) -> bool {
        self.failures.avoid_until.is_some_and(|until| now < until)
    }
}

impl Failures {
    fn decayed_rate(&self, now: Time) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(halves)
    }
}

fn usable(known: &TargetState, now: Time, adapter: &str) -> bool {
    adapter.is_empty()
        || known
            .residents
            .get(adapter)
            .is_some_and(|held| held.ready <= now)
}
