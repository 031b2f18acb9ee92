//! Sending: which queued request takes the next place in an engine's batch.

use base::{Class, TargetNo, Time};

use crate::{
    Output,
    scheduler::{
        Scheduler, State,
        owned::{OwnedEngine, Sent},
        use_weight,
    },
};

impl Scheduler {
    /// Fills the free places of all engines.
    pub(super) fn send_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let targets: Vec<TargetNo> = self.engines.keys().copied().collect();
        for target in targets {
            while let Some(class) = self.next_class(now, target) {
                if !self.send_one(now, target, class, out) {
                    break;
                }
            }
            self.make_way(now, target, out);
        }
    }

    /// Returns the most urgent class that has both a request that could run
    /// and a place.
    fn next_class(&self, now: Time, target: TargetNo) -> Option<Class> {
        let owned = self.engines.get(&target)?;
        let waits = |class| owned.queue.ready(class, &owned.ready(class)) > 0;
        let used = owned.in_batch();
        // A critical request is sent even into a full batch: the engine puts
        // it first in its own queue.
        if waits(Class::Critical) {
            return Some(Class::Critical);
        }
        let live = waits(Class::Live);
        let batch = waits(Class::Batch);
        let own = owned.running[Class::Batch as usize] - owned.yielding;
        let shared = used < owned.live_places();
        // The guaranteed share comes before live work: it is only as large as
        // batch work needs, and live work would never leave it a place.
        if batch && shared && own < owned.guaranteed(now) {
            return Some(Class::Batch);
        }
        if live && shared {
            return Some(Class::Live);
        }
        let spare = batch && !live && used < owned.batch_places();
        spare.then_some(Class::Batch)
    }

    fn send_one(
        &mut self,
        now: Time,
        target: TargetNo,
        class: Class,
        out: &mut Vec<Output>,
    ) -> bool {
        let brands = &self.brands;
        let weight = |brand| brands.get(&brand).map_or(1, |b| b.weight);
        let Some(owned) = self.engines.get_mut(&target) else {
            return false;
        };
        let ready = owned.ready(class);
        let Some(item) = owned.queue.pop(class, &ready, weight) else {
            return false;
        };
        let Some(request) = self.requests.get_mut(&item.ticket) else {
            return false;
        };
        owned.due[class as usize].remove(&(request.ask.deadline, item.ticket));
        request.state = State::Sent(owned.engine.incarnation);
        owned.running[class as usize] += 1;
        let slot = item.key.and_then(|key| owned.slots.get_mut(key));
        if let Some(slot) = slot {
            slot.pins += 1;
            slot.last = now;
            slot.used.add(now, use_weight(class));
        }
        let sent = Sent {
            item,
            at: now,
            yields: false,
            gone: false,
        };
        owned.sent.insert(item.ticket, sent);
        let share = &mut self.brand(item.brand).share;
        share.queued -= 1;
        share.running += 1;
        share.sent += 1;
        share.tokens += u64::from(item.tokens);
        share.waited += u64::try_from(now.since(item.since).as_micros()).unwrap_or(0);
        out.push(Output::Send {
            ticket: item.ticket,
            target,
            priority: priority(class),
        });
        true
    }

    /// Tells running batch work to give way where more urgent work waits for
    /// a place.
    ///
    /// Guards against live work held up by long batch answers: the wait would
    /// show as first tokens that come only when a batch answer ends. Batch
    /// work keeps its guaranteed share against live work, but nothing against
    /// critical work.
    fn make_way(&mut self, now: Time, target: TargetNo, out: &mut Vec<Output>) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let own = owned.running[Class::Batch as usize] - owned.yielding;
        let over = owned.in_batch().saturating_sub(owned.engine.batch);
        let live = owned.queue.ready(Class::Live, &owned.ready(Class::Live));
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let spare = own.saturating_sub(owned.guaranteed(now));
        let need = over.max(live.min(spare)).saturating_sub(owned.yielding);
        yield_newest(owned, need.min(own), |_| true, out);
    }
}

/// Tells up to `count` running batch requests that are `fit` to give way, the
/// ones sent last first: they lose least.
pub(super) fn yield_newest(
    owned: &mut OwnedEngine,
    count: u32,
    fit: impl Fn(&Sent) -> bool,
    out: &mut Vec<Output>,
) {
    if count == 0 {
        return;
    }
    let batch = owned.sent.values_mut();
    let batch = batch.filter(|s| s.item.class == Class::Batch && !s.yields && fit(s));
    let mut batch: Vec<_> = batch.collect();
    batch.sort_by_key(|s| std::cmp::Reverse((s.at, s.item.ticket)));
    for sent in batch.into_iter().take(count as usize) {
        base::hit!(batch_gives_way);
        sent.yields = true;
        owned.yielding += 1;
        out.push(Output::Preempt(sent.item.ticket));
    }
}

/// The engine's own queue takes the lowest number first.
fn priority(class: Class) -> i32 {
    match class {
        Class::Critical => 0,
        Class::Live => 1,
        Class::Batch => 2,
    }
}
