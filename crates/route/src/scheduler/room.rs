//! Slots: where a load finds room, and which slot is emptied for it.

use std::time::Duration;

use base::{AdapterKey, Class, Time};
use place::{Slot, SlotState};

use crate::{
    Ordering, Output,
    scheduler::{
        Scheduler,
        owned::{OwnedEngine, slot_worth},
        send::yield_newest,
    },
};

/// Live uses a second from which an adapter is kept from batch work that is
/// not urgent: one in a minute.
const KEPT_RATE: f32 = 1.0 / 200.0;

/// How long live work waits for a slot before one in live use is emptied.
const CLEAR_AFTER: Duration = Duration::from_millis(500);

/// Where a load finds a slot.
#[derive(Clone, Copy, Debug)]
pub(super) enum Room {
    Free,
    Evict(AdapterKey),
}

impl Scheduler {
    /// Returns where a load for `class` finds a slot at the engine.
    pub(super) fn room(&self, now: Time, owned: &OwnedEngine, class: Class) -> Option<Room> {
        if owned.engine.ordering == Ordering::None {
            return None;
        }
        if owned.slots.has_free() {
            return Some(Room::Free);
        }
        if owned.engine.ordering == Ordering::FreeSlotsOnly {
            base::hit!(restricted_keeps_slots);
            return None;
        }
        let starved = || owned.batch_without_slot() && owned.guaranteed(now) > 0;
        let urgent = class != Class::Batch || starved();
        let victim = owned.slots.victim(|slot| {
            let keeps = self.keeps(now, owned, slot, class);
            let worth = slot_worth(now, slot);
            (!keeps && (urgent || worth < KEPT_RATE)).then_some(worth)
        });
        victim.map(|(key, _)| Room::Evict(key))
    }

    /// Returns whether a slot is spoken for although nothing runs on it.
    fn keeps(&self, now: Time, owned: &OwnedEngine, slot: &Slot, class: Class) -> bool {
        let rolling = owned.rolls.iter().any(|(old, _)| *old == slot.key);
        let awaited = owned.clearing != Some(slot.key) && owned.queue.waits_for(slot.key, class);
        rolling
            || awaited
            || self
                .backoff
                .until(now, owned.engine.target, slot.key)
                .is_some()
    }

    /// Where urgent work waits, the budget is `allowed` and every slot is in
    /// use, empties one: batch work on it gives way, and after a while a live
    /// adapter's slot takes nothing new.
    ///
    /// Guards against live work that waits for a load slot behind batch
    /// answers: all slots pinned by a night's screening, and a performer's
    /// adapter not loaded for minutes. Batch work that is short of time gets
    /// one slot the same way, or its guaranteed places would stay empty.
    pub(super) fn clear_slots(&mut self, now: Time, allowed: bool, out: &mut Vec<Output>) {
        for owned in self.engines.values_mut() {
            let Some((class, oldest)) = waits_for_slot(now, owned, allowed) else {
                owned.clearing = None;
                continue;
            };
            if owned.engine.ordering != Ordering::Full || owned.clearing.is_some() {
                continue;
            }
            let patient = class != Class::Critical && now.since(oldest) < CLEAR_AFTER;
            let found = match class {
                Class::Critical => first_free(now, owned).map(|key| (key, true)),
                _ => least_used(now, owned),
            };
            let Some((key, live)) = found else {
                continue;
            };
            if live && patient {
                continue;
            }
            base::hit!(slot_cleared);
            owned.clearing = Some(key);
            yield_newest(owned, u32::MAX, |s| s.item.key == Some(key), out);
        }
    }
}

/// Returns the most urgent class that a slot is to be emptied for, and since
/// when its oldest request has waited.
fn waits_for_slot(now: Time, owned: &OwnedEngine, allowed: bool) -> Option<(Class, Time)> {
    let entitled = |class: &Class| match class {
        Class::Critical => true,
        Class::Live => allowed,
        Class::Batch => allowed && owned.batch_without_slot() && owned.guaranteed(now) > 0,
    };
    let mut classes = Class::ALL.into_iter().filter(entitled);
    classes.find_map(|class| {
        let wants = owned.queue.wants(class);
        let wants = wants.filter(|w| !owned.slots.has_or_gets(w.key));
        Some((class, wants.map(|w| w.since).min()?))
    })
}

/// Returns the slot whose last request ends first, as far as can be told.
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

/// Returns the pinned slot to empty, and whether live work runs on it.
fn least_used(now: Time, owned: &OwnedEngine) -> Option<(AdapterKey, bool)> {
    let live = |slot: &Slot| {
        let mut sent = owned.sent.values();
        sent.any(|s| s.item.key == Some(slot.key) && s.item.class != Class::Batch)
    };
    let slots = owned.slots.iter();
    let slots = slots.filter(|s| s.state == SlotState::Ready && !s.inherited);
    let slots = slots.map(|s| (live(s), slot_worth(now, s), s.key));
    let least = slots.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map(|(live, _, key)| (key, live))
}
