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
    control_node::{ControlNode, Disk, Write},
    engine::{Answer, Engine, Order, Sender},
    entry::{Entry, Permit},
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
    Heartbeat {
        again: bool,
    },
    Work,
    BeginMarked,
    RetryClaim(u64),
    SendOrder(Permit, Order),
    SendRequest(Permit, u64, String),
    SendMarked(u64),
    MarkedTimedOut(u64),
    Sync,
    /// Passes the wall clock and the platform's list to a control instance.
    PlatformInput,
    ForwardTimedOut(Ticket),
    EndRequest(u64),
    RetryChange(u64),
}

/// What a sent message asked for, so that its answer can be handled.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    Heartbeat,
    Confirm(String, TargetName, u64),
    Claim(u64),
    Execute(u64),
    Order(TargetName, Order, Permit, Option<Observation>),
    Request(TargetName, u64),
    Report(TargetName, Observation, Time),
    Forward(Ticket),
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
    Control(Box<ControlNode>),
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
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    /// The node is paused until this time.
    pub(crate) paused_until: Time,
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
    control_nodes: Vec<String>,
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
            control_nodes: ["k1", "k2", "k3"].map(String::from).to_vec(),
            next: 0,
        };
        for (name, zone) in [("k1", "za"), ("k2", "zb"), ("k3", "zc")] {
            world.start_control(name, zone, 1);
        }
        world.add("svc", "hub", Proc::Service, 1);
        world.add("op", "hub", Proc::Operator, 1);
        world
    }

    pub(crate) fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
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
                self.check_owners();
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
            self.dispatch(to, event);
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

    pub(crate) fn add(&mut self, name: &str, zone: &str, proc: Proc, incarnation: u64) {
        let drift = 980 + self.random(0..41);
        let offset = self.random(1..100_000_000_000);
        let (drift, offset) = match self.nodes.get(name) {
            Some(old) => (old.drift, old.offset),
            None => (drift, offset),
        };
        let node = Node {
            proc,
            zone: zone.to_owned(),
            incarnation,
            up: true,
            paused_until: Time::ZERO,
            wake: 0,
            drift,
            offset,
        };
        self.nodes.insert(name.to_owned(), node);
    }

    pub(crate) fn start_control(&mut self, name: &str, zone: &str, incarnation: u64) {
        let disk = self.disks.get(name).cloned().unwrap_or_default();
        let seed = self.random(0..u64::MAX);
        let control_node = ControlNode::new(name, &self.control_nodes, disk, seed);
        self.add(
            name,
            zone,
            Proc::Control(Box::new(control_node)),
            incarnation,
        );
        self.step(name, 1, Step::PlatformInput);
        self.wake(name, Duration::from_millis(1));
    }

    pub(crate) fn start_entry(&mut self, name: &str, zone: &str, incarnation: u64) {
        self.add(name, zone, Proc::Service, incarnation);
        let mut entry = Entry::new(name, zone, incarnation, self.local(name));
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
        self.step(name, 5, Step::Heartbeat { again: true });
        self.step(name, 50, Step::Work);
        let wait = self.random(500..1_500);
        self.step(name, wait, Step::BeginMarked);
    }

    pub(crate) fn entry(&mut self, name: &str) -> Option<&mut Entry> {
        match &mut self.nodes.get_mut(name)?.proc {
            Proc::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    pub(crate) fn control_node(&mut self, name: &str) -> Option<&mut ControlNode> {
        match &mut self.nodes.get_mut(name)?.proc {
            Proc::Control(control_node) => Some(control_node),
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
        let incarnation = self.nodes[name].incarnation;
        let jitter = self.random(0..1_000);
        let at = self.now + Duration::from_micros(ms * 1_000 + jitter);
        self.schedule(at, name, Event::Step(incarnation, step));
    }

    /// Wakes the current incarnation of `name` after `wait`; replaces earlier wake-ups.
    pub(crate) fn wake(&mut self, name: &str, wait: Duration) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.wake += 1;
        let (incarnation, wake) = (node.incarnation, node.wake);
        let at = self.now + wait.min(Duration::from_secs(60));
        self.schedule(at, name, Event::Step(incarnation, Step::Wake(wake)));
    }

    /// Sends a message, which is lost if the link is cut.
    pub(crate) fn send(&mut self, from: &str, to: &str, msg: Msg) {
        if self.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return;
        }
        // One message in a hundred is delayed by up to two seconds.
        let late = self.random(0..100) == 0;
        let delay = if late {
            self.random(5_000..2_000_000)
        } else {
            self.random(500..4_000)
        };
        let at = self.now + Duration::from_micros(delay);
        self.schedule(at, to, Event::Deliver(from.to_owned(), msg));
    }

    /// Sends a message whose answer is handled as `pending`.
    pub(crate) fn call(
        &mut self,
        from: &str,
        to: &str,
        pending: Pending,
        msg: impl FnOnce(u64) -> Msg,
    ) {
        self.next += 1;
        let id = self.next;
        let incarnation = self.nodes[from].incarnation;
        self.pending
            .insert(id, (from.to_owned(), incarnation, pending));
        self.send(from, to, msg(id));
    }

    fn schedule(&mut self, at: Time, to: &str, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next, to.to_owned())));
    }

    fn dispatch(&mut self, to: String, event: Event) {
        let Some(node) = self.nodes.get(&to) else {
            return;
        };
        if !node.up {
            return;
        }
        // A paused process takes the event once it resumes.
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.schedule(at, &to, event);
            return;
        }
        match event {
            Event::Step(incarnation, _) if incarnation != node.incarnation => {}
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
    pub(crate) fn drive_control(&mut self, name: &str, input: Input) {
        let now = self.local(name);
        let Some(control_node) = self.control_node(name) else {
            return;
        };
        let mut out = Vec::new();
        control_node.control.handle(now, input, &mut out);
        for output in out {
            self.control_output(name, output);
        }
    }

    fn control_output(&mut self, name: &str, output: Output) {
        match output {
            Output::Reply { ticket, reply } => {
                self.answer(name, ticket, |id| Msg::Reply(id, reply))
            }
            Output::Applied { ticket, applied } => {
                self.answer(name, ticket, |id| Msg::Applied(id, applied));
            }
            Output::Forward { ticket, to, apply } => {
                let call = Call::Apply(apply);
                self.call(name, to.as_str(), Pending::Forward(ticket), |id| {
                    Msg::Call(id, call)
                });
                self.step(name, 1_500, Step::ForwardTimedOut(ticket));
            }
            Output::Send { to, call } => {
                self.call(name, to.as_str(), Pending::Other, |id| Msg::Call(id, call));
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
        let caller = self
            .control_node(name)
            .and_then(|k| k.callers.remove(&ticket));
        if let Some((to, id)) = caller {
            self.send(name, &to, msg(id));
        }
    }

    fn write(&mut self, name: &str, write: Write) {
        if let Some(control_node) = self.control_node(name) {
            control_node.writes.push_back(write);
        }
        let wait = self.random(1..6);
        self.step(name, wait, Step::Sync);
    }
}
