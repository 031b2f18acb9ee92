//! Loads: which adapter is loaded next, and what makes room for it.

use std::time::Duration;

use base::{AdapterKey, Class, Failure, Refusal, TargetNo, Time};
use place::{Budget, SlotState};

use crate::{
    Ask, LoadEnd, Ordering, Output,
    scheduler::{Scheduler, State, queue::Want, room::Room},
};

/// Seconds that a load takes, before any was measured.
pub(super) const LOAD_SECS: f64 = 0.5;

/// Weight of the newest measurement of the seconds a load takes.
const LOAD_GAIN: f64 = 0.1;

/// Of this many loads one is for batch work that is short of time, if any is.
const BATCH_TURN: u32 = 3;

/// What the last look for loads found.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wanted {
    /// Whether something waits for the budget alone.
    budget: bool,
    /// Whether something waits for spare budget alone.
    spare: bool,
    /// When the first load backed off may be tried again.
    backoff: Option<Time>,
}

impl Wanted {
    /// Returns when to look again.
    pub(super) fn next(&self, now: Time, budget: &Budget) -> Option<Time> {
        let need = self.budget.then(|| budget.next_at(now, false)).flatten();
        let spare = self.spare.then(|| budget.next_at(now, true)).flatten();
        [need, spare, self.backoff].into_iter().flatten().min()
    }
}

/// A load that may start.
#[derive(Clone, Copy, Debug)]
struct Pick {
    target: TargetNo,
    key: AdapterKey,
    room: Room,
    class: Class,
    /// Whether requests wait for it, so that others may join them.
    awaited: bool,
}

impl Scheduler {
    /// Starts the loads that budget and slots allow, most urgent first.
    pub(super) fn load(&mut self, now: Time, out: &mut Vec<Output>) {
        self.wanted = Wanted::default();
        while self.budget.allows_critical(now) {
            let Some(pick) = self.pick_class(now, Class::Critical) else {
                break;
            };
            self.start(now, pick, out);
        }
        while self.budget.allows(now, false) {
            let Some(pick) = self.pick_due(now).or_else(|| self.pick_urgent(now)) else {
                break;
            };
            self.start(now, pick, out);
        }
        let allowed = self.budget.allows(now, false);
        self.wanted.budget = !allowed && self.any_want();
        self.clear_slots(now, allowed, out);
        while self.budget.allows(now, true) {
            let Some(pick) = self.pick_spare(now) else {
                return;
            };
            self.start(now, pick, out);
        }
        self.wanted.spare = self.any_want() || self.engines.values().any(|b| !b.ahead.is_empty());
    }

    /// Returns the adapters that wait to be loaded.
    pub(super) fn count_wants(&self) -> u32 {
        let wants = self.engines.values().flat_map(|owned| {
            let wants = Class::ALL.into_iter().flat_map(|c| owned.queue.wants(c));
            wants.filter(|w| !owned.slots.has_or_gets(w.key))
        });
        u32::try_from(wants.count()).unwrap_or(u32::MAX)
    }

    /// Estimates how long a request of `class` waits for a load that is not
    /// under way yet.
    pub(super) fn load_wait(&self, class: Class) -> f64 {
        let rate = f64::from(self.budget.rate()) / 1_000.0;
        let wants = self.engines.values().flat_map(|owned| {
            let classes = Class::ALL.into_iter().filter(move |c| *c >= class);
            let wants = classes.flat_map(|c| owned.queue.wants(c));
            wants.filter(|w| !owned.slots.has_or_gets(w.key))
        });
        let before = wants.count() as f64;
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
            owned.tell(now, Vec::new(), vec![key], out);
            self.load_failed(now, target, key, out);
            return;
        }
        self.load_secs += LOAD_GAIN * (now.since(began).as_secs_f64() - self.load_secs);
        self.backoff.succeeded(target, key);
        let Some(slot) = owned.slots.get_mut(key) else {
            return;
        };
        slot.state = SlotState::Ready;
        slot.used = demand;
        for (old, _) in owned.rolls.extract_if(.., |(_, new)| *new == key) {
            if let Some(slot) = owned.slots.get_mut(old) {
                slot.retired = true;
            }
        }
        owned.tell(now, vec![key], Vec::new(), out);
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
            owned.tell(now, vec![key], Vec::new(), out);
            return;
        }
        owned.slots.remove(key);
        let Some(next) = next else {
            return;
        };
        self.order(now, target, next, out);
    }

    /// Backs the load off, and hands live requests back so that they try
    /// another engine. A critical one stays if the next try here comes in
    /// time: its attempts elsewhere are few, and it must be answered.
    fn load_failed(&mut self, now: Time, target: TargetNo, key: AdapterKey, out: &mut Vec<Output>) {
        base::hit!(load_backed_off);
        let until = self.backoff.failed(now, target, key);
        let waits = self.requests.iter().filter(|(_, r)| {
            r.target == target
                && r.ask.key == Some(key)
                && r.state == State::Queued
                && !self.can_wait(&r.ask, until)
        });
        let waits: Vec<_> = waits.map(|(ticket, _)| *ticket).collect();
        for ticket in waits {
            let wait = self.retry_after(until.since(now).as_secs_f64());
            let failure = Failure::not_run(Refusal::Unavailable).retry_after(wait);
            self.refuse(ticket, failure, out);
        }
    }

    /// Whether a request may wait for a load that is backed off.
    pub(super) fn can_wait(&self, ask: &Ask, until: Time) -> bool {
        match ask.class {
            Class::Batch => true,
            Class::Live => false,
            Class::Critical => until + Duration::from_secs_f64(self.load_secs) < ask.deadline,
        }
    }

    fn start(&mut self, now: Time, pick: Pick, out: &mut Vec<Output>) {
        self.budget.take();
        let Some(owned) = self.engines.get_mut(&pick.target) else {
            return;
        };
        self.since_batch = match pick.class {
            Class::Batch => 0,
            _ => self.since_batch + 1,
        };
        owned.ahead.retain(|key| *key != pick.key);
        owned.clearing = None;
        let added = if pick.awaited {
            vec![pick.key]
        } else {
            Vec::new()
        };
        let Room::Evict(victim) = pick.room else {
            owned.tell(now, added, Vec::new(), out);
            self.order(now, pick.target, pick.key, out);
            return;
        };
        if let Some(slot) = owned.slots.get_mut(victim) {
            slot.state = SlotState::Unloading {
                next: Some(pick.key),
            };
        }
        owned.tell(now, added, vec![victim], out);
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

    fn any_want(&self) -> bool {
        self.engines.values().any(|owned| {
            let mut wants = Class::ALL.into_iter().flat_map(|c| owned.queue.wants(c));
            owned.engine.ordering != Ordering::None
                && wants.any(|w| !owned.slots.has_or_gets(w.key))
        })
    }

    /// Picks a load for batch work that needs its guaranteed share, when it is
    /// its turn.
    ///
    /// Guards against a live overload that takes every load: batch work would
    /// keep its places, but nothing to run in them, and miss its time.
    fn pick_due(&mut self, now: Time) -> Option<Pick> {
        let due = self.since_batch >= BATCH_TURN - 1
            && self.engines.values().any(|owned| owned.guaranteed(now) > 0);
        let pick = due.then(|| self.pick_class(now, Class::Batch)).flatten()?;
        base::hit!(batch_load_due);
        Some(pick)
    }

    /// Picks what live requests wait for, then newer versions.
    fn pick_urgent(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.pick_class(now, Class::Live) {
            return Some(pick);
        }
        let mut best = None;
        for (target, owned) in &self.engines {
            let roll = owned.rolls.iter().find(|(old, new)| {
                owned.slots.has_or_gets(*old)
                    && !owned.slots.has_or_gets(*new)
                    && self.backoff.until(now, *target, *new).is_none()
            });
            if let Some((_, new)) = roll
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

    /// Picks what batch requests wait for, then what may be needed.
    fn pick_spare(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.pick_class(now, Class::Batch) {
            return Some(pick);
        }
        for (target, owned) in &mut self.engines {
            let (slots, backoff) = (&owned.slots, &self.backoff);
            owned.ahead.retain(|key| {
                !slots.has_or_gets(*key) && backoff.until(now, *target, *key).is_none()
            });
        }
        self.engines.iter().find_map(|(target, owned)| {
            let free = owned.engine.ordering != Ordering::None && owned.slots.has_free();
            Some(Pick {
                target: *target,
                key: *owned.ahead.front().filter(|_| free)?,
                room: Room::Free,
                class: Class::Batch,
                awaited: false,
            })
        })
    }

    /// Picks the adapter that most wait for, weighed by how long they wait.
    /// One load serves all that wait for it.
    fn pick_class(&mut self, now: Time, class: Class) -> Option<Pick> {
        let mut best: Option<(f32, Pick)> = None;
        let mut backoff = self.wanted.backoff;
        for (target, owned) in &self.engines {
            if owned.queue.queued(class) == 0 {
                continue;
            }
            let Some(room) = self.room(now, owned, class) else {
                continue;
            };
            for want in owned.queue.wants(class) {
                if owned.slots.has_or_gets(want.key) {
                    continue;
                }
                if let Some(until) = self.backoff.until(now, *target, want.key) {
                    backoff = Some(backoff.map_or(until, |at| at.min(until)));
                    continue;
                }
                let score = score(now, &want);
                if best.is_none_or(|(most, _)| score > most) {
                    let pick = Pick {
                        target: *target,
                        key: want.key,
                        room,
                        class,
                        awaited: true,
                    };
                    best = Some((score, pick));
                }
            }
        }
        self.wanted.backoff = backoff;
        best.map(|(_, pick)| pick)
    }
}

/// How much a load matters: all the time that requests wait for it.
fn score(now: Time, want: &Want) -> f32 {
    want.count as f32 * (now.since(want.since).as_secs_f32() + 0.1)
}
