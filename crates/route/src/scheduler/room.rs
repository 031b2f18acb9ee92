//! Which slot a load goes into, and which slot is emptied for it.

use std::time::Duration;

use base::{AdapterKey, Class, Time};
use place::{Slot, SlotState};

use crate::{
    LoadPolicy, Output,
    scheduler::{
        Scheduler,
        owned::{OwnedEngine, slot_usage},
        send::preempt_newest,
    },
};

/// Usage, in live requests a second, from which an adapter is not evicted for batch work
/// outside its guaranteed share: one request in 200 seconds.
const BATCH_EVICT_MAX_RATE: f32 = 1.0 / 200.0;

/// How long a live request waits for a slot before one that live requests use is cleared.
const CLEAR_AFTER: Duration = Duration::from_millis(500);

/// Which slot a load goes into.
#[derive(Clone, Copy, Debug)]
pub(super) enum Room {
    /// A free slot.
    Free,
    /// The slot of this adapter version, which is unloaded first.
    Evict(AdapterKey),
}

impl Scheduler {
    /// Returns the slot for a load for `class` at the engine, if there is one.
    pub(super) fn room(&self, now: Time, owned: &OwnedEngine, class: Class) -> Option<Room> {
        if owned.engine.policy == LoadPolicy::None {
            return None;
        }
        if owned.slots.has_free() {
            return Some(Room::Free);
        }
        if owned.engine.policy == LoadPolicy::FreeSlotsOnly {
            base::hit!(restricted_keeps_slots);
            return None;
        }
        let starved = || owned.batch_without_slot() && owned.guaranteed(now) > 0;
        let urgent = class != Class::Batch || starved();
        let victim = owned.slots.victim(|slot| {
            let is_reserved = self.is_reserved(now, owned, slot, class);
            let usage = slot_usage(now, slot);
            (!is_reserved && (urgent || usage < BATCH_EVICT_MAX_RATE)).then_some(usage)
        });
        victim.map(|(key, _)| Room::Evict(key))
    }

    /// Returns whether a slot is reserved although no request runs on it.
    fn is_reserved(&self, now: Time, owned: &OwnedEngine, slot: &Slot, class: Class) -> bool {
        let upgrading = owned.upgrades.iter().any(|(old, _)| *old == slot.key);
        let awaited = owned.clearing != Some(slot.key) && owned.queue.waits_for(slot.key, class);
        upgrading
            || awaited
            || self
                .backoff
                .until(now, owned.engine.target, slot.key)
                .is_some()
    }

    /// Clears a slot where urgent requests wait for a load and every slot is in use: the
    /// slot's batch requests are preempted, and no new live or batch requests are sent to
    /// it. A slot that live requests use is cleared for live requests only after a while.
    /// `allowed` says whether the budget lets a load start; critical requests don't
    /// depend on it.
    ///
    /// Guards against live requests that wait for a load behind batch answers: with all
    /// slots pinned by a long batch job, a live request's adapter would not be loaded for
    /// minutes. Batch work that needs its guaranteed share gets one slot in the same way,
    /// or the share would stay unused.
    pub(super) fn clear_slots(&mut self, now: Time, allowed: bool, out: &mut Vec<Output>) {
        for owned in self.engines.values_mut() {
            let Some((class, oldest)) = waits_for_slot(now, owned, allowed) else {
                owned.clearing = None;
                continue;
            };
            if owned.engine.policy != LoadPolicy::Full || owned.clearing.is_some() {
                continue;
            }
            let may_wait = class != Class::Critical && now.since(oldest) < CLEAR_AFTER;
            let found = match class {
                Class::Critical => first_free(now, owned).map(|key| (key, true)),
                _ => least_used(now, owned),
            };
            let Some((key, live)) = found else {
                continue;
            };
            if live && may_wait {
                continue;
            }
            base::hit!(slot_cleared);
            owned.clearing = Some(key);
            preempt_newest(owned, u32::MAX, |s| s.item.key == Some(key), out);
        }
    }
}

/// Returns the most urgent class that a slot is to be cleared for, and since when its
/// oldest request has waited.
fn waits_for_slot(now: Time, owned: &OwnedEngine, allowed: bool) -> Option<(Class, Time)> {
    let entitled = |class: &Class| match class {
        Class::Critical => true,
        Class::Live => allowed,
        Class::Batch => allowed && owned.batch_without_slot() && owned.guaranteed(now) > 0,
    };
    let mut classes = Class::ALL.into_iter().filter(entitled);
    classes.find_map(|class| {
        let waiting = owned.queue.waiting(class);
        let waiting = waiting.filter(|w| !owned.slots.has_or_loads(w.key));
        Some((class, waiting.map(|w| w.since).min()?))
    })
}

/// Returns the slot whose requests are estimated to end first.
fn first_free(now: Time, owned: &OwnedEngine) -> Option<AdapterKey> {
    let ends = |slot: &Slot| {
        let sent = owned.sent.values().filter(|s| s.item.key == Some(slot.key));
        let sent = sent.filter(|s| s.item.class != Class::Batch);
        sent.map(|s| s.at + Duration::from_secs_f64(owned.run_secs(s.item.tokens)))
            .max()
    };
    let slots = owned.slots.iter();
    let slots = slots.filter(|s| s.state == SlotState::Ready && !s.inherited);
    let slots = slots.map(|s| (ends(s).unwrap_or(now), s.key));
    slots.min().map(|(_, key)| key)
}

/// Returns the least used slot, and whether live requests run on it.
fn least_used(now: Time, owned: &OwnedEngine) -> Option<(AdapterKey, bool)> {
    let live = |slot: &Slot| {
        let mut sent = owned.sent.values();
        sent.any(|s| s.item.key == Some(slot.key) && s.item.class != Class::Batch)
    };
    let slots = owned.slots.iter();
    let slots = slots.filter(|s| s.state == SlotState::Ready && !s.inherited);
    let slots = slots.map(|s| (live(s), slot_usage(now, s), s.key));
    let least = slots.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map(|(live, _, key)| (key, live))
}
