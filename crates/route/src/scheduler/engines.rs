//! Engines that come, go, restart and report.

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
        owned.tell_whole(now, out);
    }

    /// An engine came back empty: what it held is loaded again from spare
    /// budget, most used first, before it is asked for.
    fn restarted(&mut self, now: Time, engine: Engine) {
        let target = engine.target;
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let held = owned.slots.iter().filter(|s| !s.retired);
        let mut held: Vec<_> = held.map(|s| (s.used.slow(now), s.key)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        let clearing = owned.slots.iter();
        let clearing =
            clearing.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let clearing = clearing.count();
        owned.ahead = held.into_iter().map(|(_, key)| key).collect();
        owned.slots = place::Slots::new(engine.slots);
        owned.engine = engine;
        owned.clearing = None;
        self.drop_loads(target, clearing);
    }

    /// Gives an engine up. What is queued goes back to its entry instance;
    /// what runs goes on.
    pub(super) fn lost(&mut self, target: TargetNo, out: &mut Vec<Output>) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let items = owned.queue.drain();
        let clearing = owned.slots.iter();
        let clearing =
            clearing.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let clearing = clearing.count();
        self.engines.remove(&target);
        self.backoff.forget(target);
        self.drop_loads(target, clearing);
        for item in items {
            self.requests.remove(&item.ticket);
            self.brand(item.brand).share.queued -= 1;
            out.push(Output::Refuse {
                ticket: item.ticket,
                failure: Failure::not_run(Refusal::Unavailable),
            });
        }
    }

    /// Takes in an engine's own account.
    ///
    /// Guards against eviction under the owner before: a report taken before
    /// that owner's lease ended does not show what it sent since, so only a
    /// later one may say that an inherited adapter is unused. A report of an
    /// earlier life says nothing at all.
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
            base::hit!(report_of_other_life);
            return;
        }
        if taken <= owned.owned_at {
            base::hit!(report_before_ownership);
            return;
        }
        let slots: Vec<_> = owned
            .slots
            .iter()
            .map(|s| (s.key, s.last, s.pins))
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
            owned.tell(now, Vec::new(), gone, out);
        }
    }

    pub(super) fn rolled(&mut self, old: AdapterKey, new: AdapterKey) {
        for owned in self.engines.values_mut() {
            let live = owned.slots.has_or_gets(old) || owned.queue.waits_for(old, Class::Batch);
            if live && !owned.slots.has_or_gets(new) {
                owned.rolls.push((old, new));
            }
        }
    }

    /// Forgets loads under way at an engine, and `clearing` ones that waited
    /// for a slot, so that the budget does not wait for their ends.
    fn drop_loads(&mut self, target: TargetNo, clearing: usize) {
        let before = self.loading.len();
        self.loading.retain(|(t, _), _| *t != target);
        for _ in 0..(before - self.loading.len() + clearing) {
            self.budget.ended();
        }
    }
}
