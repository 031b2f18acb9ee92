//! The leader's side of ownership: which instance gets which engine, and when.

use std::collections::BTreeMap;

use base::{Fence, Incarnation, PerSecond, TextVersion, Time};
use googletest::prelude::*;
use owner::{Change, Config, Grant, Grantor, InstanceId, Table, fixed_share, shares};
use wire::call::Heartbeat;

/// A leader and its log; every proposal is applied at once.
struct Leader {
    grantor: Grantor,
    table: Table,
    index: u64,
    rosters: BTreeMap<String, u64>,
    serial: u64,
}

impl Leader {
    fn new() -> Self {
        let mut grantor = Grantor::new(Config::default());
        grantor.lead(Time::ZERO);
        Leader {
            grantor,
            table: Table::default(),
            index: 0,
            rosters: BTreeMap::new(),
            serial: 0,
        }
    }

    fn heartbeat(&mut self, ms: u64, name: &str, engines: &[&str], leaving: bool) -> Grant {
        self.serial += 1;
        let beat = Heartbeat {
            instance: name.parse().unwrap(),
            zone: "za".parse().unwrap(),
            incarnation: Incarnation(1),
            peer: name.to_owned(),
            text: TextVersion(0),
            leaving,
            serial: self.serial,
            heard: self.serial - 1,
            roster: self.rosters.get(name).copied().unwrap_or(0),
            engines: Some(engines.iter().map(|e| e.parse().unwrap()).collect()),
            busy: Vec::new(),
            shares: Vec::new(),
            crashes: Default::default(),
            loads: 0,
        };
        let mut out = Vec::new();
        let now = Time::from_millis(ms);
        let grant = self.grantor.heartbeat(now, &beat, &self.table, &mut out);
        self.rosters.insert(name.to_owned(), grant.roster);
        self.apply(out);
        grant
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.index += 1;
            self.table.apply(self.index, &change);
        }
    }

    /// Sends heartbeats of the named instances each second, during the range `ms`.
    fn heartbeats(&mut self, ms: std::ops::Range<u64>, names: &[&str], engines: &[&str]) {
        for ms in ms.step_by(1_000) {
            names
                .iter()
                .for_each(|name| drop(self.heartbeat(ms, name, engines, false)));
        }
    }

    fn owner(&self, target: &str) -> Option<String> {
        let engine = self.table.engines().get(&target.parse().unwrap())?;
        Some(engine.owner.instance.to_string())
    }
}

/// An owner is no longer heard from. Its lease counts from its last heartbeat on its own
/// clock, so the leader waits for the lease time, extended by the clock drift, before it
/// assigns the engine to another instance.
#[test]
fn an_engine_moves_after_the_lease_is_waited_out() {
    base::covers!(lease_waited_out);
    let mut leader = Leader::new();
    leader.heartbeats(0..10_000, &["a"], &["e"]);
    leader.heartbeats(10_000..30_000, &["a", "b"], &["e"]);
    assert_that!(leader.owner("e"), some(eq("a")));
    leader.heartbeats(30_000..32_000, &["b"], &["e"]);
    leader.heartbeat(32_100, "b", &["e"], false);
    assert_that!(leader.owner("e"), some(eq("a")));
    leader.heartbeat(32_200, "b", &["e"], false);
    assert_that!(leader.owner("e"), some(eq("b")));
}

/// The partition of a zone ends. The first heartbeat does not come from the owner, which
/// went on with the confirmation of its zone peers and is heard from a moment later.
#[test]
fn an_owner_keeps_its_engine_when_its_zone_comes_back() {
    base::covers!(zone_just_back);
    let mut leader = Leader::new();
    leader.heartbeats(0..10_000, &["a"], &["e"]);
    leader.heartbeats(10_000..30_000, &["a", "b"], &["e"]);
    for ms in [90_000, 91_000, 92_000] {
        leader.heartbeat(ms, "b", &["e"], false);
    }
    leader.heartbeats(92_100..100_000, &["a", "b"], &["e"]);
    let engine = &leader.table.engines()[&"e".parse().unwrap()];
    assert_that!(engine.owner.instance.as_str(), eq("a"));
    assert_that!(engine.former, is_empty());
}

/// The only owner of a zone is partitioned. An instance that it has never heard of starts
/// in the zone. The owner goes on without leader, so the new instance gets no engine for
/// ten minutes.
#[test]
fn a_new_instance_waits_until_every_owner_knows_it() {
    base::covers!(unacknowledged_instance);
    let mut leader = Leader::new();
    leader.heartbeats(0..10_000, &["a"], &["e"]);
    leader.heartbeats(10_000..638_000, &["b"], &["e"]);
    assert_that!(leader.owner("e"), some(eq("a")));
    leader.heartbeats(638_000..660_000, &["b"], &["e"]);
    assert_that!(leader.owner("e"), some(eq("b")));
}

/// An owner that is shutting down has given up its engines, so they are assigned at once.
#[test]
fn engines_of_a_leaving_owner_are_assigned_at_once() {
    let mut leader = Leader::new();
    leader.heartbeats(0..10_000, &["a"], &["e"]);
    leader.heartbeats(10_000..20_000, &["a", "b"], &["e"]);
    let grant = leader.heartbeat(20_000, "a", &["e"], true);
    assert_that!(grant.leases, is_empty());
    assert_that!(leader.owner("e"), some(eq("b")));
}

/// Engines are spread evenly, also onto an instance that joins later, and few of them
/// move when an instance leaves.
#[test]
fn engines_spread_evenly_and_few_move() {
    let engines: Vec<_> = (0..12).map(|i| format!("e{i}")).collect();
    let engines: Vec<_> = engines.iter().map(String::as_str).collect();
    let mut leader = Leader::new();
    leader.heartbeats(0..10_000, &["a", "b"], &engines);
    leader.heartbeats(10_000..60_000, &["a", "b", "c"], &engines);
    let count = |leader: &Leader, name: &str| {
        engines
            .iter()
            .filter(|e| leader.owner(e).as_deref() == Some(name))
            .count()
    };
    let before: Vec<_> = engines.iter().map(|e| leader.owner(e)).collect();
    for name in ["a", "b", "c"] {
        assert_that!(count(&leader, name), all![ge(3), le(5)], "{name}");
    }
    leader.heartbeat(60_000, "c", &engines, true);
    leader.heartbeats(60_000..70_000, &["a", "b"], &engines);
    let after: Vec<_> = engines.iter().map(|e| leader.owner(e)).collect();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert_that!(moved, le(5));
    assert_that!(count(&leader, "a") + count(&leader, "b"), eq(12));
}

/// Two changes for one engine are proposed before either is applied. The second must not
/// move the engine, whose lease has just begun.
#[test]
fn a_stale_assignment_changes_nothing() {
    base::covers!(stale_assign);
    let mut table = Table::default();
    let id = |name: &str| InstanceId {
        instance: name.parse().unwrap(),
        incarnation: Incarnation(1),
    };
    for (i, name) in ["a", "b"].into_iter().enumerate() {
        let (zone, peer) = ("za".parse().unwrap(), String::new());
        let join = Change::Join {
            id: id(name),
            zone,
            peer,
        };
        table.apply(1 + 2 * i as u64, &join);
        table.apply(2 + 2 * i as u64, &Change::Admit { id: id(name) });
    }
    let assign = |name: &str, expect| Change::Assign {
        target: "e".parse().unwrap(),
        id: id(name),
        expect: Fence(expect),
    };
    assert_that!(table.apply(5, &assign("a", 0)), eq(true));
    assert_that!(table.apply(6, &assign("b", 0)), eq(false));
    assert_that!(table.apply(7, &assign("b", 5)), eq(true));
    let (full, peers, gone) = table.since(6);
    assert_that!((full, peers.len(), gone.len()), eq((false, 2, 0)));
    assert_that!(table.since(7).1, is_empty());
}

fn check_shares((silent, loads, want): (usize, [u32; 2], [u32; 2])) {
    let asks = ["a", "b"].into_iter().zip(loads);
    let asks: Vec<_> = asks
        .map(|(name, loads)| (name.parse().unwrap(), "za".parse().unwrap(), loads))
        .collect();
    let parts: Vec<_> = shares(PerSecond(4), 4, silent, &asks)
        .into_iter()
        .map(|p| p.1)
        .collect();
    assert_that!(parts, eq(&want));
}

base::cases! {
    /// Half of the budget is divided evenly and half in proportion to the waiting loads;
    /// the shares of zones that are not heard from are set aside.
    budget: check_shares => {
        idle: (0, [0, 0], [2_000, 2_000]),
        one_waits: (0, [0, 8], [1_000, 3_000]),
        zones_silent: (2, [0, 8], [500, 1_500]),
        all_silent: (4, [1, 1], [0, 0]),
    }
}

#[test]
fn a_partitioned_zone_uses_its_fixed_share() {
    assert_that!(fixed_share(PerSecond(4), 4, 2), eq(500));
    assert_that!(fixed_share(PerSecond(4), 0, 0), eq(4_000));
}
