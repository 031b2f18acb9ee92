//! The entry instance's choice of a target for each request.

mod explain;
mod prefixes;
mod target_state;

use std::{collections::BTreeMap, time::Duration};

use base::{
    AdapterKey, AdapterNo, Class, Failure, Refusal, Seed, StableHash, TargetNo, Time, Version,
};
use place::Demand;
use rest::Rests;

use crate::{
    Choice, PoolNo, Report, RequestSpec, Residents, RouterUpdate, Target, ZoneNo,
    rng::Rng,
    router::{prefixes::Prefixes, target_state::TargetState},
};

pub use self::explain::{Candidate, Eligibility, Explanation};

/// Load below which a holder takes more requests. The fullest holder below it is
/// preferred: an engine generates more tokens a second with a fuller batch.
const PACK_LOAD: f32 = 0.9;

/// Weight of an engine's load against its eviction cost when home engines are compared: a
/// fully loaded engine makes up for this many thousandths of a use a second, because a
/// request added to a batch that runs anyway costs less.
const HOME_LOAD_WEIGHT: f32 = 20.0;

/// Bonus, as load, of holders in this instance's zone among those below [`PACK_LOAD`].
const SAME_ZONE_BONUS: f32 = 0.05;

/// Load of the best holder from which a request may go to an engine that must load the
/// adapter first. Above one, because a load costs more than a short queue.
const SPREAD_LOAD: f32 = 1.1;

/// [`SPREAD_LOAD`] for batch requests, which can wait and should not use up the weight
/// store's budget.
const SPREAD_LOAD_BATCH: f32 = 4.0;

/// Requests a second, seen by this instance, from which an adapter gets a further copy
/// already at [`PACK_LOAD`].
const HOT_RATE: f32 = 0.5;

/// Load difference that justifies a target of another zone, or a load on another engine
/// instead of the preferred holder.
const SWITCH_MARGIN: f32 = 0.25;

/// How long requests are pinned to the previous version while the new one is loaded.
/// Short, since an accepted text must be in force within seconds.
const OLD_VERSION_GRACE: Duration = Duration::from_secs(2);

/// Number of highest-ranked home engines, see [`place::home_rank`], that are compared for a
/// load.
const HOME_CANDIDATES: usize = 4;

/// Mean of `Retry-After`, in seconds, when no target can be used.
const RETRY_AFTER_SECS: f64 = 2.0;

/// An entry instance's directory of targets and its choice among them.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneNo,
    targets: Vec<Option<TargetState>>,
    pools: Vec<Vec<Member>>,
    /// Stable hashes of adapters' names, indexed by adapter number.
    adapters: Vec<StableHash>,
    demand: Demand,
    /// Engines that have the adapter version resident, by descending home rank.
    holders: BTreeMap<AdapterKey, Vec<TargetNo>>,
    prefixes: Prefixes,
    upgrades: BTreeMap<AdapterNo, Upgrade>,
    /// Targets that have asked this instance for rest.
    rests: Rests<TargetNo>,
    /// Seconds to the first token: moving average over all targets.
    first_token: f32,
    rng: Rng,
}

/// An entry of a pool's list of targets.
#[derive(Clone, Copy, Debug)]
struct Member {
    hash: StableHash,
    target: TargetNo,
}

/// The last change of an adapter's version in the text in force.
#[derive(Clone, Copy, Debug)]
struct Upgrade {
    old: Version,
    /// When the new version was named.
    at: Time,
}

impl Router {
    /// Creates a router for an instance in `zone`; `seed` is used to break ties and to
    /// spread `Retry-After`.
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
            upgrades: BTreeMap::new(),
            rests: Rests::new(Seed(seed)),
            first_token: 0.0,
            rng: Rng::new(seed),
        }
    }

    /// Applies one update.
    pub fn apply(&mut self, now: Time, update: RouterUpdate) {
        match update {
            RouterUpdate::Adapter { adapter, hash } => self.adapter(adapter, hash),
            RouterUpdate::Target(target) => self.target(now, target),
            RouterUpdate::Leaving(target) => {
                self.update_target(target, |state| state.leaving = true)
            }
            RouterUpdate::Rests(target, rest) => {
                self.rests.asked(now, &target, rest);
            }
            RouterUpdate::SaysLeaving(target) => {
                self.update_target(target, |state| state.said_leaving = true);
            }
            RouterUpdate::Reachable(target, yes) => {
                self.update_target(target, |state| state.reachable = yes)
            }
            RouterUpdate::Removed(target) => self.removed(target),
            RouterUpdate::Residents(update) => self.residents(&update),
            RouterUpdate::Report(report) => self.report(&report),
            RouterUpdate::AttemptSent(target) => {
                self.rests.begin(now, &target);
                self.update_target(target, |state| state.in_flight += 1)
            }
            RouterUpdate::ResponseBegan(target, after) => self.began(target, after),
            RouterUpdate::AttemptEnded { target, ok } => {
                self.update_target(target, |state| state.ended(now, ok))
            }
            RouterUpdate::VersionChanged { old, new } => {
                let upgrade = Upgrade {
                    old: old.version,
                    at: now,
                };
                self.upgrades.insert(new.adapter, upgrade);
            }
        }
    }

    /// Chooses the target for one attempt, leaving out those in `avoid`.
    ///
    /// # Errors
    ///
    /// Fails as `not run` when no target of the pool can take the request.
    pub fn choose(
        &mut self,
        now: Time,
        spec: &RequestSpec,
        avoid: &[TargetNo],
    ) -> Result<Choice, Failure> {
        let Some(key) = spec.key else {
            return self.choose_plain(now, spec.pool, avoid);
        };
        self.demand.note(now, key.adapter, 1.0);
        let Some(target) = self.pick(now, spec, key, avoid) else {
            return Err(self.unavailable(now, spec.pool));
        };
        self.prefixes.note(now, spec.prefix, target);
        self.update_target(target, |state| state.count_chosen(spec.class));
        let resident = self
            .state(target)
            .is_some_and(|k| k.residents.contains(&key));
        Ok(Choice { target, resident })
    }

    /// Returns the version to pin a new request to: `newest`, or, shortly after a version
    /// change, the previous version until the newest one is resident somewhere.
    ///
    /// Guards against a stall of busy adapters at each version change: if all requests
    /// went to the new version at once, they would all wait for the same load.
    #[must_use]
    pub fn pin(&self, now: Time, adapter: AdapterNo, newest: Version) -> Version {
        let Some(upgrade) = self.upgrades.get(&adapter) else {
            return newest;
        };
        let held = |version| self.holders.contains_key(&AdapterKey { adapter, version });
        if held(newest) || !held(upgrade.old) || now.since(upgrade.at) >= OLD_VERSION_GRACE {
            return newest;
        }
        base::hit!(pinned_to_old_version);
        upgrade.old
    }

    /// Returns the engine for a request that is pinned to `key`.
    fn pick(
        &self,
        now: Time,
        spec: &RequestSpec,
        key: AdapterKey,
        avoid: &[TargetNo],
    ) -> Option<TargetNo> {
        let holder = self.best_holder(now, spec, key, avoid);
        let limit = self.spread_limit(now, spec.class, key);
        match holder {
            Some((target, load)) if load < limit => Some(target),
            _ => match (self.best_home(now, spec, key, avoid), holder) {
                (Some((home, at)), Some((target, load)))
                    if at + SWITCH_MARGIN > load || home == target =>
                {
                    Some(target)
                }
                (Some((home, _)), _) => Some(home),
                (None, Some((target, _))) => Some(target),
                (None, None) => None,
            },
        }
    }

    /// Returns the preferred holder and its load.
    fn best_holder(
        &self,
        now: Time,
        spec: &RequestSpec,
        key: AdapterKey,
        avoid: &[TargetNo],
    ) -> Option<(TargetNo, f32)> {
        let holders = self.holders.get(&key)?;
        let cached = self.prefixes.get(now, spec.prefix);
        let mut packed: Option<(f32, TargetNo, f32)> = None;
        let mut least: Option<(TargetNo, f32)> = None;
        for target in holders.iter().filter(|t| !avoid.contains(t)) {
            let Some(state) = self
                .state(*target)
                .filter(|k| self.takes(now, k) && !k.is_ejected(now))
            else {
                continue;
            };
            let load = state.load(now, spec.class, self.first_token);
            if load < PACK_LOAD && cached == Some(*target) {
                return Some((*target, load));
            }
            let near = state.target.zone == self.zone;
            let fullness = load + if near { SAME_ZONE_BONUS } else { 0.0 };
            if load < PACK_LOAD && packed.is_none_or(|(best, _, _)| fullness > best) {
                packed = Some((fullness, *target, load));
            }
            if least.is_none_or(|(_, best)| load < best) {
                least = Some((*target, load));
            }
        }
        packed.map(|(_, target, load)| (target, load)).or(least)
    }

    /// Returns the load of the best holder from which another engine may load the
    /// adapter.
    fn spread_limit(&self, now: Time, class: Class, key: AdapterKey) -> f32 {
        if class == Class::Batch {
            return SPREAD_LOAD_BATCH;
        }
        match self.demand.get(key.adapter).fast(now) >= HOT_RATE {
            true => PACK_LOAD,
            false => SPREAD_LOAD,
        }
    }

    /// Returns the engine to load the adapter on, and that engine's load: among the
    /// highest-ranked home engines by rendezvous hashing, the one with the least cost of
    /// eviction and load.
    fn best_home(
        &self,
        now: Time,
        spec: &RequestSpec,
        key: AdapterKey,
        avoid: &[TargetNo],
    ) -> Option<(TargetNo, f32)> {
        let pool = self.pools.get(spec.pool.0 as usize)?;
        let hash = self.hash(key.adapter);
        let mut homes: [(u64, Option<TargetNo>); HOME_CANDIDATES] = [(0, None); HOME_CANDIDATES];
        let mut fallback: Option<(u64, TargetNo)> = None;
        for member in pool {
            let rank = place::home_rank(hash, member.hash);
            if rank < homes[HOME_CANDIDATES - 1].0 || avoid.contains(&member.target) {
                continue;
            }
            let Some(state) = self.state(member.target).filter(|k| self.takes(now, k)) else {
                continue;
            };
            if state.is_ejected(now) || state.load(now, spec.class, self.first_token) >= 1.0 {
                fallback = fallback.max(Some((rank, member.target)));
                continue;
            }
            homes[HOME_CANDIDATES - 1] = (rank, Some(member.target));
            homes.sort_unstable_by(|a, b| b.cmp(a));
        }
        let homes = homes.iter().filter_map(|(_, target)| *target);
        let costs = homes.filter_map(|target| {
            let state = self.state(target)?;
            let load = state.load(now, spec.class, self.first_token);
            Some((
                state.evict_cost as f32 - HOME_LOAD_WEIGHT * load,
                target,
                load,
            ))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        // If every engine is full or ejected, the highest-ranked one that is reachable
        // takes the request: not all engines may be ejected at once.
        best.map(|(_, target, load)| (target, load)).or_else(|| {
            let (_, target) = fallback?;
            base::hit!(all_ejected_fallback);
            Some((
                target,
                self.state(target)?.load(now, spec.class, self.first_token),
            ))
        })
    }

    /// Chooses the least loaded target of a plain service.
    fn choose_plain(
        &mut self,
        now: Time,
        pool: PoolNo,
        avoid: &[TargetNo],
    ) -> Result<Choice, Failure> {
        let first = self.rng.next_f64();
        match self.least_loaded(now, pool, avoid, first) {
            Some(target) => Ok(Choice {
                target,
                resident: true,
            }),
            None => Err(self.unavailable(now, pool)),
        }
    }

    /// Returns the least loaded target, preferring this instance's zone unless another is
    /// clearly better. `first`, below one, is the point of the list at which the search
    /// begins; it decides among equally loaded targets.
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
            let Some(state) = self.state(target).filter(|k| self.takes(now, k)) else {
                continue;
            };
            if avoid.contains(&target) {
                continue;
            }
            let far = state.target.zone != self.zone;
            let load = state.load(now, Class::Critical, self.first_token)
                + if far { SWITCH_MARGIN } else { 0.0 };
            let cost = (state.is_ejected(now), load, target);
            if best.is_none_or(|b| (cost.0, cost.1) < (b.0, b.1)) {
                best = Some(cost);
            }
        }
        best.map(|(_, _, target)| target)
    }

    /// Returns whether the next request may be sent to a target.
    fn takes(&self, now: Time, state: &TargetState) -> bool {
        state.usable() && self.rests.wait(now, &state.target.target).is_none()
    }

    fn unavailable(&mut self, now: Time, pool: PoolNo) -> Failure {
        let members = self.pools.get(pool.0 as usize).into_iter().flatten();
        let rests = members.filter_map(|member| self.rests.left(now, &member.target));
        let rest = rests.min().unwrap_or_default().as_secs_f64();
        let wait = RETRY_AFTER_SECS * (0.5 + self.rng.next_f64());
        let wait = if rest > 0.0 { rest.max(wait) } else { wait };
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
        let Some(state) = &mut self.targets[i] else {
            self.targets[i] = Some(TargetState::new(now, target));
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
        if state.target.incarnation == target.incarnation {
            state.target = target;
            state.leaving = false;
            return;
        }
        let held = std::mem::take(&mut state.residents);
        state.restarted(now, target);
        self.rests.forget(&target.target);
        for key in held {
            self.remove_holder(key, target.target);
        }
        self.prefixes.forget(target.target);
    }

    fn removed(&mut self, target: TargetNo) {
        let Some(slot) = self.targets.get_mut(target.0 as usize) else {
            return;
        };
        let Some(state) = slot.take() else {
            return;
        };
        for key in state.residents {
            self.remove_holder(key, target);
        }
        self.rests.forget(&target);
        self.pools[state.target.pool.0 as usize].retain(|m| m.target != target);
        self.prefixes.forget(target);
    }

    fn residents(&mut self, update: &Residents) {
        let Some(state) = self.state_mut(update.target) else {
            return;
        };
        if update.fence < state.fence {
            base::hit!(former_owner_ignored);
            return;
        }
        state.fence = update.fence;
        state.owner_reported(update.running, update.queued, update.evict_cost);
        if update.full {
            for key in std::mem::take(&mut state.residents) {
                self.remove_holder(key, update.target);
            }
        }
        for key in &update.removed {
            if let Some(state) = self.state_mut(update.target) {
                state.residents.retain(|k| k != key);
            }
            self.remove_holder(*key, update.target);
        }
        for key in &update.added {
            self.add_holder(*key, update.target);
        }
    }

    fn add_holder(&mut self, key: AdapterKey, target: TargetNo) {
        let Some(state) = self.state_mut(target) else {
            return;
        };
        if state.residents.contains(&key) {
            return;
        }
        state.residents.push(key);
        let hash = self.hash(key.adapter);
        let targets = &self.targets;
        let rank = |t: &TargetNo| {
            let state = targets.get(t.0 as usize).and_then(Option::as_ref);
            std::cmp::Reverse(state.map_or(0, |k| place::home_rank(hash, k.target.hash)))
        };
        let holders = self.holders.entry(key).or_default();
        holders.push(target);
        holders.sort_by_key(rank);
    }

    fn remove_holder(&mut self, key: AdapterKey, target: TargetNo) {
        let Some(holders) = self.holders.get_mut(&key) else {
            return;
        };
        holders.retain(|t| *t != target);
        if holders.is_empty() {
            self.holders.remove(&key);
        }
    }

    /// Applies an engine's report.
    ///
    /// Guards against late reports from before a restart: the load and the cached prompts
    /// that they name are gone.
    fn report(&mut self, report: &Report) {
        let Some(state) = self.state_mut(report.target) else {
            return;
        };
        if state.target.incarnation != report.incarnation {
            base::hit!(report_before_restart);
            return;
        }
        state.reported(report.taken, report.running + report.waiting);
        for prefix in &report.cached {
            self.prefixes.note(report.taken, *prefix, report.target);
        }
    }

    fn began(&mut self, target: TargetNo, after: Duration) {
        self.first_token += 0.02 * (after.as_secs_f32() - self.first_token);
        self.update_target(target, |state| state.began(after));
    }

    fn update_target(&mut self, target: TargetNo, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.state_mut(target) {
            change(state);
        }
    }

    fn state(&self, target: TargetNo) -> Option<&TargetState> {
        self.targets.get(target.0 as usize)?.as_ref()
    }

    fn state_mut(&mut self, target: TargetNo) -> Option<&mut TargetState> {
        self.targets.get_mut(target.0 as usize)?.as_mut()
    }
}
