//! A simulated cluster: replicas of one log in virtual time.

mod check;
mod drive;
mod fault;
mod host;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Bytes, Incarnation, InstanceName, Seed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::{Index, Input, RawSettings, Replica, Restored, Settings};

use self::{
    drive::Event,
    host::{Host, Running, replica_id},
};
use crate::{
    FakeDisk, History, Net,
    history::{Digest, command},
};

/// Lines of the trace that are kept for a failure report.
const TRACE_MAX: usize = 400;

/// The largest clock drift, in parts per thousand; two clocks together stay within the
/// drift margin of 50 that the leases allow.
const DRIFT_MAX: i64 = 20;

/// Size, log limits and sync time of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of instances, at most seven.
    pub instances: usize,
    /// Entries between two snapshots.
    pub compact: u64,
    /// Bytes of entries between two snapshots.
    pub compact_bytes: Bytes,
    /// Entries kept in the log before a snapshot.
    pub keep: u64,
    /// Upper bound on the bytes of the kept entries.
    pub keep_bytes: Bytes,
    /// Longest duration of a sync, in microseconds.
    pub sync: u64,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        ClusterConfig {
            instances: 3,
            compact: 25,
            compact_bytes: Bytes(16 << 20),
            keep: 5,
            keep_bytes: Bytes(8 << 20),
            sync: 4_000,
        }
    }
}

/// Several instances with their links and disks, and the history of the run.
#[derive(Debug)]
pub struct Cluster {
    config: ClusterConfig,
    now: u64,
    rng: ChaCha8Rng,
    hosts: BTreeMap<InstanceName, Host>,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_incarnation: u64,
    next_ticket: u64,
    /// The network between the instances.
    pub net: Net,
    /// Outputs of all replicas so far, checked as they come.
    pub history: History,
    trace: VecDeque<String>,
}

impl Cluster {
    /// Starts all instances with empty folders.
    #[must_use]
    pub fn new(config: ClusterConfig, seed: u64) -> Self {
        let mut cluster = Cluster {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_incarnation: 1,
            next_ticket: 1,
            net: Net::default(),
            history: History::default(),
            trace: VecDeque::new(),
            config,
        };
        for name in cluster.peers() {
            let incarnation = cluster.new_incarnation();
            let host = Host {
                disk: FakeDisk::new(replica_id(&name, incarnation)),
                incarnation,
                running: None,
                paused: None,
                full: false,
                stalled: false,
                drift: cluster.rng.random_range(-DRIFT_MAX..=DRIFT_MAX),
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
        let names = names[..self.config.instances].iter();
        names.map(|raw| raw.parse().expect("a name")).collect()
    }

    /// Processes the events of the next `ms` milliseconds.
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

    /// Starts a process from its disk, or with an empty disk as a new incarnation if the log is
    /// damaged.
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
                self.note(name, "finds its log damaged");
                self.empty_disk(name);
                Restored::default()
            }
        };
        let host = &self.hosts[name];
        if host.running.is_some() {
            return;
        }
        let settings = RawSettings {
            compact: self.config.compact,
            compact_bytes: self.config.compact_bytes,
            keep: self.config.keep,
            keep_bytes: self.config.keep_bytes,
            message: Bytes(64),
            window: Bytes(512),
            ..RawSettings::with_defaults(replica_id(name, host.incarnation), peers, seed)
        };
        let settings = Settings::try_from(settings).expect("the cluster's settings are valid");
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

    /// Passes an input to an instance at once.
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

    /// Proposes the removal of an instance's replica at the leader.
    pub fn remove(&mut self, leader: &InstanceName, name: &InstanceName) {
        let id = replica_id(name, self.hosts[name].incarnation);
        self.input(leader, Input::RemoveReplica { ticket: 0, id });
    }

    /// Returns the instance that may act as leader now and is not paused, if any.
    #[must_use]
    pub fn leader(&self) -> Option<InstanceName> {
        let leads = |(_, host): &(&InstanceName, &Host)| host.leads(self.now);
        let found = self.hosts.iter().filter(|(_, host)| host.paused.is_none());
        found.clone().find(leads).map(|(name, _)| name.clone())
    }

    /// Returns an instance's replica, if its process runs.
    #[must_use]
    pub fn replica(&self, name: &InstanceName) -> Option<&Replica> {
        let running = self.hosts[name].running.as_ref();
        running.map(|running| &running.replica)
    }

    /// Returns whether an instance may act as leader now.
    #[must_use]
    pub fn leads(&self, name: &InstanceName) -> bool {
        self.hosts[name].leads(self.now)
    }

    /// Returns whether a process is paused.
    #[must_use]
    pub fn is_paused(&self, name: &InstanceName) -> bool {
        self.hosts[name].paused.is_some()
    }

    /// Returns the last index that an instance has applied since its process started.
    #[must_use]
    pub fn applied(&self, name: &InstanceName) -> Index {
        let running = self.hosts[name].running.as_ref();
        running.map_or(Index(0), |running| running.last)
    }

    /// Returns the last lines of the trace.
    #[must_use]
    pub fn trace(&self) -> String {
        let lines: Vec<_> = self.trace.iter().cloned().collect();
        lines.join("\n")
    }

    fn note(&mut self, name: &InstanceName, what: &str) {
        if self.trace.len() == TRACE_MAX {
            self.trace.pop_front();
        }
        let at = Duration::from_micros(self.now);
        self.trace.push_back(format!("{at:?} {name} {what}"));
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    fn host(&mut self, name: &InstanceName) -> &mut Host {
        self.hosts.get_mut(name).expect("a known instance")
    }

    fn running(&mut self, name: &InstanceName) -> &mut Running {
        let running = self.host(name).running.as_mut();
        running.expect("outputs come from a running process")
    }
}
