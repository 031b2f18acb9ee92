//! Which adapter is loaded next, and into which slot.

use std::time::Duration;

use base::{AdapterKey, Class, Failure, Refusal, TargetNo, Time};
use place::{Budget, SlotState};

use crate::{
    LoadEnd, LoadPolicy, Output, RequestSpec,
    scheduler::{Scheduler, State, queue::Waiting, room::Room},
};

/// Assumed seconds of a load, before any was measured.
pub(super) const LOAD_SECS: f64 = 0.5;

/// Weight of the newest sample in the moving average of a load's seconds.
const LOAD_GAIN: f64 = 0.1;

/// While batch work needs its guaranteed share, one load in this many is for batch
/// requests.
const LOADS_PER_BATCH_LOAD: u32 = 3;

/// What kept loads from starting at the last check.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Blocked {
    /// Whether a load waits only for the budget.
    budget: bool,
    /// Whether a load waits only for spare budget (see [`Budget::allows`]).
    spare: bool,
    /// When the first load that is backed off may be tried again.
    backoff: Option<Time>,
}

impl Blocked {
    /// Returns when to check again.
    pub(super) fn next(&self, now: Time, budget: &Budget) -> Option<Time> {
        let need = self.budget.then(|| budget.next_at(now, false)).flatten();
        let spare = self.spare.then(|| budget.next_at(now, true)).flatten();
        [need, spare, self.backoff].into_iter().flatten().min()
    }
}

/// A load selected to start.
#[derive(Clone, Copy, Debug)]
struct Pick {
    target: TargetNo,
    key: AdapterKey,
    room: Room,
    class: Class,
    /// Whether requests wait for the adapter; it is then published at once, so that entry
    /// instances send further requests for it here.
    awaited: bool,
}

impl Scheduler {
    /// Starts the loads that the budget and the slots allow, most urgent first.
    pub(super) fn load(&mut self, now: Time, out: &mut Vec<Output>) {
        self.blocked = Blocked::default();
        while self.budget.allows_critical(now) {
            let Some(pick) = self.pick_class(now, Class::Critical) else {
                break;
            };
            self.start(now, pick, out);
        }
        while self.budget.allows(now, false) {
            let Some(pick) = self.pick_guaranteed(now).or_else(|| self.pick_urgent(now)) else {
                break;
            };
            self.start(now, pick, out);
        }
        let allowed = self.budget.allows(now, false);
        self.blocked.budget = !allowed && self.any_waiting();
        self.clear_slots(now, allowed, out);
        while self.budget.allows(now, true) {
            let Some(pick) = self.pick_spare(now) else {
                return;
            };
            self.start(now, pick, out);
        }
        self.blocked.spare =
            self.any_waiting() || self.engines.values().any(|b| !b.prefetch.is_empty());
    }

    /// Returns the number of adapters that wait to be loaded.
    pub(super) fn count_waiting(&self) -> u32 {
        let waiting = self.engines.values().flat_map(|owned| {
            let waiting = Class::ALL.into_iter().flat_map(|c| owned.queue.waiting(c));
            waiting.filter(|w| !owned.slots.has_or_loads(w.key))
        });
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Estimates the seconds that a request of `class` waits for a load that has not
    /// started.
    pub(super) fn load_wait(&self, class: Class) -> f64 {
        let rate = f64::from(self.budget.rate()) / 1_000.0;
        let waiting = self.engines.values().flat_map(|owned| {
            let classes = Class::ALL.into_iter().filter(move |c| *c >= class);
            let waiting = classes.flat_map(|c| owned.queue.waiting(c));
            waiting.filter(|w| !owned.slots.has_or_loads(w.key))
        });
        let before = waiting.count() as f64;
        if rate <= 0.0 {
            return self.load_secs;
        }
        self.load_secs + before / rate
    }

    pub(super) fn loaded(
        &mut self,
        now: Time,
        target: TargetNo,
        key: AdapterKey,
        end: LoadEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(began) = self.loading.remove(&(target, key)) else {
            return;
        };
        self.budget.ended();
        let demand = self.demand.get(key.adapter);
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        if end == LoadEnd::Failed {
            owned.slots.remove(key);
            owned.publish(now, Vec::new(), vec![key], out);
            self.load_failed(now, target, key, out);
            return;
        }
        self.load_secs += LOAD_GAIN * (now.since(began).as_secs_f64() - self.load_secs);
        self.backoff.succeeded(target, key);
        let Some(slot) = owned.slots.get_mut(key) else {
            return;
        };
        slot.state = SlotState::Ready;
        slot.usage = demand;
        for (old, _) in owned.upgrades.extract_if(.., |(_, new)| *new == key) {
            if let Some(slot) = owned.slots.get_mut(old) {
                slot.superseded = true;
            }
        }
        owned.publish(now, vec![key], Vec::new(), out);
    }

    pub(super) fn unloaded(
        &mut self,
        now: Time,
        target: TargetNo,
        key: AdapterKey,
        ok: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let Some(slot) = owned.slots.get_mut(key) else {
            return;
        };
        let SlotState::Unloading { next } = slot.state else {
            return;
        };
        if !ok {
            slot.state = SlotState::Ready;
            self.backoff.failed(now, target, key);
            if next.is_some() {
                self.budget.give_back();
            }
            owned.publish(now, vec![key], Vec::new(), out);
            return;
        }
        owned.slots.remove(key);
        let Some(next) = next else {
            return;
        };
        self.order(now, target, next, out);
    }

    /// Backs the load off, and refuses the live requests that wait for it, so that their
    /// entry instances retry them on another engine. A critical request stays queued if
    /// the next load attempt here comes before its deadline, since few of its attempts
    /// are left for other engines and it has to be answered.
    fn load_failed(&mut self, now: Time, target: TargetNo, key: AdapterKey, out: &mut Vec<Output>) {
        base::hit!(load_backed_off);
        let until = self.backoff.failed(now, target, key);
        let waits = self.requests.iter().filter(|(_, r)| {
            r.target == target
                && r.spec.key == Some(key)
                && r.state == State::Queued
                && !self.can_wait(&r.spec, until)
        });
        let waits: Vec<_> = waits.map(|(ticket, _)| *ticket).collect();
        for ticket in waits {
            let wait = self.retry_after(until.since(now).as_secs_f64());
            let failure = Failure::not_run(Refusal::Unavailable).retry_after(wait);
            self.refuse(ticket, failure, out);
        }
    }

    /// Returns whether a request may wait for a load that is backed off.
    pub(super) fn can_wait(&self, spec: &RequestSpec, until: Time) -> bool {
        match spec.class {
            Class::Batch => true,
            Class::Live => false,
            Class::Critical => until + Duration::from_secs_f64(self.load_secs) < spec.deadline,
        }
    }

    fn start(&mut self, now: Time, pick: Pick, out: &mut Vec<Output>) {
        self.budget.take();
        let Some(owned) = self.engines.get_mut(&pick.target) else {
            return;
        };
        self.loads_since_batch = match pick.class {
            Class::Batch => 0,
            _ => self.loads_since_batch + 1,
        };
        owned.prefetch.retain(|key| *key != pick.key);
        owned.clearing = None;
        let added = if pick.awaited {
            vec![pick.key]
        } else {
            Vec::new()
        };
        let Room::Evict(victim) = pick.room else {
            owned.publish(now, added, Vec::new(), out);
            self.order(now, pick.target, pick.key, out);
            return;
        };
        if let Some(slot) = owned.slots.get_mut(victim) {
            slot.state = SlotState::Unloading {
                next: Some(pick.key),
            };
        }
        owned.publish(now, added, vec![victim], out);
        out.push(Output::Unload {
            target: pick.target,
            key: victim,
        });
    }

    fn order(&mut self, now: Time, target: TargetNo, key: AdapterKey, out: &mut Vec<Output>) {
        let demand = self.demand.get(key.adapter);
        if let Some(owned) = self.engines.get_mut(&target) {
            owned.slots.put(now, key, SlotState::Loading, demand);
        }
        self.loading.insert((target, key), now);
        out.push(Output::Load { target, key });
    }

    fn any_waiting(&self) -> bool {
        self.engines.values().any(|owned| {
            let mut waiting = Class::ALL.into_iter().flat_map(|c| owned.queue.waiting(c));
            owned.engine.policy != LoadPolicy::None
                && waiting.any(|w| !owned.slots.has_or_loads(w.key))
        })
    }

    /// Picks a load for batch work that needs its guaranteed share, once enough other
    /// loads have started.
    ///
    /// Guards against a live overload that takes every load: batch work would have its
    /// share of the concurrency but no resident adapter to use it with, and would miss
    /// its deadline.
    fn pick_guaranteed(&mut self, now: Time) -> Option<Pick> {
        let due = self.loads_since_batch >= LOADS_PER_BATCH_LOAD - 1
            && self.engines.values().any(|owned| owned.guaranteed(now) > 0);
        let pick = due.then(|| self.pick_class(now, Class::Batch)).flatten()?;
        base::hit!(batch_load_due);
        Some(pick)
    }

    /// Picks an adapter that live requests wait for, or else a newer version.
    fn pick_urgent(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.pick_class(now, Class::Live) {
            return Some(pick);
        }
        let mut best = None;
        for (target, owned) in &self.engines {
            let upgrade = owned.upgrades.iter().find(|(old, new)| {
                owned.slots.has_or_loads(*old)
                    && !owned.slots.has_or_loads(*new)
                    && self.backoff.until(now, *target, *new).is_none()
            });
            if let Some((_, new)) = upgrade
                && let Some(room) = self.room(now, owned, Class::Live)
            {
                best = best.or(Some(Pick {
                    target: *target,
                    key: *new,
                    room,
                    class: Class::Live,
                    awaited: false,
                }));
            }
        }
        best
    }

    /// Picks an adapter that batch requests wait for, or else one to load ahead of
    /// requests.
    fn pick_spare(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.pick_class(now, Class::Batch) {
            return Some(pick);
        }
        for (target, owned) in &mut self.engines {
            let (slots, backoff) = (&owned.slots, &self.backoff);
            owned.prefetch.retain(|key| {
                !slots.has_or_loads(*key) && backoff.until(now, *target, *key).is_none()
            });
        }
        self.engines.iter().find_map(|(target, owned)| {
            let free = owned.engine.policy != LoadPolicy::None && owned.slots.has_free();
            Some(Pick {
                target: *target,
                key: *owned.prefetch.front().filter(|_| free)?,
                room: Room::Free,
                class: Class::Batch,
                awaited: false,
            })
        })
    }

    /// Picks the adapter with the most requests waiting, weighted by how long they have
    /// waited. One load serves all requests that wait for it.
    fn pick_class(&mut self, now: Time, class: Class) -> Option<Pick> {
        let mut best: Option<(f32, Pick)> = None;
        let mut backoff = self.blocked.backoff;
        for (target, owned) in &self.engines {
            if owned.queue.queued(class) == 0 {
                continue;
            }
            let Some(room) = self.room(now, owned, class) else {
                continue;
            };
            for group in owned.queue.waiting(class) {
                if owned.slots.has_or_loads(group.key) {
                    continue;
                }
                if let Some(until) = self.backoff.until(now, *target, group.key) {
                    backoff = Some(backoff.map_or(until, |at| at.min(until)));
                    continue;
                }
                let score = score(now, &group);
                if best.is_none_or(|(most, _)| score > most) {
                    let pick = Pick {
                        target: *target,
                        key: group.key,
                        room,
                        class,
                        awaited: true,
                    };
                    best = Some((score, pick));
                }
            }
        }
        self.blocked.backoff = backoff;
        best.map(|(_, pick)| pick)
    }
}

/// Returns the priority of a load: the total time that requests have waited for it.
fn score(now: Time, group: &Waiting) -> f32 {
    group.count as f32 * (now.since(group.since).as_secs_f32() + 0.1)
}
