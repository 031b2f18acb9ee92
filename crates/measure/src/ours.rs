//! The project's own policy: a router and a scheduler on each entry instance, messages
//! that take a millisecond, and a leader that divides the store's load budget twice a
//! second.

use std::{collections::BTreeMap, time::Duration};

use base::{
    AdapterNo, Class, Fence, Incarnation, Refusal, StableHash, TargetNo, Ticket, Time, Tokens,
    stable_hash,
};
use route::{
    Attempts, Engine, Input, LoadEnd, LoadPolicy, Output, PoolNo, RequestSpec, Residents,
    RetryBudget, Router, RouterUpdate, Scheduler, Target, ZoneNo,
};

use crate::{
    policy::{Action, Event, replica_no, target_no, zone_of},
    workload::{Arrival, Sizes},
};

/// One-way delay of a message between two instances.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// Interval between two divisions of the store's load budget.
const BUDGET_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the load budget that is divided evenly, so that a zone that is cut off still
/// has some; the rest goes to the instances with waiting loads.
const EVEN_FRACTION: f64 = 0.5;

/// Pool number of the engines.
const ENGINES: PoolNo = PoolNo(0);

/// Pool number of the plain service.
const SERVICE: PoolNo = PoolNo(1);

/// Number of requests that a plain service replica runs at once.
const REPLICA_SLOTS: u32 = 32;

/// A message in flight, or the timer of the next budget division.
#[derive(Clone, Debug)]
enum Message {
    ToOwner(usize, Input),
    ToRouter(usize, RouterUpdate),
    DivideBudget,
}

/// State of a request at its entry instance.
#[derive(Clone, Debug)]
struct RequestState {
    arrival: Arrival,
    target: TargetNo,
    placed: Time,
    tried: Vec<TargetNo>,
    attempts: Attempts,
}

/// The routers and schedulers of all entry instances.
pub(crate) struct Ours {
    sizes: Sizes,
    routers: Vec<Router>,
    schedulers: Vec<Scheduler>,
    retries: Vec<RetryBudget>,
    requests: BTreeMap<usize, RequestState>,
    messages: BTreeMap<(Time, u64), Message>,
    seq: u64,
    incarnations: Vec<u64>,
    cut: Option<usize>,
}

impl Ours {
    pub(crate) fn new(sizes: &Sizes, seed: u64) -> Self {
        let router = |i: usize| Router::new(zone_no(zone_of(i, sizes.zones)), seed + i as u64);
        let mut ours = Ours {
            sizes: sizes.clone(),
            routers: (0..sizes.entries).map(router).collect(),
            schedulers: (0..sizes.entries)
                .map(|i| Scheduler::new(seed + 100 + i as u64))
                .collect(),
            retries: vec![RetryBudget::new(); sizes.entries],
            requests: BTreeMap::new(),
            messages: BTreeMap::new(),
            seq: 0,
            incarnations: vec![1; sizes.engines],
            cut: None,
        };
        ours.announce_all();
        ours
    }

    /// Announces the adapters and targets to all instances.
    fn announce_all(&mut self) {
        let mut out = Vec::new();
        for adapter in (0..self.sizes.adapters).map(AdapterNo) {
            let hash = stable_hash(&[&adapter.0.to_le_bytes()]);
            for i in 0..self.sizes.entries {
                self.routers[i].apply(Time::ZERO, RouterUpdate::Adapter { adapter, hash });
                self.scheduler(Time::ZERO, i, Input::Adapter { adapter, hash }, &mut out);
            }
        }
        for i in 0..self.sizes.replicas {
            let target = self.target(replica_no(&self.sizes, i), i, SERVICE);
            self.broadcast(Time::ZERO, &RouterUpdate::Target(target));
        }
        for i in 0..self.sizes.engines {
            let target = self.target(target_no(i), i, ENGINES);
            self.broadcast(Time::ZERO, &RouterUpdate::Target(target));
            self.assign_engine(Time::ZERO, i, LoadPolicy::Full, &mut out);
        }
        self.divide_budget(Time::ZERO, &mut out);
    }

    fn target(&self, target: TargetNo, i: usize, pool: PoolNo) -> Target {
        let engine = pool == ENGINES;
        Target {
            target,
            pool,
            zone: zone_no(zone_of(i, self.sizes.zones)),
            hash: hash_of(target),
            incarnation: Incarnation(if engine { self.incarnations[i] } else { 1 }),
            batch: if engine {
                self.sizes.batch
            } else {
                REPLICA_SLOTS
            },
            slots: if engine { self.sizes.slots } else { 0 },
        }
    }

    fn assign_engine(&mut self, now: Time, i: usize, policy: LoadPolicy, out: &mut Vec<Action>) {
        let engine = Engine {
            target: target_no(i),
            incarnation: Incarnation(self.incarnations[i]),
            slots: self.sizes.slots,
            batch: self.sizes.batch,
            policy,
        };
        let input = Input::Owned {
            engine,
            held: Vec::new(),
            inherited: false,
        };
        self.scheduler(now, self.owner(target_no(i)), input, out);
    }

    /// Returns the owner of an engine: an instance of its zone.
    fn owner(&self, target: TargetNo) -> usize {
        let (i, zones) = (target.0 as usize, self.sizes.zones);
        let zone = zone_of(i, zones);
        let candidates: Vec<_> = (0..self.sizes.entries)
            .filter(|e| zone_of(*e, zones) == zone)
            .collect();
        candidates[(i / zones) % candidates.len()]
    }

    pub(crate) fn next_at(&self) -> Option<Time> {
        self.messages.first_key_value().map(|((at, _), _)| *at)
    }

    pub(crate) fn on(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(id, arrival) => self.arrive(now, id, arrival, out),
            Event::Disconnected(id) => self.disconnected(now, id, out),
            Event::FirstToken(id) => self.first_token(now, id, out),
            Event::Ended(id, ok) => self.ended(now, id, ok, out),
            Event::Preempted(id) => self.finish(now, id, true, out),
            Event::Loaded(target, key, ok) => {
                let end = if ok { LoadEnd::Done } else { LoadEnd::Failed };
                let input = Input::Loaded { target, key, end };
                self.scheduler(now, self.owner(target), input, out);
            }
            Event::Unloaded(target, key) => {
                let ok = true;
                self.scheduler(
                    now,
                    self.owner(target),
                    Input::Unloaded { target, key, ok },
                    out,
                );
            }
            Event::Down(target) => {
                self.broadcast(now, &RouterUpdate::Reachable(target, false));
                self.assign_engine(now, target.0 as usize, LoadPolicy::None, out);
            }
            Event::Up(target) => {
                let i = target.0 as usize;
                self.incarnations[i] += 1;
                let known = self.target(target, i, ENGINES);
                self.broadcast(now, &RouterUpdate::Target(known));
                self.broadcast(now, &RouterUpdate::Reachable(target, true));
                self.assign_engine(now, i, LoadPolicy::Full, out);
            }
            Event::Cut(zone) => self.set_cut(now, Some(zone), out),
            Event::Healed => self.set_cut(now, None, out),
            Event::Timer => self.deliver(now, out),
        }
    }

    fn arrive(&mut self, now: Time, id: usize, arrival: Arrival, out: &mut Vec<Action>) {
        let mut request = RequestState {
            arrival,
            target: TargetNo(0),
            placed: now,
            tried: Vec::new(),
            attempts: Attempts::default(),
        };
        request.attempts.another();
        self.place(now, id, request, out);
    }

    fn place(&mut self, now: Time, id: usize, mut request: RequestState, out: &mut Vec<Action>) {
        let spec = request_spec(&request.arrival);
        let entry = request.arrival.entry;
        let Ok(choice) = self.routers[entry].choose(now, &spec, &request.tried) else {
            out.push(Action::Refuse(id));
            return;
        };
        let target = choice.target;
        self.routers[entry].apply(now, RouterUpdate::AttemptSent(target));
        if request.tried.is_empty() {
            self.retries[entry].earn(target);
        }
        (request.target, request.placed) = (target, now);
        self.requests.insert(id, request);
        out.push(Action::Place(id, target));
        if spec.key.is_none() {
            out.push(Action::Send(id, target, 0));
            return;
        }
        let ticket = Ticket(id as u64);
        let input = Input::Arrive {
            ticket,
            target,
            spec,
        };
        self.send_to_owner(now, entry, target, input, out);
    }

    fn disconnected(&mut self, now: Time, id: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.arrival.key.is_some() {
            let owner = self.owner(request.target);
            self.scheduler(now, owner, Input::Cancel(Ticket(id as u64)), out);
        }
        self.ended(now, id, true, out);
    }

    fn first_token(&mut self, now: Time, id: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let after = now.since(request.placed);
        let (entry, target) = (request.arrival.entry, request.target);
        self.routers[entry].apply(now, RouterUpdate::ResponseBegan(target, after));
        if request.arrival.key.is_some() {
            let owner = self.owner(target);
            self.scheduler(now, owner, Input::FirstToken(Ticket(id as u64)), out);
        }
    }

    fn ended(&mut self, now: Time, id: usize, ok: bool, out: &mut Vec<Action>) {
        self.finish(now, id, ok, out);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let target = request.target;
        self.routers[request.arrival.entry].apply(now, RouterUpdate::AttemptEnded { target, ok });
    }

    fn finish(&mut self, now: Time, id: usize, ok: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|t| t.arrival.key.is_some()) else {
            return;
        };
        let ticket = Ticket(id as u64);
        let owner = self.owner(request.target);
        self.scheduler(now, owner, Input::Finished { ticket, ok }, out);
    }

    /// Retries a request at another engine if its engine was unavailable and the attempt
    /// limit and the retry budget allow it; otherwise refuses it.
    fn refused(&mut self, now: Time, id: usize, reason: Refusal, out: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let (entry, target) = (request.arrival.entry, request.target);
        self.routers[entry].apply(now, RouterUpdate::AttemptEnded { target, ok: true });
        let retry = reason == Refusal::Unavailable
            && request.attempts.another()
            && self.retries[entry].spend(target);
        if !retry {
            out.push(Action::Refuse(id));
            return;
        }
        request.tried.push(target);
        self.place(now, id, request, out);
    }

    fn scheduler(&mut self, now: Time, i: usize, input: Input, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.schedulers[i].handle(now, input, &mut outputs);
        for output in outputs {
            self.apply_output(now, i, output, out);
        }
    }

    fn apply_output(&mut self, now: Time, i: usize, output: Output, out: &mut Vec<Action>) {
        match output {
            Output::Send {
                ticket,
                target,
                priority,
            } => out.push(Action::Send(id_of(ticket), target, priority)),
            Output::Refuse { ticket, failure } => {
                self.refused(now, id_of(ticket), failure.reason, out);
            }
            Output::Preempt(ticket) => out.push(Action::Preempt(id_of(ticket))),
            Output::Load { target, key } => out.push(Action::Load(target, key)),
            Output::Unload { target, key } => out.push(Action::Unload(target, key)),
            Output::Residents {
                target,
                full,
                added,
                removed,
                running,
                queued,
                evict_cost,
            } => {
                let update = RouterUpdate::Residents(Residents {
                    target,
                    fence: Fence(1),
                    full,
                    added,
                    removed,
                    running,
                    queued,
                    evict_cost,
                });
                for to in 0..self.sizes.entries {
                    if !self.connected(i, to) {
                        continue;
                    }
                    let delay = if to == i {
                        Duration::ZERO
                    } else {
                        MESSAGE_DELAY
                    };
                    self.schedule(now + delay, Message::ToRouter(to, update.clone()));
                }
            }
            Output::Wake(at) => self.schedule(at, Message::ToOwner(i, Input::Wake)),
        }
    }

    /// Returns whether two instances can reach each other.
    fn connected(&self, a: usize, b: usize) -> bool {
        let zone = |i| Some(zone_of(i, self.sizes.zones));
        self.cut.is_none() || (zone(a) == self.cut) == (zone(b) == self.cut)
    }

    fn send_to_owner(
        &mut self,
        now: Time,
        from: usize,
        target: TargetNo,
        input: Input,
        out: &mut Vec<Action>,
    ) {
        let owner = self.owner(target);
        match owner == from {
            true => self.scheduler(now, owner, input, out),
            false => self.schedule(now + MESSAGE_DELAY, Message::ToOwner(owner, input)),
        }
    }

    fn schedule(&mut self, at: Time, message: Message) {
        self.seq += 1;
        self.messages.insert((at, self.seq), message);
    }

    fn deliver(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(entry) = self.messages.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                // The caller may have disconnected while the message was in flight.
                Message::ToOwner(_, Input::Arrive { ticket, .. })
                    if !self.requests.contains_key(&id_of(ticket)) => {}
                Message::ToOwner(i, input) => self.scheduler(now, i, input, out),
                Message::ToRouter(i, update) => self.routers[i].apply(now, update),
                Message::DivideBudget => self.divide_budget(now, out),
            }
        }
    }

    /// Divides the store's load budget among the instances, as the leader does.
    fn divide_budget(&mut self, now: Time, out: &mut Vec<Action>) {
        let all = self.sizes.load_rate * 1_000.0;
        let count = self.sizes.entries;
        let leader = (0..count).find(|i| Some(zone_of(*i, self.sizes.zones)) != self.cut);
        let reached = |i: usize| leader.is_some_and(|l| self.connected(i, l));
        let reached: Vec<bool> = (0..count).map(reached).collect();
        let wanted: Vec<f64> = (0..count)
            .map(|i| {
                if reached[i] {
                    f64::from(self.schedulers[i].loads_wanted())
                } else {
                    0.0
                }
            })
            .collect();
        let sum: f64 = wanted.iter().sum();
        let reached_count = reached.iter().filter(|yes| **yes).count() as f64;
        for i in 0..count {
            let even = all * EVEN_FRACTION / count as f64;
            let part = match (reached[i], sum > 0.0) {
                (false, _) => 0.0,
                (true, true) => wanted[i] / sum,
                (true, false) => 1.0 / reached_count,
            };
            let rate = even + all * (1.0 - EVEN_FRACTION) * part;
            self.scheduler(now, i, Input::Budget(rate as u32), out);
        }
        self.schedule(now + BUDGET_INTERVAL, Message::DivideBudget);
    }

    /// Sets which zone is cut off, if any, and updates reachability.
    fn set_cut(&mut self, now: Time, cut: Option<usize>, out: &mut Vec<Action>) {
        self.cut = cut;
        let zones = self.sizes.zones;
        let engines = (0..self.sizes.engines).map(|i| (target_no(i), i));
        let replicas = (0..self.sizes.replicas).map(|i| (replica_no(&self.sizes, i), i));
        for (target, i) in engines.chain(replicas) {
            for entry in 0..self.sizes.entries {
                let cut_off =
                    cut.is_some_and(|z| (zone_of(entry, zones) == z) != (zone_of(i, zones) == z));
                self.routers[entry].apply(now, RouterUpdate::Reachable(target, !cut_off));
            }
        }
        for i in 0..self.sizes.engines {
            self.scheduler(
                now,
                self.owner(target_no(i)),
                Input::ResidentsRequested(target_no(i)),
                out,
            );
        }
    }

    fn broadcast(&mut self, now: Time, update: &RouterUpdate) {
        for router in &mut self.routers {
            router.apply(now, update.clone());
        }
    }
}

fn request_spec(arrival: &Arrival) -> RequestSpec {
    let plain = arrival.key.is_none();
    RequestSpec {
        pool: if plain { SERVICE } else { ENGINES },
        key: arrival.key,
        brand: arrival.brand,
        class: arrival.class,
        prefix: if arrival.class == Class::Batch {
            0
        } else {
            arrival.prefix
        },
        tokens: Tokens(arrival.tokens),
        deadline: arrival.deadline,
    }
}

fn id_of(ticket: Ticket) -> usize {
    usize::try_from(ticket.0).unwrap_or(usize::MAX)
}

fn zone_no(zone: usize) -> ZoneNo {
    ZoneNo(u32::try_from(zone).unwrap_or(u32::MAX))
}

fn hash_of(target: TargetNo) -> StableHash {
    stable_hash(&[b"target", &target.0.to_le_bytes()])
}
