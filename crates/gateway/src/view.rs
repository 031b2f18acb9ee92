//! What an entry instance knows of targets, and which one it chooses.

mod backlog;
mod backup;
mod held;
mod spread;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Seed, Time};
use wire::fleet::{First, Pace, Running, Target};

pub use self::backup::{Backup, Origin, Unused};
use self::{
    backlog::{FULL_WAIT, outside},
    held::Held,
};

/// Added to the load of a target in another availability zone: a message
/// there and back costs some 3 ms and traffic between zones, so the own zone is
/// preferred until its targets are fuller by this part of their slots.
const FAR: f64 = 0.15;

/// Added to the load of a target for each part of its recent requests that
/// failed: a target that fails half of them is avoided while any other is less
/// than full.
const FAILED: f64 = 2.0;

/// Weight of the newest outcome in a target's share of failures; about ten
/// requests make up their mind about it.
const NEWEST: f64 = 0.15;

/// How long a share of failures takes to fall to half without any request: a
/// target that recovers is tried again within seconds.
const FORGIVE: Duration = Duration::from_secs(3);

/// How long a target rests that couldn't be connected to or fell silent.
const REST: Duration = Duration::from_millis(1_500);

/// How long the word on an adapter that isn't on its way yet counts: whoever waits
/// asks again each 300 ms.
const EXPECTED_FRESH: Duration = Duration::from_millis(400);

/// Where a request may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this target, by id.
    Send(String),
    /// No target has the adapter yet; one will after this time.
    Wait(Duration),
    /// No target has the adapter, nor is it on its way.
    Missing,
    /// The service has no target that takes requests.
    Nobody,
}

/// What an entry instance knows of targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    zone: String,
    targets: BTreeMap<String, Known>,
    /// Versions that operators named.
    versions: BTreeMap<String, Named>,
    /// Requests under way at each target over all other instances.
    others: BTreeMap<String, u32>,
    /// Prompt tokens of theirs that it hasn't read yet.
    unread_others: BTreeMap<String, u64>,
    /// Prompt tokens that targets read a second, as requests have shown.
    speed: Option<f64>,
    /// Requests for each adapter since they were last taken.
    demand: BTreeMap<String, u32>,
    /// Adapters that are not on their way yet: when they can be used, and when
    /// that was said.
    expected: BTreeMap<String, (Time, Time)>,
    /// What came of first requests since it was last taken, by zone.
    firsts: BTreeMap<String, Vec<First>>,
    /// How long targets took for what they had to read, since it was last taken.
    paces: BTreeMap<String, Pace>,
    /// Targets of which something told was dropped here, as they showed otherwise.
    doubted: BTreeSet<String>,
    /// Sets this instance's choices among equals apart from those of others.
    seed: u64,
    /// Requests sent so far.
    sent: u64,
}

/// A version that operators named.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: u32,
    /// When it was first heard of here.
    since: Time,
}

#[derive(Clone, Debug)]
struct Known {
    target: Target,
    residents: BTreeMap<String, Held>,
    own: BTreeMap<String, u32>,
    /// Prompt tokens sent from here that are not read yet.
    unread: u64,
    trouble: Trouble,
}

#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    share: f64,
    at: Time,
    rest: Option<Time>,
}

impl View {
    /// Makes the view of an instance in `zone` that knows nothing yet; `seed` differs
    /// between instances.
    #[must_use]
    pub fn new(zone: impl Into<String>, seed: Seed) -> Self {
        View {
            zone: zone.into(),
            seed: seed.0,
            ..View::default()
        }
    }

    /// Takes the newest list of the targets of `zones`.
    pub fn set_targets(&mut self, now: Time, zones: &[String], targets: Vec<Target>) {
        let all = std::mem::take(&mut self.targets);
        let listed: BTreeSet<_> = targets.iter().map(|t| t.id.clone()).collect();
        let in_zones =
            |id: &String, known: &Known| zones.contains(&known.target.zone) || listed.contains(id);
        let (mut old, rest) = all.into_iter().partition(|(id, known)| in_zones(id, known));
        self.targets = rest;
        for target in targets {
            let before = old.remove(&target.id);
            self.add_target(now, target, before);
        }
        self.keep_busy(old);
    }

    /// Takes targets that have changed or were doubted, and the ids of those that are
    /// gone; the others stay as they are.
    pub fn change_targets(&mut self, now: Time, targets: Vec<Target>, gone: &[String]) {
        for target in targets {
            let before = self.targets.remove(&target.id);
            self.add_target(now, target, before);
        }
        let gone = gone.iter().filter_map(|id| self.targets.remove_entry(id));
        let gone: BTreeMap<_, _> = gone.collect();
        self.keep_busy(gone);
    }

    fn add_target(&mut self, now: Time, target: Target, before: Option<Known>) {
        let residents = target.residents.iter().map(|resident| {
            let old = before.as_ref();
            let old = old.and_then(|known| known.residents.get(&resident.adapter));
            (resident.adapter.clone(), Held::told(now, resident, old))
        });
        let known = Known {
            residents: residents.collect(),
            own: before.as_ref().map(|k| k.own.clone()).unwrap_or_default(),
            unread: before.as_ref().map_or(0, |k| k.unread),
            trouble: before.map(|k| k.trouble).unwrap_or_default(),
            target,
        };
        self.targets.insert(known.target.id.clone(), known);
    }

    /// Keeps targets that are gone while requests are under way there, or the end of
    /// these would be taken off another's.
    fn keep_busy(&mut self, gone: BTreeMap<String, Known>) {
        for (id, mut known) in gone {
            if known.own.values().any(|n| *n > 0) {
                known.target.ready = false;
                self.targets.insert(id, known);
            }
        }
    }

    /// Returns and forgets the targets of `zones` that have to be told again, as what
    /// was told of them was dropped here.
    pub fn take_doubted(&mut self, zones: &[String]) -> Vec<String> {
        let targets = &self.targets;
        let there = |id: &String| {
            targets
                .get(id)
                .is_some_and(|k| zones.contains(&k.target.zone))
        };
        let (due, rest) = std::mem::take(&mut self.doubted)
            .into_iter()
            .partition(there);
        self.doubted = rest;
        let due: BTreeSet<String> = due;
        due.into_iter().collect()
    }

    /// Takes the named versions of adapters.
    pub fn set_versions(&mut self, now: Time, versions: impl IntoIterator<Item = (String, u32)>) {
        for (adapter, version) in versions {
            let held = self.versions.get(&adapter);
            if held.is_none_or(|held| version > held.version) {
                let named = Named {
                    version,
                    since: now,
                };
                self.versions.insert(adapter, named);
            }
        }
    }

    /// Takes how much others run at the targets of `zones`.
    pub fn set_others(
        &mut self,
        zones: &[String],
        others: impl IntoIterator<Item = (String, u32)>,
    ) {
        let targets = &self.targets;
        self.others.retain(|id, _| outside(targets, zones, id));
        self.others.extend(others);
    }

    /// Takes the time until adapters that were asked for can be used.
    pub fn set_waits(&mut self, now: Time, waits: Vec<(String, Duration)>) {
        self.expected
            .retain(|_, (_, said)| now.since(*said) < EXPECTED_FRESH);
        let waits = waits.into_iter();
        self.expected
            .extend(waits.map(|(adapter, wait)| (adapter, (now + wait, now))));
    }

    /// Returns when an adapter that isn't on its way yet can be used, by the word
    /// of whoever orders it.
    #[must_use]
    pub fn expected(&self, now: Time, adapter: &str) -> Option<Time> {
        let (at, said) = self.expected.get(adapter)?;
        (now.since(*said) < EXPECTED_FRESH).then_some(*at)
    }

    /// Returns the zones that have a target of `service` which takes requests.
    #[must_use]
    pub fn zones_of(&self, service: &str) -> BTreeSet<String> {
        let ready = self.targets.values().map(|known| &known.target);
        let ready = ready.filter(|t| t.ready && t.service == service);
        ready.map(|t| t.zone.clone()).collect()
    }

    /// Returns the version that requests for `adapter` have to run on, where
    /// one was named.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u32> {
        self.versions.get(adapter).map(|named| named.version)
    }

    /// Returns where a target is reached.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<&str> {
        self.targets.get(id).map(|k| k.target.addr.as_str())
    }

    /// Counts a request for an adapter.
    pub fn count(&mut self, adapter: &str) {
        *self.demand.entry(adapter.to_owned()).or_default() += 1;
    }

    /// Returns and forgets the counted requests.
    pub fn take_demand(&mut self) -> Vec<(String, u32)> {
        std::mem::take(&mut self.demand).into_iter().collect()
    }

    /// Returns targets that can't be reached from here.
    #[must_use]
    pub fn failing(&self, now: Time) -> Vec<String> {
        let resting = self.targets.iter().filter(|(_, known)| known.rests(now));
        resting.map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many adapters are on their way to targets outside `zones`.
    #[must_use]
    pub fn elsewhere(&self, now: Time, zones: &[String]) -> u32 {
        let others = self.targets.values();
        let others = others.filter(|known| !zones.contains(&known.target.zone));
        let coming = others.flat_map(|known| known.residents.values());
        let coming = coming.filter(|held| held.ready > now).count();
        u32::try_from(coming).unwrap_or(u32::MAX)
    }

    /// Returns the requests under way here at the targets of `zones`.
    #[must_use]
    pub fn running(&self, zones: &[String]) -> Vec<Running> {
        let there = self.targets.iter();
        let there = there.filter(|(_, known)| zones.contains(&known.target.zone));
        let each = there.flat_map(|(id, known)| {
            let own = known.own.iter().filter(|(_, count)| **count > 0);
            own.map(move |(adapter, count)| Running {
                target: id.clone(),
                adapter: adapter.clone(),
                count: *count,
            })
        });
        each.collect()
    }

    /// Chooses a target of `service` for a request that uses `adapter` (empty
    /// for none) and has failed on `tried` already.
    #[must_use]
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        adapter: &str,
        tried: &BTreeSet<String>,
    ) -> Choice {
        let of_service = self.targets.values();
        let ready: Vec<_> = of_service
            .filter(|k| k.target.service == service && k.target.ready)
            .collect();
        if ready.is_empty() {
            return Choice::Nobody;
        }
        let holders = ready.iter().filter(|k| self.holds(k, adapter));
        // Failure: the only holder of an adapter has crashed, and is listed for
        // seconds more. Requests would go to it again and again. Another copy
        // can be loaded in a quarter of a second, so whoever is out of reach
        // counts as no holder.
        let holders: Vec<_> = holders
            .filter(|k| adapter.is_empty() || !(k.rests(now) || tried.contains(&k.target.id)))
            .collect();
        if holders.is_empty() {
            return Choice::Missing;
        }
        let usable = holders.iter().filter(|k| usable(k, now, adapter));
        let rated: Vec<_> = usable.map(|k| (self.cost(now, k, tried), **k)).collect();
        if let Some(best) = self.pick(&rated) {
            return Choice::Send(best.target.id.clone());
        }
        let at = holders.iter().filter_map(|k| k.residents.get(adapter));
        let soonest = at.map(|held| held.ready.since(now)).min();
        Choice::Wait(soonest.unwrap_or_default())
    }

    /// Notes that a request with so many prompt tokens was sent to a target, and
    /// returns what that has to read until it can answer.
    pub fn begin(&mut self, id: &str, adapter: &str, tokens: u64) -> u64 {
        self.sent += 1;
        let Some(known) = self.targets.get_mut(id) else {
            return tokens;
        };
        known.unread += tokens;
        *known.own.entry(adapter.to_owned()).or_default() += 1;
        self.ahead(&self.targets[id])
    }

    /// Notes that a target has read so many prompt tokens, or never will.
    pub fn read(&mut self, id: &str, tokens: u64) {
        if let Some(known) = self.targets.get_mut(id) {
            known.unread = known.unread.saturating_sub(tokens);
        }
    }

    /// Notes the end of a request at a target.
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

    /// Notes whether a target did what it was asked.
    pub fn outcome(&mut self, now: Time, id: &str, good: bool) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let share = known.trouble.now(now);
        let newest = if good { 0.0 } else { 1.0 };
        known.trouble.share = share + (newest - share) * NEWEST;
        known.trouble.at = now;
        if good {
            known.trouble.rest = None;
        }
    }

    /// Notes that a target couldn't be reached or fell silent.
    pub fn unreachable(&mut self, now: Time, id: &str) {
        self.outcome(now, id, false);
        if let Some(known) = self.targets.get_mut(id) {
            known.trouble.rest = Some(now + REST);
        }
    }

    /// Notes that a target took a request and broke off without an answer.
    ///
    /// Failure: a target loses its answers while it runs what it is sent. Had it
    /// counted as out of reach, its adapters would be loaded again elsewhere,
    /// and half of the engines of a zone stood idle for as long.
    pub fn broke_off(&mut self, now: Time, id: &str) {
        self.outcome(now, id, false);
    }

    /// Notes that a target holds an adapter but can't use it for a while.
    pub fn not_yet(&mut self, now: Time, id: &str, adapter: &str, wait: Duration) {
        if let Some(known) = self.targets.get_mut(id)
            && let Some(held) = known.residents.get_mut(adapter)
        {
            held.ready = held.ready.max(now + wait);
        }
    }

    /// Tells whether a target holds an adapter in the version that counts.
    ///
    /// Failure: a version was named and some targets still hold the one before.
    /// Callers would see the new and the old answer by turns. Only holders of
    /// the newest version are chosen from the moment it is known here.
    fn holds(&self, known: &Known, adapter: &str) -> bool {
        if adapter.is_empty() {
            return true;
        }
        let Some(held) = known.residents.get(adapter) else {
            return false;
        };
        let named = self.version(adapter).unwrap_or(0);
        held.version == 0 || held.version >= named
    }

    fn cost(&self, now: Time, known: &Known, tried: &BTreeSet<String>) -> f64 {
        let target = &known.target;
        let own: u32 = known.own.values().sum();
        let others = self.others.get(&target.id).copied().unwrap_or(0);
        let slots = f64::from(target.slots.max(1));
        let mut cost = f64::from(own + others) / slots * known.slow();
        if target.zone != self.zone {
            cost += FAR;
        }
        cost += self.backlog(known) / FULL_WAIT;
        cost += FAILED * known.trouble.now(now);
        if known.rests(now) {
            cost += 10.0;
        }
        if tried.contains(&target.id) {
            cost += 100.0;
        }
        cost
    }
}

impl Known {
    /// Returns how many times as long as others the target takes.
    fn slow(&self) -> f64 {
        (f64::from(self.target.slowness) / 100.0).max(1.0)
    }

    /// Tells whether the target couldn't be reached a moment ago.
    fn rests(&self, now: Time) -> bool {
        self.trouble.rest.is_some_and(|until| now < until)
    }
}

impl Trouble {
    fn now(&self, now: Time) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / FORGIVE.as_secs_f64();
        self.share * 0.5_f64.powf(halves)
    }
}

fn usable(known: &Known, now: Time, adapter: &str) -> bool {
    adapter.is_empty()
        || known
            .residents
            .get(adapter)
            .is_some_and(|held| held.ready <= now)
}
