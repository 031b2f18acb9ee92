//! Bounds on the size of the log with large entries. If only the number of entries limits
//! the log, some dozens of configurations of megabytes each fill the disks of all control
//! instances at once, since the log is rewritten only after hundreds of entries, and no
//! change is acknowledged any more. The limits in bytes, of the log between two snapshots
//! and of the entries retained behind one, prevent this.

use std::{collections::BTreeMap, time::Duration};

use base::{Bytes, Incarnation, InstanceName, Seed, Time};
use googletest::prelude::*;
use replog::{
    BadSettings, Blob, Input, Message, Output, Payload, RawSettings, Record, Replica, ReplicaId,
    Restored, Settings,
};

/// Maximum bytes of applied entries in a log file, beside the last one.
const LOG_MAX: Bytes = Bytes(16 << 20);

/// Maximum bytes of entries retained behind a snapshot.
const RETAINED_MAX: Bytes = Bytes(8 << 20);

const CHANGES: u64 = 300;

/// Three replicas whose messages are delivered at once, whose writes are durable at once,
/// and whose state is the command applied last.
struct Cluster {
    now: Time,
    replicas: BTreeMap<InstanceName, Replica>,
    state: BTreeMap<InstanceName, Blob>,
    /// Bytes of commands in the log file of each replica.
    files: BTreeMap<InstanceName, u64>,
    /// Bytes of commands in the largest log file so far.
    largest_file: u64,
    /// Bytes of commands in the largest message.
    largest_message: u64,
    /// Number of log files replaced.
    replaced: u64,
    /// The replica whose inputs are all dropped.
    unreachable: Option<InstanceName>,
    accepted: u64,
    /// Bytes of commands sent and number of snapshots started, by receiver.
    sent: BTreeMap<InstanceName, (u64, u64)>,
    /// Number of parts of entries sent. If `drop_every` is `Some(n)`, every n-th part is
    /// dropped.
    parts: u64,
    drop_every: Option<u64>,
}

fn name(raw: &str) -> InstanceName {
    raw.parse().unwrap()
}

impl Cluster {
    fn new() -> Self {
        let names = ["k1", "k2", "k3"].map(name);
        let make = |instance: &InstanceName| {
            let incarnation = Incarnation(1);
            let id = ReplicaId {
                instance: instance.clone(),
                incarnation,
            };
            let raw = RawSettings::with_defaults(id, names.to_vec(), Seed(1));
            let settings = Settings::try_from(raw).unwrap();
            Replica::new(settings, Restored::default())
        };
        let replicas = names.iter().map(|name| (name.clone(), make(name)));
        let mut cluster = Cluster {
            now: Time::from_millis(1),
            replicas: replicas.collect(),
            state: BTreeMap::new(),
            files: BTreeMap::new(),
            largest_file: 0,
            largest_message: 0,
            replaced: 0,
            unreachable: None,
            accepted: 0,
            sent: BTreeMap::new(),
            parts: 0,
            drop_every: None,
        };
        cluster.run(5_000);
        cluster
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now = self.now + Duration::from_millis(50);
            for name in self.replicas.keys().cloned().collect::<Vec<_>>() {
                self.give(&name, Input::Wake);
            }
        }
    }

    fn leader(&self) -> InstanceName {
        let mut all = self.replicas.iter();
        let leader = all.find(|(_, replica)| replica.leads(self.now));
        leader.expect("somebody leads").0.clone()
    }

    /// Returns the first instance that doesn't lead.
    fn follower(&self) -> InstanceName {
        let leader = self.leader();
        let mut others = self.replicas.keys().filter(|name| **name != leader);
        others.next().expect("several instances").clone()
    }

    /// Proposes a command, and runs until all replicas know that it is committed.
    fn change(&mut self, command: &Blob) {
        let leader = self.leader();
        let command = command.clone();
        self.give(&leader, Input::Propose { ticket: 1, command });
        self.run(200);
    }

    fn give(&mut self, to: &InstanceName, input: Input) {
        let mut inputs = vec![(to.clone(), input)];
        while let Some((to, input)) = inputs.pop() {
            if self.unreachable.as_ref() == Some(&to) {
                continue;
            }
            let mut out = Vec::new();
            let replica = self.replicas.get_mut(&to).unwrap();
            replica.handle(self.now, input, &mut out);
            for output in out {
                if let Some(next) = self.carry_out(&to, output) {
                    inputs.insert(0, next);
                }
            }
        }
    }

    fn carry_out(&mut self, at: &InstanceName, output: Output) -> Option<(InstanceName, Input)> {
        let input = match output {
            Output::Send { to, message } => {
                self.count(&to, &message);
                if matches!(message, Message::Piece { .. }) {
                    self.parts += 1;
                    if self
                        .drop_every
                        .is_some_and(|each| self.parts.is_multiple_of(each))
                    {
                        return None;
                    }
                }
                let from = self.replicas[at].id().clone();
                return Some((to, Input::Received { from, message }));
            }
            Output::Write { no, records } => {
                *self.files.entry(at.clone()).or_default() += bytes(&records);
                self.largest_file = self.largest_file.max(self.files[at]);
                Input::Synced { upto: no }
            }
            Output::Rewrite { no, records, .. } => {
                self.files.insert(at.clone(), bytes(&records));
                self.replaced += 1;
                Input::Synced { upto: no }
            }
            Output::Apply { command, .. } => {
                self.state.insert(at.clone(), command);
                return None;
            }
            Output::Restore { data, .. } => {
                self.state.insert(at.clone(), data);
                return None;
            }
            Output::TakeSnapshot { upto: index } => {
                let data = self.state[at].clone();
                Input::Snapshot { index, data }
            }
            Output::Proposed { result, .. } => {
                self.accepted += u64::from(result.is_ok());
                return None;
            }
            _ => return None,
        };
        Some((at.clone(), input))
    }

    fn count(&mut self, to: &InstanceName, message: &Message) {
        let (entries, snapshots) = self.sent.entry(to.clone()).or_default();
        match message {
            Message::Append { entries: sent, .. } => {
                let bytes = sent.iter().map(|e| size(&e.payload)).sum();
                *entries += bytes;
                self.largest_message = self.largest_message.max(bytes);
            }
            Message::Piece { data, .. } => {
                let bytes = data.len() as u64;
                *entries += bytes;
                self.largest_message = self.largest_message.max(bytes);
            }
            Message::Chunk { offset: 0, .. } => *snapshots += 1,
            _ => {}
        }
    }
}

fn size(payload: &Payload) -> u64 {
    match payload {
        Payload::Command(command) => command.len() as u64,
        _ => 0,
    }
}

fn bytes(records: &[Record]) -> u64 {
    let sizes = records.iter().map(|record| match record {
        Record::Entry(entry) => size(&entry.payload),
        _ => 0,
    });
    sizes.sum()
}

#[gtest]
fn a_log_of_large_entries_stays_within_its_bytes() {
    for kib in [100, 1_000, 2_000, 4_000] {
        base::covers!(compacted_by_bytes);
        let command = Blob::from(vec![7; kib << 10]);
        let mut cluster = Cluster::new();
        for _ in 0..CHANGES {
            cluster.change(&command);
        }
        expect_that!(cluster.accepted, eq(CHANGES));
        // The last applied entry, and one that a follower holds before it knows that it
        // is committed.
        let entry = command.len() as u64;
        let most = LOG_MAX.get() + 2 * entry;
        expect_that!(cluster.largest_file, le(most), "with entries of {kib} KiB");
        // Each replica replaces its file once at founding, and then once per `LOG_MAX`
        // bytes.
        let most = 3 * (1 + CHANGES * entry / LOG_MAX.get() + 1);
        expect_that!(cluster.replaced, le(most), "with entries of {kib} KiB");
    }
}

/// A configuration of four megabytes is sent to control instances over slow links. Sent
/// in one message, the entry would exceed the maximum delivery time and be resent
/// forever, and neither it nor any later entry would be acknowledged.
#[gtest]
fn a_large_entry_is_sent_in_parts() {
    let mut cluster = Cluster::new();
    cluster.change(&Blob::from(vec![7; 4_000 << 10]));
    expect_that!(cluster.accepted, eq(1));
    let id = ReplicaId {
        instance: name("k1"),
        incarnation: Incarnation(1),
    };
    let usual = RawSettings::with_defaults(id, vec![name("k1")], Seed(1));
    expect_that!(cluster.largest_message, le(usual.message.get()));
}

/// Parts of a large entry are lost, as when a connection breaks. The entry is
/// acknowledged all the same, and the parts received so far aren't resent from the
/// beginning.
#[gtest]
fn lost_parts_of_an_entry_are_sent_again() {
    base::covers!(piece_sent_again);
    let size = 1_000 << 10;
    let mut cluster = Cluster::new();
    cluster.drop_every = Some(20);
    cluster.change(&Blob::from(vec![7; size]));
    cluster.run(5_000);
    expect_that!(cluster.accepted, eq(1));
    let sent = cluster.sent.values().map(|(bytes, _)| *bytes).max();
    expect_that!(sent, some(le(size as u64 * 2)));
}

/// The leader dies while a large entry is in transfer. The next leader has either none or
/// all of it, and accepts changes of its own.
#[gtest]
fn a_new_leader_sends_large_entries_of_its_own() {
    let mut cluster = Cluster::new();
    let first = cluster.leader();
    cluster.drop_every = Some(2);
    cluster.change(&Blob::from(vec![7; 1_000 << 10]));
    cluster.unreachable = Some(first.clone());
    cluster.drop_every = None;
    cluster.run(5_000);
    let before = cluster.accepted;
    let own = Blob::from(vec![8; 1_000 << 10]);
    let leader = cluster.leader();
    expect_that!(leader, not(eq(&first)));
    cluster.change(&own);
    expect_that!(cluster.accepted, eq(before + 1));
    cluster.unreachable = None;
    cluster.run(5_000);
    for (name, state) in &cluster.state {
        expect_that!(state, eq(&own), "at {name}");
    }
}

#[gtest]
fn a_replica_that_lags_by_many_bytes_gets_the_snapshot() {
    let command = Blob::from(vec![7; 4_000 << 10]);
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let lags = cluster.follower();
    cluster.unreachable = Some(lags.clone());
    for _ in 0..CHANGES {
        cluster.change(&command);
    }
    cluster.unreachable = None;
    cluster.sent.clear();
    cluster.run(5_000);
    expect_that!(cluster.leader(), eq(&leader));
    expect_that!(cluster.accepted, eq(CHANGES));
    expect_that!(cluster.state.get(&lags), some(eq(&command)));
    let (entries, snapshots) = cluster.sent[&lags];
    expect_that!(snapshots, ge(1));
    // The entries retained behind the snapshot, and those after it.
    let most = RETAINED_MAX.get() + LOG_MAX.get() + command.len() as u64;
    expect_that!(entries, le(most));
}

#[gtest]
fn a_replica_that_lags_by_an_entry_gets_the_entry() {
    let command = Blob::from(vec![7; 4_000 << 10]);
    let mut cluster = Cluster::new();
    let lags = cluster.follower();
    for _ in 0..CHANGES {
        cluster.change(&command);
        cluster.unreachable = Some(lags.clone());
        cluster.change(&command);
        cluster.unreachable = None;
        cluster.sent.clear();
        cluster.run(1_000);
        let (_, snapshots) = cluster.sent[&lags];
        expect_that!(snapshots, eq(0));
        expect_that!(cluster.state.get(&lags), some(eq(&command)));
    }
    expect_that!(cluster.accepted, eq(2 * CHANGES));
}

#[gtest]
fn a_compaction_size_of_zero_is_rejected() {
    let id = ReplicaId {
        instance: name("k1"),
        incarnation: Incarnation(1),
    };
    let raw = RawSettings {
        compact_bytes: Bytes(0),
        ..RawSettings::with_defaults(id, vec![name("k1")], Seed(1))
    };
    let made = Settings::try_from(raw).map(|_| ());
    expect_that!(made, err(eq(&BadSettings::Zero("compact_bytes"))));
}
