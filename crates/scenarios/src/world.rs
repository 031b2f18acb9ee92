//! The simulation of a scenario: clocks, links, processes and engines, all driven from
//! one seed.

mod act;
mod audit;
mod deliver;
mod faults;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::{cmp::Reverse, time::Duration};

use base::{Incarnation, TargetName, Ticket, Time};
use control::{Input, Output};
use member::Observation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    call::{Call, Reply},
    operator::{Applied, Apply},
};

use crate::{
    check::Checker,
    engine::{Answer, Engine, Order, Sender},
    entry::{Checked, Entry},
    keeper::{Disk, Keeper, Write},
};

/// A message between two nodes.
#[derive(Clone, Debug)]
pub(crate) enum Msg {
    Call(u64, Call),
    Reply(u64, Reply),
    Order(u64, Order, Sender),
    Ordered(u64, Answer),
    Request(u64, String),
    Requested(u64),
    Report(u64),
    Reported(u64, Incarnation, BTreeSet<String>),
    Execute(u64, String),
    Executed(u64),
    Apply(u64, Apply),
    Applied(u64, Applied),
}

/// A scheduled action of a process; a pause delays it, a crash drops it.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Wake(u64),
    Beat { again: bool },
    Work,
    Claim,
    Retry(u64),
    SendOrder(Checked, Order),
    SendRequest(Checked, u64, String),
    SendMarked(u64),
    MarkedLost(u64),
    Sync,
    Clocks,
    PassLost(Ticket),
    EndRequest(u64),
    Resend(u64),
}

/// What a sent message asked for, so that its answer can be handled.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    Beat,
    Confirm(String, TargetName, u64),
    Claim(u64),
    Execute(u64),
    Order(TargetName, Order, Checked, Option<Observation>),
    Request(TargetName, u64),
    Report(TargetName, Observation, Time),
    Pass(Ticket),
    Change(Apply),
    Other,
}

#[derive(Debug)]
enum Event {
    Deliver(String, Msg),
    Step(u64, Step),
}

#[derive(Debug)]
pub(crate) enum Proc {
    Keeper(Box<Keeper>),
    Entry(Box<Entry>),
    Engine(Box<Engine>),
    Service,
    Operator,
}

/// A process or an engine, its clock, and whether it runs.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) proc: Proc,
    pub(crate) zone: String,
    pub(crate) life: u64,
    pub(crate) up: bool,
    /// The node is paused until this time.
    pub(crate) frozen: Time,
    /// Number of the latest wake-up; earlier ones are ignored.
    wake: u64,
    /// Local microseconds that pass in a real millisecond.
    drift: u64,
    /// Local time at the real time zero, in microseconds.
    offset: u64,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) nodes: BTreeMap<String, Node>,
    /// Links that lose all messages, each in one direction.
    pub(crate) cuts: BTreeSet<(String, String)>,
    /// Instances on the platform's list.
    pub(crate) listed: BTreeSet<String>,
    pub(crate) check: Checker,
    pub(crate) trace: Vec<String>,
    /// Open calls by id: the sender, its incarnation, and what it asked for.
    pending: BTreeMap<u64, (String, u64, Pending)>,
    queue: BinaryHeap<Reverse<(Time, u64, String)>>,
    events: BTreeMap<u64, Event>,
    disks: BTreeMap<String, Disk>,
    keepers: Vec<String>,
    next: u64,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = World {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            cuts: BTreeSet::new(),
            listed: BTreeSet::new(),
            check: Checker::default(),
            trace: Vec::new(),
            pending: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            disks: BTreeMap::new(),
            keepers: ["k1", "k2", "k3"].map(String::from).to_vec(),
            next: 0,
        };
        for (name, zone) in [("k1", "za"), ("k2", "zb"), ("k3", "zc")] {
            world.start_keeper(name, zone, 1);
        }
        world.add("svc", "hub", Proc::Service, 1);
        world.add("op", "hub", Proc::Operator, 1);
        world
    }

    pub(crate) fn roll(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(crate) fn pick<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        if from.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..from.len());
        Some(from[at].clone())
    }

    pub(crate) fn log(&mut self, what: impl FnOnce() -> String) {
        let line = format!("{} {}", self.now, what());
        self.trace.push(line);
        if self.trace.len() > 4_000 {
            self.trace.drain(..2_000);
        }
    }

    /// Processes the events of the next `ms` milliseconds, with an audit every 20 ms.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        let mut audit = self.now;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end || !self.check.errors.is_empty() {
                break;
            }
            if *at >= audit {
                self.now = audit.max(self.now);
                self.audit();
                audit = audit + Duration::from_millis(20);
                continue;
            }
            let Some(Reverse((at, seq, to))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            let Some(event) = self.events.remove(&seq) else {
                continue;
            };
            self.happen(to, event);
        }
        self.now = end;
    }

    /// Returns the time on the clock of `name`.
    pub(crate) fn local(&self, name: &str) -> Time {
        let node = &self.nodes[name];
        Time(node.offset + self.now.0 / 1_000 * node.drift + self.now.0 % 1_000)
    }

    fn after_local(&self, name: &str, at: Time) -> Duration {
        let wait = at.since(self.local(name)).as_micros();
        let wait = u64::try_from(wait).unwrap_or(u64::MAX);
        Duration::from_micros(wait * 1_000 / self.nodes[name].drift + 2_000)
    }

    pub(crate) fn add(&mut self, name: &str, zone: &str, proc: Proc, life: u64) {
        let drift = 980 + self.roll(0..41);
        let offset = self.roll(1..100_000_000_000);
        let (drift, offset) = match self.nodes.get(name) {
            Some(old) => (old.drift, old.offset),
            None => (drift, offset),
        };
        let node = Node {
            proc,
            zone: zone.to_owned(),
            life,
            up: true,
            frozen: Time::ZERO,
            wake: 0,
            drift,
            offset,
        };
        self.nodes.insert(name.to_owned(), node);
    }

    pub(crate) fn start_keeper(&mut self, name: &str, zone: &str, life: u64) {
        let disk = self.disks.get(name).cloned().unwrap_or_default();
        let seed = self.roll(0..u64::MAX);
        let keeper = Keeper::new(name, &self.keepers, disk, seed);
        self.add(name, zone, Proc::Keeper(Box::new(keeper)), life);
        self.step(name, 1, Step::Clocks);
        self.wake(name, Duration::from_millis(1));
    }

    pub(crate) fn start_entry(&mut self, name: &str, zone: &str, life: u64) {
        self.add(name, zone, Proc::Service, life);
        let mut entry = Entry::new(name, zone, life, self.local(name));
        let here = self.nodes.iter().filter(|(_, node)| node.zone == zone);
        for (engine, node) in here {
            if let Proc::Engine(fake) = &node.proc {
                entry.engines.push(engine.parse().unwrap());
                entry.slots = fake.slots;
            }
        }
        entry.targets.apply_list(&self.platform_list());
        self.nodes.get_mut(name).unwrap().proc = Proc::Entry(Box::new(entry));
        self.listed.insert(name.to_owned());
        self.step(name, 5, Step::Beat { again: true });
        self.step(name, 50, Step::Work);
        let wait = self.roll(500..1_500);
        self.step(name, wait, Step::Claim);
    }

    pub(crate) fn entry(&mut self, name: &str) -> Option<&mut Entry> {
        match &mut self.nodes.get_mut(name)?.proc {
            Proc::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    pub(crate) fn keeper(&mut self, name: &str) -> Option<&mut Keeper> {
        match &mut self.nodes.get_mut(name)?.proc {
            Proc::Keeper(keeper) => Some(keeper),
            _ => None,
        }
    }

    pub(crate) fn engine(&mut self, name: &str) -> Option<&mut Engine> {
        match &mut self.nodes.get_mut(name)?.proc {
            Proc::Engine(engine) => Some(engine),
            _ => None,
        }
    }

    pub(crate) fn names(&self, wanted: impl Fn(&Proc) -> bool) -> Vec<String> {
        let up = self
            .nodes
            .iter()
            .filter(|(_, node)| node.up && wanted(&node.proc));
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Schedules a step of the current incarnation of `name` in `ms` milliseconds.
    pub(crate) fn step(&mut self, name: &str, ms: u64, step: Step) {
        let life = self.nodes[name].life;
        let jitter = self.roll(0..1_000);
        let at = self.now + Duration::from_micros(ms * 1_000 + jitter);
        self.push(at, name, Event::Step(life, step));
    }

    /// Wakes the current incarnation of `name` after `wait`; replaces earlier wake-ups.
    pub(crate) fn wake(&mut self, name: &str, wait: Duration) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.wake += 1;
        let (life, wake) = (node.life, node.wake);
        let at = self.now + wait.min(Duration::from_secs(60));
        self.push(at, name, Event::Step(life, Step::Wake(wake)));
    }

    /// Sends a message, which is lost if the link is cut.
    pub(crate) fn send(&mut self, from: &str, to: &str, msg: Msg) {
        if self.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return;
        }
        // One message in a hundred is delayed by up to two seconds.
        let late = self.roll(0..100) == 0;
        let delay = if late {
            self.roll(5_000..2_000_000)
        } else {
            self.roll(500..4_000)
        };
        let at = self.now + Duration::from_micros(delay);
        self.push(at, to, Event::Deliver(from.to_owned(), msg));
    }

    /// Sends a message whose answer is handled as `pending`.
    pub(crate) fn ask(
        &mut self,
        from: &str,
        to: &str,
        pending: Pending,
        msg: impl FnOnce(u64) -> Msg,
    ) {
        self.next += 1;
        let id = self.next;
        let life = self.nodes[from].life;
        self.pending.insert(id, (from.to_owned(), life, pending));
        self.send(from, to, msg(id));
    }

    fn push(&mut self, at: Time, to: &str, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next, to.to_owned())));
    }

    fn happen(&mut self, to: String, event: Event) {
        let Some(node) = self.nodes.get(&to) else {
            return;
        };
        if !node.up {
            return;
        }
        // A paused process takes the event once it resumes.
        if node.frozen > self.now {
            let at = node.frozen;
            self.push(at, &to, event);
            return;
        }
        match event {
            Event::Step(life, _) if life != node.life => {}
            Event::Step(_, Step::Wake(wake)) if wake != node.wake => {}
            Event::Step(_, step) => self.take_step(&to, step),
            Event::Deliver(from, msg) => {
                if !self.cuts.contains(&(from.clone(), to.clone())) {
                    self.deliver(&from, &to, msg);
                }
            }
        }
    }

    /// Passes one input to a control instance and carries out its outputs.
    pub(crate) fn drive_keeper(&mut self, name: &str, input: Input) {
        let now = self.local(name);
        let Some(keeper) = self.keeper(name) else {
            return;
        };
        let mut out = Vec::new();
        keeper.control.handle(now, input, &mut out);
        for output in out {
            self.keeper_output(name, output);
        }
    }

    fn keeper_output(&mut self, name: &str, output: Output) {
        match output {
            Output::Reply { ticket, reply } => {
                self.answer(name, ticket, |id| Msg::Reply(id, reply))
            }
            Output::Applied { ticket, applied } => {
                self.answer(name, ticket, |id| Msg::Applied(id, applied));
            }
            Output::Forward { ticket, to, apply } => {
                let call = Call::Apply(apply);
                self.ask(name, to.as_str(), Pending::Pass(ticket), |id| {
                    Msg::Call(id, call)
                });
                self.step(name, 1_500, Step::PassLost(ticket));
            }
            Output::Send { to, call } => {
                self.ask(name, to.as_str(), Pending::Other, |id| Msg::Call(id, call));
            }
            Output::Write { no, records } => self.write(name, Write::Append(no, records)),
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => self.write(name, Write::Replace(no, snapshot, records)),
            Output::Wake(at) => {
                let wait = self.after_local(name, at);
                self.wake(name, wait);
            }
            // Scenarios neither change the replicas nor follow published editions.
            Output::Members { .. } | Output::Published { .. } => {}
            Output::Event(event) => self.log(|| format!("{name} {event:?}")),
        }
    }

    fn answer(&mut self, name: &str, ticket: Ticket, msg: impl FnOnce(u64) -> Msg) {
        let caller = self.keeper(name).and_then(|k| k.callers.remove(&ticket));
        if let Some((to, id)) = caller {
            self.send(name, &to, msg(id));
        }
    }

    fn write(&mut self, name: &str, write: Write) {
        if let Some(keeper) = self.keeper(name) {
            keeper.writes.push_back(write);
        }
        let wait = self.roll(1..6);
        self.step(name, wait, Step::Sync);
    }
}
