//! Engines that come, go, restart and report.

use base::{AdapterKey, Class, Failure, Incarnation, Refusal, TargetNo, Time};
use place::SlotState;

use crate::{
    Engine, Output,
    desk::{Desk, bay::Bay},
};

impl Desk {
    pub(super) fn owned(
        &mut self,
        now: Time,
        engine: Engine,
        held: Vec<AdapterKey>,
        inherited: bool,
        out: &mut Vec<Output>,
    ) {
        let known = self.bays.get_mut(&engine.target);
        if let Some(bay) = known {
            if bay.engine.incarnation == engine.incarnation {
                bay.engine = engine;
                bay.slots.total = engine.slots;
                return;
            }
            self.restarted(now, engine);
        }
        let bay = self.bays.entry(engine.target);
        let bay = bay.or_insert_with(|| Bay::new(now, engine));
        bay.owned_at = now;
        for key in held {
            if bay.slots.get(key).is_some() {
                continue;
            }
            let used = self.demand.get(key.adapter);
            bay.slots.put(now, key, SlotState::Ready, used);
            if let Some(slot) = bay.slots.get_mut(key) {
                slot.inherited = inherited;
            }
        }
        bay.tell_whole(now, out);
    }

    /// An engine came back empty: what it held is loaded again from spare
    /// budget, most used first, before it is asked for.
    fn restarted(&mut self, now: Time, engine: Engine) {
        let target = engine.target;
        let Some(bay) = self.bays.get_mut(&target) else {
            return;
        };
        let held = bay.slots.iter().filter(|s| !s.retired);
        let mut held: Vec<_> = held.map(|s| (s.used.slow(now), s.key)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        let clearing = bay.slots.iter();
        let clearing =
            clearing.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let clearing = clearing.count();
        bay.ahead = held.into_iter().map(|(_, key)| key).collect();
        bay.slots = place::Slots::new(engine.slots);
        bay.engine = engine;
        bay.clearing = None;
        self.drop_loads(target, clearing);
    }

    /// Gives an engine up. What is queued goes back to its entry instance;
    /// what runs goes on.
    pub(super) fn lost(&mut self, target: TargetNo, out: &mut Vec<Output>) {
        let Some(bay) = self.bays.get_mut(&target) else {
            return;
        };
        let items = bay.queue.drain();
        let clearing = bay.slots.iter();
        let clearing =
            clearing.filter(|s| matches!(s.state, SlotState::Unloading { next: Some(_) }));
        let clearing = clearing.count();
        self.bays.remove(&target);
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
        let Some(bay) = self.bays.get_mut(&target) else {
            return;
        };
        if incarnation != bay.engine.incarnation {
            base::hit!(report_of_other_life);
            return;
        }
        if taken <= bay.owned_at {
            base::hit!(report_before_ownership);
            return;
        }
        let slots: Vec<_> = bay.slots.iter().map(|s| (s.key, s.last, s.pins)).collect();
        let mut gone = Vec::new();
        for (key, last, pins) in slots {
            let found = held.iter().find(|(k, _)| *k == key);
            match (found, bay.slots.get_mut(key)) {
                (Some((_, 0)), Some(slot)) => slot.inherited = false,
                (None, Some(slot))
                    if slot.state == SlotState::Ready && pins == 0 && last < taken =>
                {
                    bay.slots.remove(key);
                    gone.push(key);
                }
                _ => {}
            }
        }
        if !gone.is_empty() {
            bay.tell(now, Vec::new(), gone, out);
        }
    }

    pub(super) fn rolled(&mut self, old: AdapterKey, new: AdapterKey) {
        for bay in self.bays.values_mut() {
            let live = bay.slots.has_or_gets(old) || bay.queue.waits_for(old, Class::Batch);
            if live && !bay.slots.has_or_gets(new) {
                bay.rolls.push((old, new));
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
