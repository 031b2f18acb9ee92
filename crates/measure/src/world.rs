//! A discrete-event simulation of one workload under one policy, in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{AdapterKey, Class, TargetNo, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    engine::{Engine, Job},
    figures::{Figures, Outcome},
    policy::{Action, Event, Policy, PolicyState, target_no},
    store::Store,
    workload::{Arrival, Fault, Workload},
};

/// Time that an unload takes.
const UNLOAD: Duration = Duration::from_millis(2);

/// Number of requests that a plain service replica runs at once.
const REPLICA_SLOTS: usize = 32;

/// Time that a plain service replica takes for one request.
const REPLICA_TIME: Duration = Duration::from_millis(20);

/// A scheduled event. Requests, engines and replicas are named by index.
#[derive(Clone, Copy, Debug)]
enum Scheduled {
    Arrive(usize),
    /// The step of an engine ends, unless the engine has crashed since it began.
    Step(usize, u64),
    /// A plain service replica finishes a request.
    Replica(usize, usize),
    /// The deadline of a request passes; its caller disconnects if no token has come.
    CallerTimeout(usize),
    Unloaded(TargetNo, AdapterKey),
    Fault(Fault),
}

/// State of a request in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not placed at any target.
    Unplaced,
    /// Queued for a target.
    Placed(TargetNo),
    /// Sent to a target.
    Sent(TargetNo),
    /// Answered, refused or abandoned by its caller.
    Ended,
}

/// A request and its outcome so far.
#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    state: State,
    left: u32,
    outcome: Outcome,
    /// Start of its current load stall.
    stalled: Option<Time>,
}

/// State of one run.
struct World<'a> {
    work: &'a Workload,
    now: Time,
    scheduled: BTreeMap<(Time, u64), Scheduled>,
    seq: u64,
    policy: PolicyState,
    engines: Vec<Engine>,
    replicas: Vec<(usize, VecDeque<usize>)>,
    store: Store,
    requests: Vec<Request>,
    waiting: BTreeMap<(TargetNo, AdapterKey), Vec<usize>>,
    rng: ChaCha8Rng,
    figures: Figures,
}

/// Runs a workload under a policy and returns the metrics of its counted period.
#[must_use]
pub fn run(work: &Workload, policy: Policy, seed: u64) -> Figures {
    let sizes = &work.sizes;
    let mut world = World {
        work,
        now: Time::ZERO,
        scheduled: BTreeMap::new(),
        seq: 0,
        policy: PolicyState::new(policy, sizes, seed),
        engines: vec![Engine::new(sizes.batch as usize, sizes.pace); sizes.engines],
        replicas: vec![(0, VecDeque::new()); sizes.replicas],
        store: Store::new(sizes.load_rate, sizes.parallel),
        requests: work.arrivals.iter().map(Request::new).collect(),
        waiting: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        figures: Figures::default(),
    };
    for (i, arrival) in work.arrivals.iter().enumerate() {
        world.schedule(arrival.at, Scheduled::Arrive(i));
        if arrival.class != Class::Batch {
            world.schedule(arrival.deadline, Scheduled::CallerTimeout(i));
        }
    }
    for (at, fault) in &work.faults {
        world.schedule(*at, Scheduled::Fault(*fault));
    }
    world.run_to(work.span.start());
    world.reset_counters();
    world.run_to(work.span.end());
    world.finish()
}

impl Request {
    fn new(arrival: &Arrival) -> Self {
        Request {
            arrival: *arrival,
            state: State::Unplaced,
            left: arrival.tokens,
            outcome: Outcome::default(),
            stalled: None,
        }
    }
}

impl World<'_> {
    fn run_to(&mut self, end: Time) {
        loop {
            let scheduled = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            let next = [scheduled, self.policy.next_at(), self.store.next_at()];
            let Some(at) = next.into_iter().flatten().min().filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            for (target, key) in self.store.take_done(self.now) {
                self.loaded(target, key);
            }
            if self.policy.next_at().is_some_and(|t| t <= self.now) {
                self.notify(Event::Timer);
            }
            while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 <= at) {
                let scheduled = entry.remove();
                self.handle(scheduled);
            }
        }
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Arrive(id) => self.notify(Event::Arrive(id, self.requests[id].arrival)),
            Scheduled::Step(i, incarnation) if self.engines[i].incarnation == incarnation => {
                self.step(i)
            }
            Scheduled::Step(..) => {}
            Scheduled::Replica(i, id) => self.replica_done(i, id),
            Scheduled::CallerTimeout(id) => self.caller_timeout(id),
            Scheduled::Unloaded(target, key) => self.notify(Event::Unloaded(target, key)),
            Scheduled::Fault(Fault::Down(i)) => self.down(i),
            Scheduled::Fault(Fault::Up(i)) => {
                self.engines[i].up = true;
                self.notify(Event::Up(target_no(i)));
            }
            Scheduled::Fault(Fault::Cut(zone)) => self.notify(Event::Cut(zone)),
            Scheduled::Fault(Fault::Healed) => self.notify(Event::Healed),
        }
    }

    fn notify(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Place(id, target) => self.place(id, target),
            Action::Send(id, target, priority) => self.send(id, target, priority),
            Action::Refuse(id) => {
                self.unplace(id);
                self.requests[id].state = State::Ended;
                self.requests[id].outcome.refused = true;
            }
            Action::Preempt(id) => self.preempt(id),
            Action::Load(target, key) => {
                let engine = &self.engines[target.0 as usize];
                // A load occupies its slot from its start.
                let held = engine.resident.len() + self.store.in_progress(target);
                let room = held < self.work.sizes.slots as usize;
                self.figures.violations += u64::from(!room);
                if engine.up {
                    self.store.start(self.now, target, key);
                }
            }
            Action::Unload(target, key) => {
                let users = self.engines[target.0 as usize].users(key);
                self.figures.violations += u64::from(users > 0);
                self.engines[target.0 as usize].resident.remove(&key);
                for id in self
                    .waiting
                    .get(&(target, key))
                    .cloned()
                    .unwrap_or_default()
                {
                    self.requests[id].stalled.get_or_insert(self.now);
                }
                self.schedule(self.now + UNLOAD, Scheduled::Unloaded(target, key));
            }
        }
    }

    fn place(&mut self, id: usize, target: TargetNo) {
        self.unplace(id);
        let request = &mut self.requests[id];
        request.state = State::Placed(target);
        let Some(key) = request.arrival.key else {
            return;
        };
        if !self.engines[target.0 as usize].resident.contains(&key) {
            request.stalled = Some(self.now);
        }
        self.waiting.entry((target, key)).or_default().push(id);
    }

    /// Removes a request from its engine's queue and ends its stall.
    fn unplace(&mut self, id: usize) {
        let request = &mut self.requests[id];
        if let Some(since) = request.stalled.take() {
            request.outcome.stall += self.now.since(since);
        }
        if let (State::Placed(target), Some(key)) = (request.state, request.arrival.key)
            && let Some(line) = self.waiting.get_mut(&(target, key))
        {
            line.retain(|other| *other != id);
        }
    }

    fn send(&mut self, id: usize, target: TargetNo, priority: i32) {
        if self.requests[id].state == State::Ended {
            return;
        }
        self.unplace(id);
        self.requests[id].state = State::Sent(target);
        let arrival = self.requests[id].arrival;
        let Some(key) = arrival.key else {
            return self.enter_replica(id, target.0 as usize - self.engines.len());
        };
        let engine = &mut self.engines[target.0 as usize];
        if !engine.resident.contains(&key) || !engine.up {
            self.figures.violations += 1;
            return;
        }
        engine.submit(
            priority,
            Job {
                id,
                key,
                prompt: arrival.prompt,
                prefix: arrival.prefix,
                left: self.requests[id].left,
            },
        );
        self.begin_step(target.0 as usize);
    }

    fn begin_step(&mut self, i: usize) {
        if let Some(micros) = self.engines[i].begin_step() {
            let incarnation = self.engines[i].incarnation;
            self.schedule(Time(self.now.0 + micros), Scheduled::Step(i, incarnation));
        }
    }

    fn step(&mut self, i: usize) {
        let step = self.engines[i].end_step();
        self.figures.tokens += step.tokens.len() as u64;
        for id in step.tokens {
            self.requests[id].left -= 1;
            if self.requests[id].outcome.first.is_none() {
                self.requests[id].outcome.first = Some(self.now);
                self.notify(Event::FirstToken(id));
            }
        }
        for id in step.ended {
            self.requests[id].state = State::Ended;
            self.requests[id].outcome.done = Some(self.now);
            self.notify(Event::Ended(id, true));
        }
        self.begin_step(i);
    }

    fn preempt(&mut self, id: usize) {
        let State::Sent(target) = self.requests[id].state else {
            return;
        };
        self.engines[target.0 as usize].cancel(id);
        self.place(id, target);
        self.notify(Event::Preempted(id));
    }

    fn caller_timeout(&mut self, id: usize) {
        let request = &self.requests[id];
        if request.outcome.first.is_some() || request.state == State::Ended {
            return;
        }
        if let (State::Sent(target), Some(_)) = (request.state, request.arrival.key) {
            self.engines[target.0 as usize].cancel(id);
        }
        self.unplace(id);
        self.requests[id].state = State::Ended;
        self.notify(Event::Disconnected(id));
    }

    fn loaded(&mut self, target: TargetNo, key: AdapterKey) {
        let unloadable = self.work.unloadable.contains(&key.adapter);
        let ok = !unloadable && !self.rng.random_bool(self.work.failure_rate);
        if ok {
            self.engines[target.0 as usize].resident.insert(key);
            for id in self
                .waiting
                .get(&(target, key))
                .cloned()
                .unwrap_or_default()
            {
                let request = &mut self.requests[id];
                if let Some(since) = request.stalled.take() {
                    request.outcome.stall += self.now.since(since);
                }
            }
        }
        self.notify(Event::Loaded(target, key, ok));
    }

    /// Takes an engine down; its requests arrive again as new attempts that generate only
    /// the remaining tokens.
    fn down(&mut self, i: usize) {
        let target = target_no(i);
        self.engines[i].crash();
        self.store.drop_target(self.now, target);
        self.notify(Event::Down(target));
        let here = |state| state == State::Sent(target) || state == State::Placed(target);
        let ids = (0..self.requests.len()).filter(|id| here(self.requests[*id].state));
        for id in ids.collect::<Vec<_>>() {
            self.unplace(id);
            self.requests[id].state = State::Unplaced;
            self.notify(Event::Ended(id, false));
            self.notify(Event::Arrive(id, self.requests[id].arrival));
        }
    }

    fn enter_replica(&mut self, id: usize, i: usize) {
        if self.replicas[i].0 >= REPLICA_SLOTS {
            self.replicas[i].1.push_back(id);
            return;
        }
        self.replicas[i].0 += 1;
        self.schedule(self.now + REPLICA_TIME, Scheduled::Replica(i, id));
    }

    fn replica_done(&mut self, i: usize, id: usize) {
        self.replicas[i].0 -= 1;
        if let Some(next) = self.replicas[i].1.pop_front() {
            self.enter_replica(next, i);
        }
        if self.requests[id].state == State::Ended {
            return;
        }
        self.requests[id].state = State::Ended;
        self.requests[id].outcome.first = Some(self.now);
        self.requests[id].outcome.done = Some(self.now);
        self.notify(Event::FirstToken(id));
        self.notify(Event::Ended(id, true));
    }

    fn schedule(&mut self, at: Time, scheduled: Scheduled) {
        self.seq += 1;
        self.scheduled.insert((at, self.seq), scheduled);
    }

    /// Resets the counters at the end of the warm-up.
    fn reset_counters(&mut self) {
        self.figures.tokens = 0;
        self.store.started = 0;
        for engine in &mut self.engines {
            engine.busy_secs = 0.0;
        }
    }

    fn finish(mut self) -> Figures {
        for id in 0..self.requests.len() {
            self.unplace(id);
        }
        let mut figures = self.figures;
        figures.loads = self.store.started;
        figures.busy_secs = self.engines.iter().map(|e| e.busy_secs).sum();
        for request in &self.requests {
            let arrival = &request.arrival;
            if self.work.counts(arrival) {
                figures.add(arrival, &request.outcome, self.work.loadable(arrival));
            }
            if self.work.counts_worth(arrival) {
                figures.add_worth(arrival, &request.outcome);
            }
        }
        figures
    }
}
