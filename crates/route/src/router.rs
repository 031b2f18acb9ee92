//! The entry's choice of a target.

mod explain;
mod known;
mod prefixes;

use std::{collections::BTreeMap, time::Duration};

use base::{AdapterKey, AdapterNo, Class, Failure, Refusal, StableHash, TargetNo, Time, Version};
use place::Demand;

use crate::{
    Ask, Choice, News, PoolNo, Report, Residents, Target, ZoneNo,
    draw::Draw,
    router::{known::Known, prefixes::Prefixes},
};

pub use self::explain::{Candidate, Explanation, Standing};

/// Load up to which requests are gathered on the adapter's first engine: a
/// fuller batch generates more tokens a second.
const PACK: f32 = 0.9;

/// Thousandths of a use a second that a full engine makes up for among homes:
/// a request adds less to a step that has others in it.
const FULL_WORTH: f32 = 20.0;

/// Load that being in the same zone makes up for among holders with room.
const NEAR_WORTH: f32 = 0.05;

/// Load of all holders from which a request goes to an engine that has to
/// load the adapter first; above one, because a load costs more than a short
/// queue.
const SPREAD: f32 = 1.1;

/// The same for batch work, which can wait and should not eat the store's
/// budget.
const SPREAD_BATCH: f32 = 4.0;

/// Demand here, in requests a second, from which an adapter gets a further
/// copy already at [`PACK`].
const HOT_RATE: f32 = 0.5;

/// Load by which a target of another zone must be better to be chosen.
const ZONE_WORTH: f32 = 0.25;

/// How long requests stay with the version before while the new one is
/// loaded; short, since an accepted text is in force within seconds.
const ROLL_GRACE: Duration = Duration::from_secs(2);

/// First homes that are weighed against each other for a load.
const HOMES: usize = 4;

/// Longest wait hinted at when no target can be used.
const RETRY_SECS: f64 = 2.0;

/// An entry instance's directory of targets and its choice among them.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneNo,
    targets: Vec<Option<Known>>,
    pools: Vec<Vec<Member>>,
    /// Stable hashes of adapters' names, by number.
    adapters: Vec<StableHash>,
    demand: Demand,
    /// Engines that hold an adapter, first home first.
    holders: BTreeMap<AdapterKey, Vec<TargetNo>>,
    prefixes: Prefixes,
    rolls: BTreeMap<AdapterNo, Roll>,
    /// Seconds to the first token, smoothed over all targets.
    begin: f32,
    draw: Draw,
}

/// A target in its pool's list.
#[derive(Clone, Copy, Debug)]
struct Member {
    hash: StableHash,
    target: TargetNo,
}

/// A version on its way.
#[derive(Clone, Copy, Debug)]
struct Roll {
    old: Version,
    at: Time,
}

impl Router {
    /// Makes a router for an instance in `zone`; `seed` breaks ties.
    #[must_use]
    pub fn new(zone: ZoneNo, seed: u64) -> Self {
        Router {
            zone,
            targets: Vec::new(),
            pools: Vec::new(),
            adapters: Vec::new(),
            demand: Demand::new(),
            holders: BTreeMap::new(),
            prefixes: Prefixes::new(),
            rolls: BTreeMap::new(),
            begin: 0.0,
            draw: Draw::new(seed),
        }
    }

    /// Takes in one change.
    pub fn note(&mut self, now: Time, news: News) {
        match news {
            News::Adapter { adapter, hash } => self.adapter(adapter, hash),
            News::Target(target) => self.target(now, target),
            News::Leaving(target) => self.with(target, |known| known.leaving = true),
            News::Reachable(target, yes) => self.with(target, |known| known.reachable = yes),
            News::Removed(target) => self.removed(target),
            News::Residents(news) => self.residents(&news),
            News::Report(report) => self.report(&report),
            News::Started(target) => self.with(target, |known| known.own += 1),
            News::Began(target, after) => self.began(target, after),
            News::Ended { target, ok } => self.with(target, |known| known.ended(now, ok)),
            News::Rolled { old, new } => {
                let roll = Roll {
                    old: old.version,
                    at: now,
                };
                self.rolls.insert(new.adapter, roll);
            }
        }
    }

    /// Chooses the target for one attempt, passing over those in `avoid`.
    ///
    /// # Errors
    ///
    /// Fails as `not run` when no target of the pool can take it.
    pub fn choose(&mut self, now: Time, ask: &Ask, avoid: &[TargetNo]) -> Result<Choice, Failure> {
        let Some(key) = ask.key else {
            return self.choose_plain(now, ask.pool, avoid);
        };
        self.demand.note(now, key.adapter, 1.0);
        let Some(target) = self.pick(now, ask, key, avoid) else {
            return Err(self.unavailable());
        };
        self.prefixes.note(now, ask.prefix, target);
        self.with(target, |known| known.chosen(ask.class));
        let resident = self
            .known(target)
            .is_some_and(|k| k.residents.contains(&key));
        Ok(Choice { target, resident })
    }

    /// Returns the version to pin a new request to: `newest`, or during a
    /// roll the version before it, until the newest is loaded somewhere.
    ///
    /// Guards against a gap at each roll: sent at once to the new version,
    /// every request would wait for the same load, which shows as a stall of
    /// a hot adapter.
    #[must_use]
    pub fn pin(&self, now: Time, adapter: AdapterNo, newest: Version) -> Version {
        let Some(roll) = self.rolls.get(&adapter) else {
            return newest;
        };
        let held = |version| self.holders.contains_key(&AdapterKey { adapter, version });
        if held(newest) || !held(roll.old) || now.since(roll.at) >= ROLL_GRACE {
            return newest;
        }
        base::hit!(pinned_to_old_version);
        roll.old
    }

    /// Returns the engine for a request that is meant for `key`.
    fn pick(&self, now: Time, ask: &Ask, key: AdapterKey, avoid: &[TargetNo]) -> Option<TargetNo> {
        let holder = self.best_holder(now, ask, key, avoid);
        let limit = self.spread_limit(now, ask.class, key);
        match holder {
            Some((target, load)) if load < limit => Some(target),
            _ => match (self.best_home(now, ask, key, avoid), holder) {
                (Some((home, at)), Some((target, load)))
                    if at + ZONE_WORTH > load || home == target =>
                {
                    Some(target)
                }
                (Some((home, _)), _) => Some(home),
                (None, Some((target, _))) => Some(target),
                (None, None) => None,
            },
        }
    }

    /// Returns the holder to send to and its load.
    fn best_holder(
        &self,
        now: Time,
        ask: &Ask,
        key: AdapterKey,
        avoid: &[TargetNo],
    ) -> Option<(TargetNo, f32)> {
        let holders = self.holders.get(&key)?;
        let cached = self.prefixes.get(now, ask.prefix);
        let mut packed: Option<(f32, TargetNo, f32)> = None;
        let mut least: Option<(TargetNo, f32)> = None;
        for target in holders.iter().filter(|t| !avoid.contains(t)) {
            let Some(known) = self.known(*target).filter(|k| k.usable() && !k.is_out(now)) else {
                continue;
            };
            let load = known.load(now, ask.class, self.begin);
            if load < PACK && cached == Some(*target) {
                return Some((*target, load));
            }
            let near = known.target.zone == self.zone;
            let fullness = load + if near { NEAR_WORTH } else { 0.0 };
            if load < PACK && packed.is_none_or(|(best, _, _)| fullness > best) {
                packed = Some((fullness, *target, load));
            }
            if least.is_none_or(|(_, best)| load < best) {
                least = Some((*target, load));
            }
        }
        packed.map(|(_, target, load)| (target, load)).or(least)
    }

    /// Load of the best holder from which another engine may load.
    fn spread_limit(&self, now: Time, class: Class, key: AdapterKey) -> f32 {
        if class == Class::Batch {
            return SPREAD_BATCH;
        }
        match self.demand.get(key.adapter).quick(now) >= HOT_RATE {
            true => PACK,
            false => SPREAD,
        }
    }

    /// Returns the engine to load on and its load: of the first homes by
    /// rendezvous hashing, the one where least is evicted.
    fn best_home(
        &self,
        now: Time,
        ask: &Ask,
        key: AdapterKey,
        avoid: &[TargetNo],
    ) -> Option<(TargetNo, f32)> {
        let pool = self.pools.get(ask.pool.0 as usize)?;
        let hash = self.hash(key.adapter);
        let mut homes: [(u64, Option<TargetNo>); HOMES] = [(0, None); HOMES];
        let mut spare: Option<(u64, TargetNo)> = None;
        for member in pool {
            let rank = place::home_rank(hash, member.hash);
            if rank < homes[HOMES - 1].0 || avoid.contains(&member.target) {
                continue;
            }
            let Some(known) = self.known(member.target).filter(|k| k.usable()) else {
                continue;
            };
            if known.is_out(now) || known.load(now, ask.class, self.begin) >= 1.0 {
                spare = spare.max(Some((rank, member.target)));
                continue;
            }
            homes[HOMES - 1] = (rank, Some(member.target));
            homes.sort_unstable_by(|a, b| b.cmp(a));
        }
        let homes = homes.iter().filter_map(|(_, target)| *target);
        let costs = homes.filter_map(|target| {
            let known = self.known(target)?;
            let load = known.load(now, ask.class, self.begin);
            Some((known.worth as f32 - FULL_WORTH * load, target, load))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        // Where every home is full or left out, the first one that can be
        // reached takes it: never are all ejected at once.
        best.map(|(_, target, load)| (target, load)).or_else(|| {
            let (_, target) = spare?;
            base::hit!(never_all_out);
            Some((target, self.known(target)?.load(now, ask.class, self.begin)))
        })
    }

    /// Chooses the least loaded target, one of the own zone unless another is
    /// clearly better.
    fn choose_plain(
        &mut self,
        now: Time,
        pool: PoolNo,
        avoid: &[TargetNo],
    ) -> Result<Choice, Failure> {
        let first = self.draw.part();
        match self.least_loaded(now, pool, avoid, first) {
            Some(target) => Ok(Choice {
                target,
                resident: true,
            }),
            None => Err(self.unavailable()),
        }
    }

    /// Returns the least loaded target, one of the own zone unless another is
    /// clearly better; `first`, below one, says where the search begins.
    fn least_loaded(
        &self,
        now: Time,
        pool: PoolNo,
        avoid: &[TargetNo],
        first: f64,
    ) -> Option<TargetNo> {
        let members = self
            .pools
            .get(pool.0 as usize)
            .map_or(&[][..], Vec::as_slice);
        let start = (first * members.len() as f64) as usize;
        let mut best: Option<(bool, f32, TargetNo)> = None;
        for i in 0..members.len() {
            let target = members[(start + i) % members.len()].target;
            let Some(known) = self.known(target).filter(|k| k.usable()) else {
                continue;
            };
            if avoid.contains(&target) {
                continue;
            }
            let far = known.target.zone != self.zone;
            let load =
                known.load(now, Class::Critical, self.begin) + if far { ZONE_WORTH } else { 0.0 };
            let cost = (known.is_out(now), load, target);
            if best.is_none_or(|b| (cost.0, cost.1) < (b.0, b.1)) {
                best = Some(cost);
            }
        }
        best.map(|(_, _, target)| target)
    }

    fn unavailable(&mut self) -> Failure {
        let wait = RETRY_SECS * (0.5 + self.draw.part());
        Failure::not_run(Refusal::Unavailable).retry_after(Duration::from_secs_f64(wait))
    }

    fn adapter(&mut self, adapter: AdapterNo, hash: StableHash) {
        let i = adapter.0 as usize;
        if self.adapters.len() <= i {
            self.adapters.resize(i + 1, 0);
        }
        self.adapters[i] = hash;
        self.demand.reserve(adapter);
    }

    fn hash(&self, adapter: AdapterNo) -> StableHash {
        let found = self.adapters.get(adapter.0 as usize);
        found.copied().unwrap_or(u64::from(adapter.0))
    }

    fn target(&mut self, now: Time, target: Target) {
        let i = target.target.0 as usize;
        if self.targets.len() <= i {
            self.targets.resize(i + 1, None);
        }
        let Some(known) = &mut self.targets[i] else {
            self.targets[i] = Some(Known::new(now, target));
            let pool = target.pool.0 as usize;
            if self.pools.len() <= pool {
                self.pools.resize(pool + 1, Vec::new());
            }
            self.pools[pool].push(Member {
                hash: target.hash,
                target: target.target,
            });
            return;
        };
        if known.target.incarnation == target.incarnation {
            known.target = target;
            known.leaving = false;
            return;
        }
        let held = std::mem::take(&mut known.residents);
        known.restarted(now, target);
        for key in held {
            self.drop_holder(key, target.target);
        }
        self.prefixes.forget(target.target);
    }

    fn removed(&mut self, target: TargetNo) {
        let Some(slot) = self.targets.get_mut(target.0 as usize) else {
            return;
        };
        let Some(known) = slot.take() else {
            return;
        };
        for key in known.residents {
            self.drop_holder(key, target);
        }
        self.pools[known.target.pool.0 as usize].retain(|m| m.target != target);
        self.prefixes.forget(target);
    }

    fn residents(&mut self, news: &Residents) {
        let Some(known) = self.known_mut(news.target) else {
            return;
        };
        if news.fence < known.fence {
            base::hit!(old_owner_ignored);
            return;
        }
        known.fence = news.fence;
        known.told_by_owner(news.running, news.queued, news.worth);
        if news.whole {
            for key in std::mem::take(&mut known.residents) {
                self.drop_holder(key, news.target);
            }
        }
        for key in &news.removed {
            if let Some(known) = self.known_mut(news.target) {
                known.residents.retain(|k| k != key);
            }
            self.drop_holder(*key, news.target);
        }
        for key in &news.added {
            self.add_holder(*key, news.target);
        }
    }

    fn add_holder(&mut self, key: AdapterKey, target: TargetNo) {
        let Some(known) = self.known_mut(target) else {
            return;
        };
        if known.residents.contains(&key) {
            return;
        }
        known.residents.push(key);
        let hash = self.hash(key.adapter);
        let targets = &self.targets;
        let rank = |t: &TargetNo| {
            let known = targets.get(t.0 as usize).and_then(Option::as_ref);
            std::cmp::Reverse(known.map_or(0, |k| place::home_rank(hash, k.target.hash)))
        };
        let holders = self.holders.entry(key).or_default();
        holders.push(target);
        holders.sort_by_key(rank);
    }

    fn drop_holder(&mut self, key: AdapterKey, target: TargetNo) {
        let Some(holders) = self.holders.get_mut(&key) else {
            return;
        };
        holders.retain(|t| *t != target);
        if holders.is_empty() {
            self.holders.remove(&key);
        }
    }

    /// Takes in an engine's report.
    ///
    /// Guards against reports from before a restart, which arrive late: they
    /// name a load and a cache that are gone.
    fn report(&mut self, report: &Report) {
        let Some(known) = self.known_mut(report.target) else {
            return;
        };
        if known.target.incarnation != report.incarnation {
            base::hit!(report_before_restart);
            return;
        }
        known.reported(report.taken, report.running + report.waiting);
        for prefix in &report.cached {
            self.prefixes.note(report.taken, *prefix, report.target);
        }
    }

    fn began(&mut self, target: TargetNo, after: Duration) {
        self.begin += 0.02 * (after.as_secs_f32() - self.begin);
        self.with(target, |known| known.began(after));
    }

    fn with(&mut self, target: TargetNo, change: impl FnOnce(&mut Known)) {
        if let Some(known) = self.known_mut(target) {
            change(known);
        }
    }

    fn known(&self, target: TargetNo) -> Option<&Known> {
        self.targets.get(target.0 as usize)?.as_ref()
    }

    fn known_mut(&mut self, target: TargetNo) -> Option<&mut Known> {
        self.targets.get_mut(target.0 as usize)?.as_mut()
    }
}
