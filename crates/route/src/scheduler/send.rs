//! Sending: which queued request runs next on an engine, and which batch requests are
//! preempted.

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
    /// Sends queued requests to all engines that have capacity.
    pub(super) fn send_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let targets: Vec<TargetNo> = self.engines.keys().copied().collect();
        for target in targets {
            while self.rests.wait(now, &target).is_none()
                && let Some(class) = self.next_class(now, target)
            {
                if !self.send_one(now, target, class, out) {
                    break;
                }
                self.rests.begin(now, &target);
            }
            self.preempt_for_urgent(now, target, out);
        }
    }

    /// Returns the most urgent class that has both a request that could run and capacity
    /// for it.
    fn next_class(&self, now: Time, target: TargetNo) -> Option<Class> {
        let owned = self.engines.get(&target)?;
        let waits = |class| owned.queue.ready(class, &owned.ready(class)) > 0;
        let used = owned.running_total();
        // A critical request is sent even into a full batch: the engine puts it first in
        // its own queue.
        if waits(Class::Critical) {
            return Some(Class::Critical);
        }
        let live = waits(Class::Live);
        let batch = waits(Class::Batch);
        let batch_running = owned.running[Class::Batch as usize] - owned.preempting;
        let shared = used < owned.live_capacity();
        // The guaranteed batch share comes before live requests: it is only as large as
        // the batch work needs, and live requests would never leave capacity for it.
        if batch && shared && batch_running < owned.guaranteed(now) {
            return Some(Class::Batch);
        }
        if live && shared {
            return Some(Class::Live);
        }
        let spare = batch && !live && used < owned.batch_capacity();
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
        owned.due[class as usize].remove(&(request.spec.deadline, item.ticket));
        request.state = State::Sent(owned.engine.incarnation);
        owned.running[class as usize] += 1;
        let slot = item.key.and_then(|key| owned.slots.get_mut(key));
        if let Some(slot) = slot {
            slot.pins += 1;
            slot.last_used = now;
            slot.usage.add(now, use_weight(class));
        }
        let sent = Sent {
            item,
            at: now,
            preempted: false,
            caller_gone: false,
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

    /// Preempts running batch requests while more urgent requests wait for capacity.
    ///
    /// Guards against live requests that are delayed by long batch answers: their first
    /// tokens would come only when a batch answer ends. Batch work keeps its guaranteed
    /// share against live requests, but not against critical ones.
    fn preempt_for_urgent(&mut self, now: Time, target: TargetNo, out: &mut Vec<Output>) {
        let Some(owned) = self.engines.get_mut(&target) else {
            return;
        };
        let batch_running = owned.running[Class::Batch as usize] - owned.preempting;
        let over = owned.running_total().saturating_sub(owned.engine.batch);
        let live = owned.queue.ready(Class::Live, &owned.ready(Class::Live));
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let spare = batch_running.saturating_sub(owned.guaranteed(now));
        let need = over.max(live.min(spare)).saturating_sub(owned.preempting);
        preempt_newest(owned, need.min(batch_running), |_| true, out);
    }
}

/// Requests the preemption of up to `count` running batch requests that match `filter`,
/// last sent first, because those lose the least work.
pub(super) fn preempt_newest(
    owned: &mut OwnedEngine,
    count: u32,
    filter: impl Fn(&Sent) -> bool,
    out: &mut Vec<Output>,
) {
    if count == 0 {
        return;
    }
    let batch = owned.sent.values_mut();
    let batch = batch.filter(|s| s.item.class == Class::Batch && !s.preempted && filter(s));
    let mut batch: Vec<_> = batch.collect();
    batch.sort_by_key(|s| std::cmp::Reverse((s.at, s.item.ticket)));
    for sent in batch.into_iter().take(count as usize) {
        base::hit!(batch_preempted);
        sent.preempted = true;
        owned.preempting += 1;
        out.push(Output::Preempt(sent.item.ticket));
    }
}

/// Returns the priority for the engine's own queue, which takes the lowest number first.
fn priority(class: Class) -> i32 {
    match class {
        Class::Critical => 0,
        Class::Live => 1,
        Class::Batch => 2,
    }
}
