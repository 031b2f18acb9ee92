//! Replicas of one log in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Bytes, Incarnation, InstanceName, Seed, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::{
    Blob, HaltReason, Index, Input, Message, Output, RawSettings, Rejected, Replica, ReplicaId,
    Restored, Settings, WriteNo,
};

use crate::{
    FakeDisk, History, Net,
    history::{Digest, command},
};

/// Lines of the trace that are kept.
const TRACE_MAX: usize = 400;

/// How far a clock may run off, in parts of a thousand; two clocks together
/// stay within the drift margin of 50.
const SKEW: i64 = 20;

/// How often a stalled sync is looked at again, in microseconds.
const STALL: u64 = 50_000;

/// Size and times of a cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many instances.
    pub instances: usize,
    /// Entries between two snapshots.
    pub compact: u64,
    /// Bytes of entries between two snapshots.
    pub compact_bytes: Bytes,
    /// Entries kept behind a snapshot.
    pub keep: u64,
    /// The most that these take.
    pub keep_bytes: Bytes,
    /// The longest a sync takes, in microseconds.
    pub sync: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            instances: 3,
            compact: 25,
            compact_bytes: Bytes(16 << 20),
            keep: 5,
            keep_bytes: Bytes(8 << 20),
            sync: 4_000,
        }
    }
}

/// Several instances, their links and disks, and what came of it.
#[derive(Debug)]
pub struct Cluster {
    plan: Plan,
    now: u64,
    rng: ChaCha8Rng,
    hosts: BTreeMap<InstanceName, Host>,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_life: u64,
    next_ticket: u64,
    /// The links.
    pub net: Net,
    /// What has happened, checked.
    pub history: History,
    trace: VecDeque<String>,
}

#[derive(Debug)]
struct Host {
    disk: FakeDisk,
    life: Incarnation,
    running: Option<Running>,
    /// Events that wait while the process is frozen.
    held: Option<Vec<Event>>,
    full: bool,
    /// Whether syncs take for ever.
    stalled: bool,
    skew: i64,
    offset: u64,
}

#[derive(Debug)]
struct Running {
    replica: Replica,
    boot: u64,
    wake: u64,
    last: Index,
    commit: Index,
    state: Digest,
}

#[derive(Clone, Debug)]
struct Event {
    to: InstanceName,
    /// Only this run of the process takes the event; messages reach any.
    boot: Option<u64>,
    input: Input,
}

impl Cluster {
    /// Starts all instances with empty folders.
    #[must_use]
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut cluster = Cluster {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_life: 1,
            next_ticket: 1,
            net: Net::default(),
            history: History::default(),
            trace: VecDeque::new(),
            plan,
        };
        for name in cluster.peers() {
            let life = cluster.new_life();
            let host = Host {
                disk: FakeDisk::new(replica_id(&name, life)),
                life,
                running: None,
                held: None,
                full: false,
                stalled: false,
                skew: cluster.rng.random_range(-SKEW..=SKEW),
                offset: cluster.rng.random_range(0..1_000_000_000),
            };
            cluster.hosts.insert(name.clone(), host);
            cluster.start(&name);
        }
        cluster
    }

    /// Returns the names of all instances.
    #[must_use]
    pub fn peers(&self) -> Vec<InstanceName> {
        let names = ["a", "b", "c", "d", "e", "f", "g"];
        let names = names[..self.plan.instances].iter();
        names.map(|raw| raw.parse().expect("a name")).collect()
    }

    /// Cuts all links of an instance.
    pub fn isolate(&mut self, name: &InstanceName) {
        for other in self.peers() {
            self.net.cut(name, &other);
            self.net.cut(&other, name);
        }
    }

    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * 1_000;
        while let Some((&(at, sequence), _)) = self.queue.first_key_value()
            && at <= end
        {
            let event = self.queue.remove(&(at, sequence)).expect("first key");
            self.now = self.now.max(at);
            self.deliver(event);
            self.check_leases();
        }
        self.now = end;
    }

    /// Starts a process on what its disk holds; after damage, on a new life.
    pub fn start(&mut self, name: &InstanceName) {
        let peers = self.peers();
        let seed = Seed(self.rng.random_range(0..u64::MAX));
        let restored = self.hosts[name].disk.clone().open();
        let restored = match restored {
            Some(restored) => {
                self.host(name).disk.open();
                restored
            }
            None => {
                self.note(name, "finds its folder damaged");
                self.empty(name);
                Restored::default()
            }
        };
        let host = &self.hosts[name];
        if host.running.is_some() {
            return;
        }
        let settings = RawSettings {
            compact: self.plan.compact,
            compact_bytes: self.plan.compact_bytes,
            keep: self.plan.keep,
            keep_bytes: self.plan.keep_bytes,
            message: Bytes(64),
            window: Bytes(512),
            ..RawSettings::usual(replica_id(name, host.life), peers, seed)
        };
        let settings = Settings::try_from(settings).expect("the plan's settings fit");
        self.sequence += 1;
        let running = Running {
            replica: Replica::new(settings, restored),
            boot: self.sequence,
            wake: 0,
            last: Index(0),
            commit: Index(0),
            state: Digest::default(),
        };
        let full = host.full;
        self.host(name).running = Some(running);
        self.note(name, "starts");
        self.input(name, Input::Wake);
        if full {
            self.input(name, Input::Space { full });
        }
    }

    /// Kills a process; of the oldest unsynced write, `torn` bytes stay.
    pub fn kill(&mut self, name: &InstanceName, torn: usize) {
        let host = self.host(name);
        host.running = None;
        host.held = None;
        host.disk.crash(torn);
        self.note(name, "killed");
    }

    /// Empties the folder of a stopped process.
    pub fn empty(&mut self, name: &InstanceName) {
        let life = self.new_life();
        let host = self.host(name);
        host.life = life;
        host.disk = FakeDisk::new(replica_id(name, life));
        self.note(name, "folder emptied");
    }

    /// Changes a byte of a stopped process's log, but not in the last record,
    /// where damage can't be told from an interrupted write.
    pub fn damage_middle(&mut self, name: &InstanceName, at: usize) {
        self.host(name).disk.flip_middle(at);
        self.note(name, "log damaged");
    }

    /// Makes the next sync fail.
    pub fn fail_sync(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = true;
    }

    /// Makes syncs take for ever, or end again.
    pub fn stall(&mut self, name: &InstanceName, stalled: bool) {
        self.host(name).stalled = stalled;
    }

    /// Fills the disk, or frees it.
    pub fn fill(&mut self, name: &InstanceName, full: bool) {
        self.host(name).full = full;
        self.input(name, Input::Space { full });
    }

    /// Stops a process without ending it.
    pub fn freeze(&mut self, name: &InstanceName) {
        self.host(name).held.get_or_insert_default();
        self.note(name, "frozen");
    }

    /// Lets a frozen process go on; what arrived meanwhile comes at once.
    pub fn thaw(&mut self, name: &InstanceName) {
        let held = self.host(name).held.take().unwrap_or_default();
        self.note(name, "thawed");
        for event in held {
            self.deliver(event);
            self.check_leases();
        }
        self.input(name, Input::Wake);
    }

    /// Proposes a new command at an instance; returns its ticket.
    pub fn propose(&mut self, name: &InstanceName) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let input = Input::Propose {
            ticket,
            command: command(ticket),
        };
        self.input(name, input);
        ticket
    }

    /// Gives an instance an input of the operators.
    pub fn input(&mut self, name: &InstanceName, input: Input) {
        let host = &self.hosts[name];
        let boot = host.running.as_ref().map(|running| running.boot);
        let event = Event {
            to: name.clone(),
            boot,
            input,
        };
        self.deliver(event);
    }

    /// Asks the leader to remove an instance's replica.
    pub fn remove(&mut self, leader: &InstanceName, name: &InstanceName) {
        let id = replica_id(name, self.hosts[name].life);
        self.input(leader, Input::RemoveReplica { ticket: 0, id });
    }

    /// Returns the instance that may act as leader now, if any.
    #[must_use]
    pub fn leader(&self) -> Option<InstanceName> {
        let leads = |(_, host): &(&InstanceName, &Host)| host.leads(self.now);
        let found = self.hosts.iter().filter(|(_, host)| host.held.is_none());
        found.clone().find(leads).map(|(name, _)| name.clone())
    }

    /// Returns an instance's replica, if its process runs.
    #[must_use]
    pub fn replica(&self, name: &InstanceName) -> Option<&Replica> {
        let running = self.hosts[name].running.as_ref();
        running.map(|running| &running.replica)
    }

    /// Tells whether an instance may act as leader now.
    #[must_use]
    pub fn leads(&self, name: &InstanceName) -> bool {
        self.hosts[name].leads(self.now)
    }

    /// Tells whether a process is frozen.
    #[must_use]
    pub fn frozen(&self, name: &InstanceName) -> bool {
        self.hosts[name].held.is_some()
    }

    /// Returns the last index that an instance has applied in this run.
    #[must_use]
    pub fn applied(&self, name: &InstanceName) -> Index {
        let running = self.hosts[name].running.as_ref();
        running.map_or(Index(0), |running| running.last)
    }

    /// Tells whether every voter of the newest members runs with the folder
    /// that it voted with, so that one more may be lost.
    #[must_use]
    pub fn whole(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let Some(replica) = self.replica(&leader) else {
            return false;
        };
        let Some(members) = replica.members() else {
            return false;
        };
        let alive = |id: &ReplicaId| {
            let replica = self.replica(&id.instance);
            replica.is_some_and(|r| r.id() == id && r.halted().is_none())
        };
        let settled = replica.members_settled();
        settled && members.voters.len() == self.plan.instances && members.voters.iter().all(alive)
    }

    /// Ends all faults, waits for `ms` milliseconds at most, and checks that
    /// everybody agrees and that the log takes proposals again.
    ///
    /// # Panics
    ///
    /// Panics when it doesn't.
    pub fn settle(&mut self, ms: u64) {
        self.net.heal();
        for name in self.peers() {
            self.recover(&name);
        }
        let end = self.now + ms * 1_000;
        while self.now < end && !self.agreed() {
            self.run(200);
            for name in self.peers() {
                self.recover(&name);
            }
        }
        assert!(self.agreed(), "no agreement after the faults have ended");
    }

    /// Returns the last lines of what happened.
    #[must_use]
    pub fn trace(&self) -> String {
        let lines: Vec<_> = self.trace.iter().cloned().collect();
        lines.join("\n")
    }

    /// Ends the faults of one instance and starts it if it stopped.
    pub fn recover(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = false;
        self.stall(name, false);
        if self.hosts[name].full {
            self.fill(name, false);
        }
        if self.hosts[name].held.is_some() {
            self.thaw(name);
        }
        let halted = self.replica(name).and_then(Replica::halted);
        match halted {
            Some(HaltReason::WriteFailed) => self.kill(name, 0),
            Some(HaltReason::Removed) => {
                self.kill(name, 0);
                self.empty(name);
            }
            None => {}
        }
        if self.hosts[name].running.is_none() {
            self.start(name);
        }
    }

    /// Tells whether all instances vote, lead and have applied alike, with a
    /// proposal made after the last fault.
    fn agreed(&mut self) -> bool {
        if !self.whole() {
            return false;
        }
        let Some(leader) = self.leader() else {
            return false;
        };
        let before = self.history.accepted();
        self.propose(&leader);
        self.run(300);
        let newest = self.history.newest();
        let same = |host: &Host| {
            let running = host.running.as_ref();
            running.is_some_and(|running| running.last == newest)
        };
        self.history.accepted() > before && self.hosts.values().all(same)
    }

    fn deliver(&mut self, event: Event) {
        let now = self.now;
        let host = self.host(&event.to);
        if let Some(held) = &mut host.held {
            held.push(event);
            return;
        }
        let Some(running) = &mut host.running else {
            return;
        };
        if event.boot.is_some_and(|boot| boot != running.boot) {
            return;
        }
        if host.stalled && matches!(event.input, Input::Synced { .. }) {
            self.push(STALL, event);
            return;
        }
        if let Input::Synced { upto } = event.input {
            if host.disk.failing {
                host.disk.failing = false;
                let input = Input::WriteFailed { no: upto };
                self.hand_in(&event.to, input);
                return;
            }
            host.disk.sync(upto);
        }
        if event.input == Input::Wake && running.wake > now {
            return;
        }
        self.hand_in(&event.to, event.input);
    }

    fn hand_in(&mut self, name: &InstanceName, input: Input) {
        if input != Input::Wake {
            self.note(name, &format!("<- {input:?}"));
        }
        let now = self.now;
        let host = self.host(name);
        let local = host.local(now);
        let mut out = Vec::new();
        if let Some(running) = &mut host.running {
            running.replica.handle(local, input, &mut out);
        }
        for output in out {
            self.carry_out(name, output);
        }
        self.check_commit(name);
    }

    fn carry_out(&mut self, name: &InstanceName, output: Output) {
        if !matches!(output, Output::Wake { .. }) {
            self.note(name, &format!("-> {output:?}"));
        }
        match output {
            Output::Send { to, message } => self.send(name, &to, message),
            Output::Write { no, records } => {
                self.host(name).disk.write(no, &records);
                self.sync_later(name, no);
            }
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => {
                self.host(name).disk.rewrite(no, &snapshot, &records);
                self.sync_later(name, no);
            }
            Output::Apply {
                index,
                term,
                command,
            } => {
                let last = self.running(name).last;
                self.history.applies(last, index, term, &command);
                let running = self.running(name);
                running.last = index;
                running.state = running.state.after(&command);
            }
            Output::Restore { index, data } => self.restore(name, index, &data),
            Output::Proposed { ticket, result } => self.proposed(ticket, result),
            Output::TakeSnapshot { upto } => {
                let data = self.running(name).state.0.to_le_bytes().repeat(20);
                let input = Input::Snapshot {
                    index: upto,
                    data: Blob::from(data),
                };
                self.later(name, 1_000, input);
            }
            Output::Wake { at } => self.wake_later(name, at),
            Output::Role { leading, .. } => {
                if leading && let Some(replica) = self.replica(name) {
                    let (term, id) = (replica.term(), replica.id().clone());
                    self.history.leads(term, &id);
                }
            }
            Output::Halted { .. } => {}
        }
    }

    fn restore(&mut self, name: &InstanceName, index: Index, data: &Blob) {
        let raw = data[..8].try_into().expect("a snapshot holds a digest");
        let digest = Digest(u64::from_le_bytes(raw));
        let last = self.running(name).last;
        self.history.restores(last, index, digest);
        let running = self.running(name);
        running.last = index;
        running.state = digest;
    }

    fn proposed(&mut self, ticket: u64, result: Result<Index, Rejected>) {
        match result {
            _ if ticket == 0 => {}
            Ok(index) => self.history.accepts(ticket, index),
            Err(Rejected::NotAccepted { .. }) => self.history.refuses(ticket),
            Err(Rejected::Unknown { .. }) => self.history.leaves_open(ticket),
        }
    }

    fn send(&mut self, from: &InstanceName, to: &InstanceName, message: Message) {
        let id = replica_id(from, self.hosts[from].life);
        let raw = message.encode();
        for delay in self.net.delays(from, to, &mut self.rng) {
            let message = Message::decode(&raw).expect("messages survive the wire");
            let input = Input::Received {
                from: id.clone(),
                message,
            };
            let event = Event {
                to: to.clone(),
                boot: None,
                input,
            };
            self.push(delay, event);
        }
    }

    fn sync_later(&mut self, name: &InstanceName, upto: WriteNo) {
        let delay = self.rng.random_range(200..=self.plan.sync);
        self.later(name, delay, Input::Synced { upto });
    }

    fn wake_later(&mut self, name: &InstanceName, at: Time) {
        let now = self.now;
        let at = self.hosts[name].global(at).max(now + 1);
        self.running(name).wake = at;
        self.later(name, at - now, Input::Wake);
    }

    fn later(&mut self, name: &InstanceName, delay: u64, input: Input) {
        let boot = Some(self.running(name).boot);
        let event = Event {
            to: name.clone(),
            boot,
            input,
        };
        self.push(delay, event);
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// At no moment may two instances act as leader. A frozen process counts
    /// too: it may go on at any moment.
    fn check_leases(&self) {
        let leaders = self.hosts.iter().filter(|(_, host)| host.leads(self.now));
        let leaders: Vec<_> = leaders.map(|(name, _)| name).collect();
        assert!(leaders.len() < 2, "{leaders:?} lead at the same time");
    }

    fn check_commit(&mut self, name: &InstanceName) {
        if let Some(running) = &mut self.host(name).running {
            let commit = running.replica.commit();
            assert!(running.commit <= commit, "the commit index went back");
            running.commit = commit;
        }
    }

    fn note(&mut self, name: &InstanceName, what: &str) {
        if self.trace.len() == TRACE_MAX {
            self.trace.pop_front();
        }
        let at = Duration::from_micros(self.now);
        self.trace.push_back(format!("{at:?} {name} {what}"));
    }

    fn new_life(&mut self) -> Incarnation {
        self.next_life += 1;
        Incarnation(self.next_life)
    }

    fn host(&mut self, name: &InstanceName) -> &mut Host {
        self.hosts.get_mut(name).expect("a known instance")
    }

    fn running(&mut self, name: &InstanceName) -> &mut Running {
        let running = self.host(name).running.as_mut();
        running.expect("outputs come from a running process")
    }
}

impl Host {
    /// Returns the process's own clock at the real time `now`.
    fn local(&self, now: u64) -> Time {
        let skewed = now * (1_000 + self.skew) as u64 / 1_000;
        Time(skewed + self.offset)
    }

    /// Returns the first real time at which its own clock shows `at`.
    fn global(&self, at: Time) -> u64 {
        let skewed = at.0.saturating_sub(self.offset) * 1_000;
        skewed.div_ceil((1_000 + self.skew) as u64) + 1
    }

    fn leads(&self, now: u64) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.replica.leads(self.local(now)))
    }
}

fn replica_id(name: &InstanceName, life: Incarnation) -> ReplicaId {
    ReplicaId {
        instance: name.clone(),
        life,
    }
}
