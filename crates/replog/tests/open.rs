//! Membership of a log with `admit_any` set, where instances know each other by address only:
//! who founds it, who is added, and when an unresponsive voter is removed.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, InstanceName, Seed, Time};
use googletest::prelude::*;
use replog::{
    HaltReason, Input, Message, Output, RawSettings, Replica, ReplicaId, Restored, Settings,
};

const RETIRE: Duration = Duration::from_secs(8);

/// Replicas whose messages are delivered at once and whose writes are durable at once.
struct Cluster {
    now: Time,
    replicas: BTreeMap<InstanceName, Replica>,
}

fn name(raw: &str) -> InstanceName {
    raw.parse().unwrap()
}

impl Cluster {
    fn new(names: &[&str]) -> Self {
        let mut cluster = Cluster {
            now: Time::from_millis(1),
            replicas: BTreeMap::new(),
        };
        for name in names {
            cluster.start(name, 1, names, true);
        }
        cluster
    }

    /// Starts an instance with an empty disk.
    fn start(&mut self, raw: &str, incarnation: u64, peers: &[&str], founds: bool) {
        let instance = name(raw);
        let incarnation = Incarnation(incarnation);
        let id = ReplicaId {
            instance,
            incarnation,
        };
        let peers = peers.iter().map(|peer| name(peer)).collect();
        let raw = RawSettings {
            admit_any: true,
            may_found: founds,
            remove_after: Some(RETIRE),
            ..RawSettings::with_defaults(id.clone(), peers, Seed(id.incarnation.get()))
        };
        let settings = Settings::try_from(raw).unwrap();
        let replica = Replica::new(settings, Restored::default());
        self.replicas.insert(id.instance, replica);
    }

    fn input(&mut self, to: &InstanceName, input: Input) {
        let mut inputs = vec![(to.clone(), input)];
        while let Some((to, input)) = inputs.pop() {
            let Some(replica) = self.replicas.get_mut(&to) else {
                continue;
            };
            let from = replica.id().clone();
            let mut out = Vec::new();
            replica.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        inputs.insert(0, (to, received(&from, message)));
                    }
                    Output::Write { no, .. } | Output::Rewrite { no, .. } => {
                        inputs.insert(0, (to.clone(), Input::Synced { upto: no }));
                    }
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now = self.now + Duration::from_millis(50);
            for name in self.replicas.keys().cloned().collect::<Vec<_>>() {
                self.input(&name, Input::Wake);
            }
        }
    }

    /// Returns the voters according to the leader, if there is one.
    fn voters(&self) -> Option<Vec<String>> {
        let mut all = self.replicas.values();
        let leader = all.find(|replica| replica.leads(self.now))?;
        let voters = leader.members()?.voters.iter();
        Some(voters.map(|id| id.instance.to_string()).collect())
    }
}

fn received(from: &ReplicaId, message: Message) -> Input {
    let from = from.clone();
    Input::Received { from, message }
}

fn names(raw: &[&str]) -> Option<Vec<String>> {
    Some(raw.iter().map(|name| (*name).to_owned()).collect())
}

#[gtest]
fn an_instance_that_is_no_peer_is_added() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run(5_000);
    assert_that!(cluster.voters(), eq(&names(&["k1", "k2", "k3"])));
    cluster.start("k9", 9, &["k1", "k2", "k3"], true);
    cluster.run(3_000);
    assert_that!(cluster.voters(), eq(&names(&["k1", "k2", "k3", "k9"])));
}

/// All instances lose their disks at once in a deployment that has run before.
/// Acknowledged entries may still exist elsewhere, so the instances must not found a
/// second log without them.
#[gtest]
fn emptied_instances_found_nothing() {
    let _mark = base::ExpectedMark::new("emptied_never_founds");
    let mut cluster = Cluster::new(&[]);
    for instance in ["k1", "k2", "k3"] {
        cluster.start(instance, 2, &["k1", "k2", "k3"], false);
    }
    cluster.run(20_000);
    assert_that!(cluster.voters(), none());
}

/// An instance is lost permanently and an empty one joins under another address. The dead
/// voter raises the majority of four to three, so the next loss would stop the log. It is
/// removed within seconds after its replacement has joined, and the log survives the next
/// loss.
#[gtest]
fn a_replaced_voter_goes_before_the_next_loss() {
    let _mark = base::ExpectedMark::new("silent_voter_removed");
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run(5_000);
    cluster.replicas.remove(&name("k3"));
    cluster.run(1_000);
    cluster.start("k4", 4, &["k1", "k2", "k3"], false);
    cluster.run(4_000);
    assert_that!(cluster.voters(), eq(&names(&["k1", "k2", "k4"])));
    cluster.replicas.remove(&name("k2"));
    cluster.run(5_000);
    assert_that!(cluster.voters(), some(anything()));
}

/// One of three voters is unresponsive for a minute. Two voters could not tolerate
/// another loss, so it remains a voter.
#[gtest]
fn three_voters_are_never_made_two() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run(5_000);
    cluster.replicas.remove(&name("k3"));
    cluster.run(60_000);
    assert_that!(cluster.voters(), eq(&names(&["k1", "k2", "k3"])));
}

/// The peers of a new instance are unreachable, and it joins nothing. Once the settings
/// name a peer that is a member, that peer names the other members, and the instance is
/// added.
#[gtest]
fn new_peers_are_asked_to_join_once_configured() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run(5_000);
    cluster.start("k9", 9, &["gone"], false);
    cluster.run(3_000);
    assert_that!(cluster.voters().unwrap().len(), eq(3));
    let peers = vec![name("k2")];
    cluster.input(&name("k9"), Input::Peers { peers });
    cluster.run(8_000);
    assert_that!(cluster.voters().unwrap().len(), eq(4));
}

/// An instance loses its disk while its wall clock is stepped back, so its new
/// incarnation is older than its last one. Without an answer it would send join requests
/// forever. It is told that it was removed, and a later incarnation is added.
#[gtest]
fn an_older_incarnation_is_told_it_was_removed() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run(5_000);
    for incarnation in [5, 3] {
        cluster.start("k3", incarnation, &["k1", "k2", "k3"], false);
        cluster.run(5_000);
    }
    let halted = cluster.replicas[&name("k3")].halted();
    assert_that!(halted, eq(Some(HaltReason::Removed)));
    cluster.start("k3", 6, &["k1", "k2", "k3"], false);
    cluster.run(5_000);
    assert_that!(cluster.voters(), eq(&names(&["k1", "k2", "k3"])));
    let leader = cluster.replicas.values().find(|r| r.leads(cluster.now));
    let members = leader.and_then(|leader| leader.members()).unwrap();
    let incarnation = members.member_of(&name("k3")).map(|id| id.incarnation);
    assert_that!(incarnation, eq(Some(Incarnation(6))));
}
