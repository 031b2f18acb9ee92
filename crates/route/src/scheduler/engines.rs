//! Engines that are gained, lost, restarted, or report their state.

use base::{AdapterKey, Class, Failure, Incarnation, Refusal, TargetNo, Time};
use place::SlotState;

use crate::{
    Engine, Output,
    scheduler::{Scheduler, owned::OwnedEngine},
};

impl Scheduler {
    pub(super) fn owned(
        &mut self,
        now: Time,
        engine: Engine,
        held: Vec<AdapterKey>,
        inherited: bool,
        out: &mut Vec<Output>,
    ) {
        let known = self.engines.get_mut(&engine.target);
        if let Some(owned) = known {
            if owned.engine.incarnation == engine.incarnation {
                owned.engine = engine;
                owned.slots.total = engine.slots;
                return;
            }
            self.restarted(now, engine);
        }
        let owned = self.engines.entry(engine.target);
        let owned = owned.or_insert_with(|| OwnedEngine::new(now, engine));
        owned.owned_at = now;
        for key in held {
            if owned.slots.get(key).is_some() {
                continue;
            }
            let used = self.demand.get(key.adapter);
            owned.slots.put(now, key, SlotState::Ready, used);
            if let Some(slot) = owned.slots.get_mut(key) {
                slot.inherited = inherited;
            }
        }
        owned.publish_full(now, out);
    }

    /// Resets an engine that restarted empty. The adapters that it held are loaded again
    /// from spare budget, most used first, before requests ask for them.
    fn restarted(&mut self, now: Time, engine: Engine) {
        let target = engine.target;
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let held = owned.slots.iter().filter(|s| !s.superseded);
        let mut held: Vec<_> = held.map(|s| (s.usage.slow(now), s.key)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        let evicting = owned.slots.iter();
        let evicting =
            evicting.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let evicting = evicting.count();
        owned.prefetch = held.into_iter().map(|(_, key)| key).collect();
        owned.slots = place::Slots::new(engine.slots);
        owned.engine = engine;
        owned.clearing = None;
        self.drop_loads(target, evicting);
    }

    /// Removes an engine that this instance no longer owns. Queued requests are refused
    /// as `not run`; running ones continue.
    pub(super) fn lost(&mut self, target: TargetNo, out: &mut Vec<Output>) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let items = owned.queue.drain();
        let evicting = owned.slots.iter();
        let evicting =
            evicting.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let evicting = evicting.count();
        self.engines.remove(&target);
        self.rests.forget(&target);
        self.backoff.forget(target);
        self.drop_loads(target, evicting);
        for item in items {
            self.requests.remove(&item.ticket);
            self.brand(item.brand).share.queued -= 1;
            out.push(Output::Refuse {
                ticket: item.ticket,
                failure: Failure::not_run(Refusal::Unavailable),
            });
        }
    }

    /// Applies an engine's report of its resident adapters.
    ///
    /// Guards against evicting an adapter that the previous owner's requests still use: a
    /// report taken before that owner's lease ended doesn't show what it sent since, so
    /// only a later report may show that an inherited adapter is unused. A report of a
    /// former incarnation is dropped.
    pub(super) fn report(
        &mut self,
        now: Time,
        target: TargetNo,
        incarnation: Incarnation,
        taken: Time,
        held: &[(AdapterKey, u32)],
        out: &mut Vec<Output>,
    ) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        if incarnation != owned.engine.incarnation {
            base::hit!(report_of_other_incarnation);
            return;
        }
        if taken <= owned.owned_at {
            base::hit!(report_before_ownership);
            return;
        }
        let slots: Vec<_> = owned
            .slots
            .iter()
            .map(|s| (s.key, s.last_used, s.pins))
            .collect();
        let mut gone = Vec::new();
        for (key, last, pins) in slots {
            let found = held.iter().find(|(k, _)| *k == key);
            match (found, owned.slots.get_mut(key)) {
                (Some((_, 0)), Some(slot)) => slot.inherited = false,
                (None, Some(slot))
                    if slot.state == SlotState::Ready && pins == 0 && last < taken =>
                {
                    owned.slots.remove(key);
                    gone.push(key);
                }
                _ => {}
            }
        }
        if !gone.is_empty() {
            owned.publish(now, Vec::new(), gone, out);
        }
    }

    pub(super) fn version_changed(&mut self, old: AdapterKey, new: AdapterKey) {
        for owned in self.engines.values_mut() {
            let live = owned.slots.has_or_loads(old) || owned.queue.waits_for(old, Class::Batch);
            if live && !owned.slots.has_or_loads(new) {
                owned.upgrades.push((old, new));
            }
        }
    }

    /// Forgets the loads in progress at an engine, and `evicting` loads that waited for a
    /// slot to be emptied, so that the budget doesn't wait for their ends.
    fn drop_loads(&mut self, target: TargetNo, evicting: usize) {
        let before = self.loading.len();
        self.loading.retain(|(t, _), _| *t != target);
        for _ in 0..(before - self.loading.len() + evicting) {
            self.budget.ended();
        }
    }
}
