//! How many loads from the weight store each zone owner may have on their way, where goals are
//! tight.
//!
//! Pattern: max-min fairness with announced claims. Up to some number of loads over all zones
//! each takes the same time; beyond it all take longer. Owners tell each other what they have on
//! their way, what waits and what they mean to use. Each reckons the same shares by need. What
//! another one has claimed is free only once it says so, and nobody goes beyond its even share
//! before all others have confirmed that they heard of it; so the sum stays within the window
//! while messages are on their way.
//!
//! Failure: each owner used its share and half of what the others seemed to leave, by a window
//! of its own. When callers in all zones waited at once, each saw the same room, and nearly twice
//! as many loads as the store serves at full speed were on their way, all of them late.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Time};
use wire::store::StoreUse;

use super::ZoneOwner;

/// Age up to which the word of another owner holds: some three of its messages.
const HEARD_MAX_AGE: Duration = Duration::from_millis(800);

/// Age up to which an owner that isn't heard any more counts with its last use, of at most half
/// of the window; after it with its even share.
const LAST_USE_MAX_AGE: Duration = Duration::from_secs(3);

/// Part of its even share that each owner always has, also if others need more.
const FLOOR_PART: f64 = 0.125;

/// Part of the window that is the most for an owner while another one is silent.
const SILENT_MOST_PART: f64 = 0.5;

/// Part of the window from which on it counts as used, so that loads in time show that more may
/// be on their way.
const FULL_PART: f64 = 0.75;

/// Interval at which others are told if nothing changes.
const TELL_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two messages to the others.
const TELL_INTERVAL_MIN: Duration = Duration::from_millis(40);

/// Part of the window by which a claim has to change to be told before it is due.
const CLAIM_CHANGE_PART: f64 = 0.05;

/// Maximum age of entry instances' reports on loads under other zone owners. A load takes
/// a quarter of a second, and each instance reports about as often.
const ELSEWHERE_MAX_AGE: Duration = Duration::from_millis(500);

/// What other zone owners use of the weight store.
#[derive(Debug, Default)]
pub(super) struct JointWindow {
    others: BTreeMap<InstanceName, Other>,
    /// When the others were last told, and which claim.
    told: Option<(Time, u32)>,
    /// When nearly all of the window was last in use.
    full: Time,
}

#[derive(Debug)]
struct Other {
    heard: Time,
    said: StoreUse,
    /// The claim of this owner that it last confirmed.
    confirmed: u32,
}

/// What this owner uses and needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnUse {
    /// Number of zones that it owns.
    pub(super) zones: usize,
    /// Number of all zones.
    pub(super) all: usize,
    /// Loads on their way.
    pub(super) loading: usize,
    /// Loads that wait for the store.
    pub(super) waiting: usize,
    /// Loads at full speed over all zones, as it has learned.
    pub(super) window: f64,
}

/// What an owner may use, and what it claims.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    /// Most loads that it may have on their way now.
    pub(super) limit: usize,
    /// Loads that it means to have on their way.
    pub(super) claim: u32,
}

impl JointWindow {
    /// Notes what another owner says. If it answers a message of this owner, `confirmed` is the
    /// claim that stood in it. Owners that had its zones before are forgotten.
    pub(super) fn heard(&mut self, now: Time, said: &StoreUse, confirmed: Option<u32>) {
        let taken = |zones: &[String]| zones.iter().any(|zone| said.zones.contains(zone));
        self.others
            .retain(|name, other| *name == said.instance || !taken(&other.said.zones));
        let before = self.others.get(&said.instance);
        let confirmed = confirmed.or(before.map(|other| other.confirmed));
        let other = Other {
            heard: now,
            said: said.clone(),
            confirmed: confirmed.unwrap_or(0),
        };
        self.others.insert(said.instance.clone(), other);
    }

    /// Forgets owners of zones that this instance owns now.
    pub(super) fn owned(&mut self, zones: &[String]) {
        let taken = |other: &Other| other.said.zones.iter().any(|zone| zones.contains(zone));
        self.others.retain(|_, other| !taken(other));
    }

    /// Returns the number of loads over all zones at full speed: the mean of what owners have
    /// learned, by the loads that they learn from.
    pub(super) fn window(&self, now: Time, own: &OwnUse) -> f64 {
        let weight = |loading: usize| loading as f64 + 1.0;
        let heard = self.fresh(now).map(|said| {
            let weight = weight(said.loading as usize);
            (f64::from(said.window) * weight, weight)
        });
        let own = (own.window * weight(own.loading), weight(own.loading));
        let (sum, weights) = heard.fold(own, |sum, one| (sum.0 + one.0, sum.1 + one.1));
        sum / weights
    }

    /// Returns what this owner may use now.
    pub(super) fn part(&self, now: Time, own: &OwnUse) -> Part {
        let window = self.window(now, own);
        let each = window / own.all.max(1) as f64;
        let even = each * own.zones as f64;
        let floor = even * FLOOR_PART;
        let (silent, some_silent) = self.silent(now, own, window);
        let pool = (window - silent).max(floor);
        let mut free = pool;
        // Needs and zones of the owners that are heard; the first is this one.
        let need = (own.loading + own.waiting) as f64;
        let mut needs = vec![(need.max(even), own.zones as f64)];
        for said in self.fresh(now) {
            let least = each * said.zones.len() as f64 * FLOOR_PART;
            let need = f64::from(said.loading + said.waiting);
            needs.push((need.max(least), said.zones.len() as f64));
            free -= f64::from(said.loading.max(said.claim)).max(least);
        }
        let mut fair = first_share(pool, &needs);
        if some_silent {
            fair = fair.min((window * SILENT_MOST_PART).max(even));
        }
        let confirmed = self.others.values();
        let confirmed = confirmed.filter(|other| now.since(other.heard) < HEARD_MAX_AGE);
        let confirmed = confirmed.map(|other| f64::from(other.confirmed));
        let most = confirmed.fold(fair, f64::min).max(even);
        let limit = fair.min(most).min(free.max(floor)).max(floor);
        Part {
            limit: (limit as usize).max(1),
            claim: fair.min(need) as u32,
        }
    }

    /// Returns what owners use that aren't heard, and whether there is one.
    fn silent(&self, now: Time, own: &OwnUse, window: f64) -> (f64, bool) {
        let each = window / own.all.max(1) as f64;
        let mut used = 0.0;
        let mut known = own.zones;
        let mut silent = false;
        for other in self.others.values() {
            let age = now.since(other.heard);
            if age >= LAST_USE_MAX_AGE {
                continue;
            }
            known += other.said.zones.len();
            if age >= HEARD_MAX_AGE {
                let last = f64::from(other.said.loading.max(other.said.claim));
                let least = each * other.said.zones.len() as f64 * FLOOR_PART;
                used += last.min(window * SILENT_MOST_PART).max(least);
                silent = true;
            }
        }
        let unknown = own.all.saturating_sub(known);
        (used + each * unknown as f64, silent || unknown > 0)
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &StoreUse> {
        let others = self.others.values();
        let fresh = others.filter(move |other| now.since(other.heard) < HEARD_MAX_AGE);
        fresh.map(|other| &other.said)
    }

    /// Notes whether nearly all of the window is in use.
    pub(super) fn note_use(&mut self, now: Time, own: &OwnUse) {
        let others = self.fresh(now).map(|said| said.loading as usize);
        let loading = own.loading + others.sum::<usize>();
        if loading as f64 >= self.window(now, own) * FULL_PART {
            self.full = now;
        }
    }

    /// Returns whether nearly all of the window was in use after a load was ordered.
    ///
    /// Failure: few loads were on their way for a while, and each in time raised the limit. When
    /// many adapters were wanted at once, three times as many loads began as the store serves.
    pub(super) fn was_full(&self, ordered: Time) -> bool {
        self.full > Time::ZERO && self.full >= ordered
    }

    /// Returns whether the others have to be told of a claim, and notes that they are.
    fn tell(&mut self, now: Time, claim: u32, window: f64) -> bool {
        if let Some((at, told)) = self.told {
            let passed = now.since(at);
            let changed = f64::from(claim.abs_diff(told)) > window * CLAIM_CHANGE_PART;
            if passed < TELL_INTERVAL && !(changed && passed >= TELL_INTERVAL_MIN) {
                return false;
            }
        }
        self.told = Some((now, claim));
        true
    }
}

/// Returns the share of the first of those that need something of a pool: the least needs are
/// met, and the others get even parts for each of their zones.
fn first_share(pool: f64, needs: &[(f64, f64)]) -> f64 {
    let mut left = pool;
    let mut order: Vec<usize> = (0..needs.len()).collect();
    let each = |n: usize| needs[n].0 / needs[n].1.max(1.0);
    order.sort_by(|a, b| each(*a).total_cmp(&each(*b)));
    let mut zones: f64 = needs.iter().map(|(_, zones)| zones.max(1.0)).sum();
    for n in order {
        let (need, own) = (needs[n].0, needs[n].1.max(1.0));
        let share = need.min(left * own / zones);
        if n == 0 {
            return share;
        }
        left -= share;
        zones -= own;
    }
    left
}

impl ZoneOwner {
    /// Returns what this instance uses of the weight store if goals are tight and it owns zones.
    #[must_use]
    pub fn store_use(&self, now: Time, instance: &InstanceName) -> Option<StoreUse> {
        let zones = self.lease.zones(now);
        if !self.tight || zones.is_empty() {
            return None;
        }
        let own = self.own_use(now, self.coming);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Some(StoreUse {
            instance: instance.clone(),
            zones,
            loading: count(own.loading),
            waiting: count(own.waiting),
            claim: self.joint.part(now, &own).claim,
            window: own.window as u32,
        })
    }

    /// Returns what the owners of the other zones have to be told now, if anything.
    pub fn tell_store(&mut self, now: Time, instance: &InstanceName) -> Option<StoreUse> {
        let told = self.store_use(now, instance)?;
        let due = self.joint.tell(now, told.claim, self.store.window());
        due.then_some(told)
    }

    /// Takes over what another zone owner says of the weight store; `confirmed` is the claim that
    /// stood in the message that it answers.
    pub fn hear_store(&mut self, now: Time, said: &StoreUse, confirmed: Option<u32>) {
        self.joint.heard(now, said, confirmed);
        self.joint.owned(&self.lease.zones(now));
        self.plan_due |= self.withheld > 0;
    }

    /// Returns the loads on their way under this owner that may use the weight store.
    #[must_use]
    pub fn store_limit(&self, now: Time) -> usize {
        self.load_limit(now, self.coming)
    }

    pub(super) fn own_use(&self, now: Time, loading: usize) -> OwnUse {
        OwnUse {
            zones: self.lease.zones(now).len(),
            all: self.config.zones.max(1),
            loading,
            waiting: self.withheld,
            window: self.store.window(),
        }
    }

    /// Returns the limit of loads in flight in the zones of this owner, of which `loading` are
    /// under way.
    ///
    /// Failure: two zones lose engines and have up to 40 adapters waiting for their share
    /// of the store, while the other zones use none of theirs. An owner may therefore use
    /// half of what the others leave unused: all owners see the unused part at the same
    /// time, and the store slows down for all if they use more than there is. Where goals are
    /// tight, owners tell each other instead.
    pub(super) fn load_limit(&self, now: Time, loading: usize) -> usize {
        if self.tight {
            return self.joint.part(now, &self.own_use(now, loading)).limit;
        }
        let zones = self.config.zones.max(1) as f64;
        let own = self.lease.zones(now).len().max(1) as f64;
        let all = self.store.window();
        let share = ((all * own / zones) as usize).max(1);
        let all = all as usize;
        let reported = self.elsewhere;
        let reported = reported.filter(|(at, _)| now.since(*at) < ELSEWHERE_MAX_AGE);
        let Some((_, elsewhere)) = reported else {
            return share;
        };
        share + all.saturating_sub(share + elsewhere as usize) / 2
    }

    /// Notes the loads under way after a plan.
    pub(super) fn note_loading(&mut self, now: Time, loading: usize) {
        self.coming = loading;
        if self.tight {
            let own = self.own_use(now, loading);
            self.joint.note_use(now, &own);
        }
    }
}
