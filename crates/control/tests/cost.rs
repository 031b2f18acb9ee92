//! Sizes of control messages and memory use of the replicated state.
//!
//! `cargo test --release -p control --test cost -- --ignored --nocapture` prints the
//! tables of the design documents.

use std::time::Instant;

use base::{Fence, Incarnation, TextVersion, Time};
use control::{Command, Item, State, What};
use googletest::prelude::*;
use owner::{Change, Config, Grantor, InstanceId, Table};
use wire::call::{Call, Claim, ClaimOutcome, Confirm, Heartbeat, Reply, Settle};

fn instance_id(i: usize) -> InstanceId {
    InstanceId {
        instance: format!("instance-{i:04}").parse().unwrap(),
        incarnation: Incarnation(1_700_000_000_000 + i as u64),
    }
}

fn beat(i: usize, serial: u64, roster: u64, engines: Option<usize>) -> Heartbeat {
    let id = instance_id(i);
    let names = |count| (0..count).map(|e| format!("engine-{e:04}").parse().unwrap());
    Heartbeat {
        instance: id.instance,
        zone: "zone-0".parse().unwrap(),
        incarnation: id.incarnation,
        peer: format!("10.0.{}.{}:7100", i / 250, i % 250),
        text: TextVersion(1_000),
        leaving: false,
        serial,
        heard: serial - 1,
        roster,
        engines: engines.map(|count| names(count).collect()),
        busy: Vec::new(),
        shares: Vec::new(),
        crashes: Default::default(),
        loads: 3,
    }
}

/// Returns a leader with the given numbers of instances and engines, all in one zone, and
/// the index of the last log entry.
fn leader(instances: usize, engines: usize) -> (Grantor, Table, u64) {
    let mut table = Table::default();
    let mut index = 0;
    let mut put = |change: Change| {
        index += 1;
        assert_that!(table.apply(index, &change), eq(true));
    };
    for i in 0..instances {
        let peer = format!("10.0.{}.{}:7100", i / 250, i % 250);
        let zone = "zone-0".parse().unwrap();
        put(Change::Join {
            id: instance_id(i),
            zone,
            peer,
        });
        put(Change::Admit { id: instance_id(i) });
    }
    for e in 0..engines {
        put(Change::Assign {
            target: format!("engine-{e:04}").parse().unwrap(),
            id: instance_id(e % instances),
            expect: Fence(0),
        });
    }
    let mut grantor = Grantor::new(Config::default());
    grantor.lead(Time::ZERO);
    (grantor, table, index)
}

fn bytes<T: serde::Serialize>(value: &T) -> usize {
    rmp_serde::to_vec(value).unwrap().len()
}

/// Returns the bytes of a heartbeat and its reply: first for the first heartbeat, then
/// for a later one without changes.
fn exchange(instances: usize, engines: usize) -> ((usize, usize), (usize, usize)) {
    let (mut grantor, table, index) = leader(instances, engines);
    let mut size = |serial, roster, engines| {
        let beat = beat(0, serial, roster, engines);
        let now = Time::from_millis(serial * 1_000);
        let part = grantor.heartbeat(now, &beat, &table, &mut Vec::new());
        let reply = Reply::Heartbeat(part.reply(serial, beat.text));
        (bytes(&Call::Heartbeat(beat)), bytes(&reply))
    };
    let first = size(1, 0, Some(engines));
    (first, size(2, index, None))
}

/// Control traffic of one instance must not grow with the system: without changes, a
/// heartbeat and its reply contain only the instance's own data.
#[test]
fn a_heartbeat_does_not_grow_with_the_system() {
    let (_, few) = exchange(7, 12);
    let (_, many) = exchange(380, 600);
    assert_that!(many.0 + many.1, le(few.0 + few.1 + 10));
    assert_that!(many.0 + many.1, lt(400));
}

fn claim(n: u64, dated: Option<u64>) -> Claim {
    let mut key = [7; 16];
    key[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    Claim {
        brand: "brand".parse().unwrap(),
        key,
        body: key,
        instance: instance_id(0).instance,
        attempt: n,
        dated,
    }
}

fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4
}

#[test]
#[ignore = "prints figures; run in release"]
fn cost() {
    println!("instances engines | first heartbeat, reply | later heartbeat, reply (bytes)");
    for (instances, engines) in [(7, 16), (48, 75), (100, 160), (380, 600)] {
        let (first, steady) = exchange(instances, engines);
        println!("{instances:9} {engines:7} | {first:?} | {steady:?}");
    }
    let confirm = Confirm {
        instance: instance_id(0).instance,
        target: "engine-0000".parse().unwrap(),
        fence: Fence(1_234_567),
        lasts: std::time::Duration::from_secs(9),
    };
    let granted = Reply::Confirm { granted: true };
    println!(
        "confirm {} + {} bytes",
        bytes(&Call::Confirm(confirm)),
        bytes(&granted)
    );
    let (mut grantor, table, index) = leader(380, 600);
    let began = Instant::now();
    for round in 1..11 {
        for i in 0..380 {
            let beat = beat(i, round, index, None);
            let now = Time::from_millis(round * 1_000 + i as u64 * 2);
            grantor.heartbeat(now, &beat, &table, &mut Vec::new());
        }
    }
    let each = began.elapsed().as_micros() / 3_800;
    println!("leader: {each} us per heartbeat with 380 instances and 600 engines");
    claims();
}

fn claims() {
    for (label, dated) in [("undated", None), ("dated", Some(1_700_000_000_000))] {
        let mut state = State::default();
        let (zone, peer) = ("zone-0".parse().unwrap(), String::new());
        let id = instance_id(0);
        let join = What::Owner(Change::Join {
            id: id.clone(),
            zone,
            peer,
        });
        let command = |at, what| Command {
            at,
            wall: 1_700_000_000_000,
            what,
        };
        state.apply(1, &command(0, join));
        let before = resident_kb();
        let mut log = 0;
        let began = Instant::now();
        for n in 0..500_000_u64 {
            let claim = claim(n, dated);
            let settle = Settle {
                brand: claim.brand.clone(),
                key: claim.key,
                instance: claim.instance.clone(),
                attempt: n,
                outcome: ClaimOutcome::Ran(None),
            };
            let items = vec![Item::Claim(claim), Item::Settle(settle)];
            let command = command(n, What::Claims(items));
            log += if n < 1_000 { command.encode().len() } else { 0 };
            state.apply(n + 2, &command);
            if n == 65_535 {
                let used = (resident_kb() - before) * 1_024 / 65_536;
                println!("{label}: {used} bytes of memory per key in full");
            }
        }
        let each = began.elapsed().as_nanos() / 500_000;
        let (full, prints) = state.claims().counts();
        println!(
            "{label}: {full} in full, {prints} fingerprints; {each} ns per claim with outcome"
        );
        println!(
            "{label}: snapshot {} bytes; log {} bytes per key",
            state.save().len(),
            log / 1_000
        );
        let later = command(10_000_000_000, What::Lapse(id));
        state.apply(1_000_000, &later);
        let (full, prints) = state.claims().counts();
        println!(
            "{label}: then {full} in full, {prints} fingerprints, {} bytes",
            state.save().len()
        );
    }
}
