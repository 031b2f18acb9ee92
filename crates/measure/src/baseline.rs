//! The baseline policies: each combines a choice of engine with an eviction rule and loads
//! adapters on demand.
//!
//! They know every engine's exact load without delay, which no real system does, so the
//! comparison favours the baselines.

use std::collections::{BTreeMap, VecDeque};

use base::{AdapterKey, Class, TargetNo, Time, stable_hash};

use crate::{
    policy::{Action, Event, Evict, Placement, replica_no, target_no, zone_of},
    workload::{Arrival, Sizes},
};

/// A baseline's view of one target.
#[derive(Clone, Debug, Default)]
struct TargetState {
    zone: usize,
    up: bool,
    slots: BTreeMap<AdapterKey, Slot>,
    /// Requests that wait for a free slot, in order of arrival.
    queue: VecDeque<usize>,
    /// Number of requests placed here that have not ended.
    load: u32,
}

#[derive(Clone, Debug)]
struct Slot {
    ready: bool,
    loaded: Time,
    used: Time,
    users: u32,
    /// Requests that wait until the adapter is loaded.
    waiting: Vec<usize>,
}

/// The state of a baseline policy in one run.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    sizes: Sizes,
    placement: Placement,
    evict: Evict,
    targets: Vec<TargetState>,
    requests: BTreeMap<usize, (Arrival, TargetNo)>,
    cut: Option<usize>,
}

impl Baseline {
    pub(crate) fn new(sizes: &Sizes, placement: Placement, evict: Evict) -> Self {
        let state = |i| TargetState {
            zone: zone_of(i, sizes.zones),
            up: true,
            ..TargetState::default()
        };
        let engines = (0..sizes.engines).map(state);
        Baseline {
            sizes: sizes.clone(),
            placement,
            evict,
            targets: engines.chain((0..sizes.replicas).map(state)).collect(),
            requests: BTreeMap::new(),
            cut: None,
        }
    }

    pub(crate) fn on(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(id, arrival) => self.arrive(now, id, arrival, out),
            Event::Disconnected(id) | Event::Ended(id, _) => self.ended(now, id, out),
            Event::Loaded(target, key, ok) => self.loaded(now, target, key, ok, out),
            Event::Down(target) => {
                let state = &mut self.targets[target.0 as usize];
                state.up = false;
                state.slots.clear();
                state.queue.clear();
            }
            Event::Up(target) => self.targets[target.0 as usize].up = true,
            Event::Cut(zone) => self.cut = Some(zone),
            Event::Healed => self.cut = None,
            Event::FirstToken(_) | Event::Preempted(_) | Event::Unloaded(..) | Event::Timer => {}
        }
    }

    fn arrive(&mut self, now: Time, id: usize, arrival: Arrival, out: &mut Vec<Action>) {
        let Some(target) = self.choose(&arrival) else {
            out.push(Action::Refuse(id));
            return;
        };
        self.requests.insert(id, (arrival, target));
        self.targets[target.0 as usize].load += 1;
        out.push(Action::Place(id, target));
        match arrival.key {
            Some(key) => self.use_slot(now, id, target, key, out),
            None => out.push(Action::Send(id, target, 0)),
        }
    }

    fn choose(&self, arrival: &Arrival) -> Option<TargetNo> {
        let from = zone_of(arrival.entry, self.sizes.zones);
        let reach = |t: &TargetNo| {
            let state = &self.targets[t.0 as usize];
            let cut = self.cut.is_some_and(|z| (z == from) != (z == state.zone));
            state.up && !cut
        };
        let least = |t: &TargetNo| (self.targets[t.0 as usize].load, *t);
        let Some(key) = arrival.key else {
            let replicas = (0..self.sizes.replicas).map(|i| replica_no(&self.sizes, i));
            return replicas.filter(reach).min_by_key(least);
        };
        let engines = || (0..self.sizes.engines).map(target_no).filter(reach);
        let home = |t: &TargetNo| stable_hash(&[&key.adapter.0.to_le_bytes(), &t.0.to_le_bytes()]);
        match self.placement {
            Placement::LeastLoaded => engines().min_by_key(least),
            Placement::Hash => engines().max_by_key(home),
            Placement::Holder => {
                let holds = |t: &TargetNo| self.targets[t.0 as usize].slots.contains_key(&key);
                let room = |t: &TargetNo| self.targets[t.0 as usize].load < self.sizes.batch;
                let holder = engines().filter(holds).min_by_key(least).filter(room);
                let home = || engines().max_by_key(home).filter(room);
                holder.or_else(home).or_else(|| engines().min_by_key(least))
            }
        }
    }

    fn use_slot(
        &mut self,
        now: Time,
        id: usize,
        target: TargetNo,
        key: AdapterKey,
        out: &mut Vec<Action>,
    ) {
        let class = self.requests[&id].0.class;
        let full = self.targets[target.0 as usize].slots.len() >= self.sizes.slots as usize;
        let state = &mut self.targets[target.0 as usize];
        if let Some(slot) = state.slots.get_mut(&key) {
            slot.users += 1;
            slot.used = now;
            match slot.ready {
                true => out.push(Action::Send(id, target, priority(class))),
                false => slot.waiting.push(id),
            }
            return;
        }
        if full {
            let unused = state.slots.iter().filter(|(_, s)| s.users == 0 && s.ready);
            let victim = unused.min_by_key(|(key, s)| match self.evict {
                Evict::Oldest => (s.loaded, **key),
                Evict::LeastRecent => (s.used, **key),
            });
            let Some(victim) = victim.map(|(key, _)| *key) else {
                state.queue.push_back(id);
                return;
            };
            state.slots.remove(&victim);
            out.push(Action::Unload(target, victim));
        }
        let slot = Slot {
            ready: false,
            loaded: now,
            used: now,
            users: 1,
            waiting: vec![id],
        };
        state.slots.insert(key, slot);
        out.push(Action::Load(target, key));
    }

    fn loaded(
        &mut self,
        now: Time,
        target: TargetNo,
        key: AdapterKey,
        ok: bool,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.targets[target.0 as usize];
        let Some(slot) = state.slots.get_mut(&key) else {
            return;
        };
        let waiting = std::mem::take(&mut slot.waiting);
        slot.ready = true;
        slot.loaded = now;
        if !ok {
            state.slots.remove(&key);
        }
        for id in waiting {
            let Some((arrival, _)) = self.requests.get(&id) else {
                continue;
            };
            match ok {
                true => out.push(Action::Send(id, target, priority(arrival.class))),
                false => {
                    self.remove_request(id);
                    out.push(Action::Refuse(id));
                }
            }
        }
        self.serve_queue(now, target, out);
    }

    fn ended(&mut self, now: Time, id: usize, out: &mut Vec<Action>) {
        let Some((arrival, target)) = self.remove_request(id) else {
            return;
        };
        let state = &mut self.targets[target.0 as usize];
        if let Some(at) = state.queue.iter().position(|q| *q == id) {
            state.queue.remove(at);
            return;
        }
        if let Some(slot) = arrival.key.and_then(|key| state.slots.get_mut(&key)) {
            slot.users = slot.users.saturating_sub(1);
            slot.waiting.retain(|w| *w != id);
        }
        self.serve_queue(now, target, out);
    }

    /// Gives free slots to the queued requests, in order.
    fn serve_queue(&mut self, now: Time, target: TargetNo, out: &mut Vec<Action>) {
        let queue = std::mem::take(&mut self.targets[target.0 as usize].queue);
        for id in queue {
            if let Some(key) = self.requests.get(&id).and_then(|(a, _)| a.key) {
                self.use_slot(now, id, target, key, out);
            }
        }
    }

    fn remove_request(&mut self, id: usize) -> Option<(Arrival, TargetNo)> {
        let found = self.requests.remove(&id)?;
        let state = &mut self.targets[found.1.0 as usize];
        state.load = state.load.saturating_sub(1);
        Some(found)
    }
}

/// Returns the priority at the engine; the simulated engines serve lower numbers first.
fn priority(class: Class) -> i32 {
    match class {
        Class::Critical => 0,
        Class::Live => 1,
        Class::Batch => 2,
    }
}
