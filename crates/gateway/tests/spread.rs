//! Choice of targets by many instances that know the same loads.

use std::collections::{BTreeMap, BTreeSet};

use base::{Seed, Time};
use gateway::view::{Choice, View};
use googletest::prelude::*;
use wire::fleet::{Resident, Target};

const NOW: Time = Time(1_000_000);
const INSTANCES: u64 = 194;
const TARGETS: usize = 8;

fn target(n: usize) -> Target {
    Target {
        id: format!("e{n}"),
        service: "s".to_owned(),
        addr: format!("e{n}:1"),
        zone: "za".to_owned(),
        slots: 12,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: vec![Resident {
            adapter: "m/x".to_owned(),
            version: 1,
            ready_in: std::time::Duration::ZERO,
        }],
        limit: None,
    }
}

/// Returns how many requests each target gets when each instance sends one, all with the
/// same information on running requests.
fn sent(running: &[(String, u32)]) -> BTreeMap<String, usize> {
    let zones = ["za".to_owned()];
    let mut sent = BTreeMap::new();
    for seed in 0..INSTANCES {
        let mut view = View::new("za", Seed(seed));
        view.set_targets(NOW, &zones, (0..TARGETS).map(target).collect());
        view.set_other_running(&zones, running.iter().cloned());
        let choice = view.choose(NOW, "s", "m/x", &BTreeSet::new(), None);
        let Choice::Send(id) = choice else {
            panic!("nothing chosen: {choice:?}");
        };
        *sent.entry(id).or_default() += 1;
    }
    sent
}

/// A busy adapter has eight holders, and one of them has one request less than the
/// others. All instances sent there until they heard of each other's requests: its queue
/// took seconds to process, while the other seven were idle.
#[gtest]
fn instances_do_not_all_choose_the_same_target() {
    let running: Vec<_> = (0..TARGETS)
        .map(|n| (format!("e{n}"), if n == 5 { 5 } else { 6 }))
        .collect();
    let sent = sent(&running);
    let mean = INSTANCES as usize / TARGETS;
    expect_that!(sent.len(), eq(TARGETS));
    expect_that!(sent.values().max(), some(le(&(mean * 3))));
}

/// One holder has a larger backlog than instances can add at once. It gets no requests.
#[gtest]
fn a_target_that_is_clearly_fuller_is_left_alone() {
    let running: Vec<_> = (0..TARGETS)
        .map(|n| (format!("e{n}"), if n == 5 { 9 } else { 6 }))
        .collect();
    expect_that!(sent(&running).get("e5"), none());
}

/// One instance sends many requests. It knows of its own and fills all targets evenly.
#[gtest]
fn one_instance_fills_targets_alike() {
    let zones = ["za".to_owned()];
    let mut view = View::new("za", Seed(3));
    view.set_targets(NOW, &zones, (0..TARGETS).map(target).collect());
    let mut counts = BTreeMap::new();
    for _ in 0..TARGETS * 6 {
        let Choice::Send(id) = view.choose(NOW, "s", "m/x", &BTreeSet::new(), None) else {
            panic!("nothing chosen");
        };
        view.begin(&id, "m/x", 0);
        *counts.entry(id).or_insert(0) += 1;
    }
    expect_that!(counts.values().max(), some(le(&8)));
    expect_that!(counts.values().min(), some(ge(&4)));
}

/// All holders but one can't be reached, or have refused the request. A purely random
/// choice would send it to them again.
#[gtest]
fn what_is_clearly_worse_is_not_drawn() {
    let zones = ["za".to_owned()];
    for seed in 0..INSTANCES {
        let mut view = View::new("za", Seed(seed));
        let mut targets: Vec<_> = (0..TARGETS).map(target).collect();
        for target in &mut targets {
            target.residents.clear();
        }
        view.set_targets(NOW, &zones, targets);
        let tried: BTreeSet<_> = (0..4).map(|n| format!("e{n}")).collect();
        for n in 4..TARGETS - 1 {
            view.unreachable(NOW, &format!("e{n}"));
        }
        let choice = view.choose(NOW, "s", "", &tried, None);
        expect_that!(choice, eq(&Choice::Send("e7".to_owned())));
    }
}

/// One engine takes three times as long as the others. It gets about a third of their
/// requests, not none: it can serve that many in time.
#[gtest]
fn a_slow_target_gets_what_it_can_serve() {
    let zones = ["za".to_owned()];
    let mut view = View::new("za", Seed(5));
    let mut targets: Vec<_> = (0..TARGETS).map(target).collect();
    targets[2].slowness = 300;
    view.set_targets(NOW, &zones, targets);
    let mut counts = BTreeMap::new();
    for _ in 0..TARGETS * 9 {
        let Choice::Send(id) = view.choose(NOW, "s", "m/x", &BTreeSet::new(), None) else {
            panic!("nothing chosen");
        };
        view.begin(&id, "m/x", 0);
        *counts.entry(id).or_insert(0) += 1;
    }
    expect_that!(counts.get("e2"), some(all!(ge(&1), le(&6))));
}

/// The backlog of a slow target counts with the time that this target needs for it.
#[gtest]
fn a_copy_is_due_where_the_only_holder_is_slow() {
    let zones = ["za".to_owned(), "zb".to_owned()];
    let load = std::time::Duration::from_millis(250);
    for (slowness, zone) in [(100, None), (300, Some("za"))] {
        let mut slow = target(0);
        slow.slowness = slowness;
        let mut idle = target(1);
        idle.residents.clear();
        let mut view = View::new("za", Seed(1));
        view.set_targets(NOW, &zones, vec![slow, idle]);
        // 0.13 s of prompts for a target of typical speed.
        view.begin("e0", "m/x", 4_000);
        expect_that!(view.zone_for_copy(NOW, "s", "m/x", load), eq(zone));
    }
}
