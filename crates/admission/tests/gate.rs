//! What one entry instance lets in, and what it reports.

use std::time::Duration;

use admission::{Ask, Change, Gate, Refused, Tally};
use base::{AccountName, Seed, Time};
use googletest::prelude::*;
use wire::admission::{AdmissionReport, AdmissionTold, Ended, Offered, Room};

const SERVICE: &str = "llm";

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn gate(seed: u64) -> Gate<u8> {
    Gate::new("e1".parse().expect("it is a name"), Seed(seed))
}

fn account(name: &str) -> AccountName {
    AccountName::try_from(name).expect("it is a name")
}

fn ask(account: &AccountName, rank: u8) -> Ask<'_> {
    Ask {
        service: SERVICE,
        account: Some(account),
        weight: 1,
        rank,
        units: Some(10),
        left: Duration::from_secs(9),
    }
}

fn room(slots: u32, running: u32) -> Room {
    Room {
        service: SERVICE.to_owned(),
        zone: "a".to_owned(),
        slots,
        running,
        queued: running.saturating_sub(slots),
    }
}

fn offered(name: &str, rank: u8, units: u64) -> Offered {
    Offered {
        service: SERVICE.to_owned(),
        account: Some(account(name)),
        rank,
        weight: 1,
        units,
    }
}

/// Tells that 3,100 requests are under way at 2,000 places, that 1,900 units a second end,
/// one for each request, and that accounts `x` and `y` offer 1,000 each at rank 0.
fn short() -> AdmissionTold {
    AdmissionTold {
        rooms: vec![
            room(1_000, 1_100),
            Room {
                zone: "b".to_owned(),
                ..room(1_000, 2_000)
            },
        ],
        offered: vec![offered("x", 0, 1_000), offered("y", 0, 1_000)],
        ended: vec![Ended {
            service: SERVICE.to_owned(),
            units: 1_900,
            requests: 1_900_000,
        }],
    }
}

/// Returns the part of `count` requests that a gate lets in.
fn let_in(gate: &mut Gate<u8>, now: Time, count: u64, rank: u8) -> f64 {
    let x = account("x");
    let passed = (0..count).filter(|n| gate.offer(now, &ask(&x, rank), || n + now.0).is_ok());
    passed.count() as f64 / count as f64
}

#[gtest]
fn an_instance_that_knows_nothing_lets_all_in() {
    assert_that!(let_in(&mut gate(1), at(0), 100, 0), eq(1.0));
}

#[gtest]
fn a_part_is_let_in_while_a_service_is_short_and_all_once_it_is_not() {
    let mut gate = gate(1);
    let changes = gate.told(at(0), 1, short());
    // 1,900 units end a second, and 900 requests beyond the aim are worked off in 2 s.
    assert_that!(let_in(&mut gate, at(10), 200, 0), near(0.725, 0.01));
    let [Change::Short(_, shortage)] = &changes[..] else {
        panic!("{changes:?}");
    };
    assert_that!(
        (shortage.slots, shortage.running, shortage.queued),
        eq((2_000, 3_100, 1_100))
    );
    let rooms = vec![
        room(1_000, 600),
        Room {
            zone: "b".to_owned(),
            ..room(1_000, 700)
        },
    ];
    let changes = gate.told(at(500), 1, AdmissionTold { rooms, ..short() });
    assert_that!(let_in(&mut gate, at(510), 200, 0), eq(1.0));
    assert_that!(
        changes,
        elements_are![matches_pattern!(Change::Over {
            refused: eq(&55),
            ..
        })]
    );
}

#[gtest]
fn single_full_targets_are_no_shortage() {
    let mut gate = gate(1);
    let rooms = vec![
        room(1_000, 1_600),
        Room {
            zone: "b".to_owned(),
            ..room(1_000, 500)
        },
    ];
    assert_that!(
        gate.told(at(0), 1, AdmissionTold { rooms, ..short() }),
        is_empty()
    );
    assert_that!(let_in(&mut gate, at(10), 200, 0), eq(1.0));
}

#[gtest]
fn parts_hold_in_the_sum_of_many_instances_with_one_request_each() {
    let parts = (0..2_000).map(|seed| {
        let mut gate = gate(seed);
        gate.told(at(0), 1, short());
        let_in(&mut gate, at(10), 1, 0)
    });
    assert_that!(parts.sum::<f64>() / 2_000.0, near(0.725, 0.03));
}

/// Checks the part that is let in some time after the last word of a control instance.
fn check_age((age, rank, expected): (u64, u8, f64)) {
    let mut gate = gate(1);
    let mut told = short();
    told.offered = vec![offered("x", 0, 1_000), offered("x", 1, 1_000)];
    told.ended[0].units = 1_000;
    told.ended[0].requests = 1_000_000;
    told.rooms.truncate(1);
    told.rooms[0] = room(1_000, 1_250);
    gate.told(at(0), 1, told);
    assert_that!(let_in(&mut gate, at(age), 400, rank), near(expected, 0.01));
}

base::cases! {
    /// Guards against parts that hold on after nobody is heard from any more, and against
    /// ranks that are refused for ever.
    old_parts_count_less: check_age => {
        fresh_urgent: (900, 0, 0.88),
        fresh_other: (900, 1, 0.05),
        older_urgent: (3_000, 0, 0.67),
        older_other: (3_000, 1, 0.25),
        old_urgent: (9_900, 0, 0.48),
        old_other: (9_900, 1, 0.44),
        forgotten: (10_000, 1, 1.0),
    }
}

fn refused(gate: &mut Gate<u8>, rank: u8, left: Duration) -> Vec<Refused> {
    let x = account("x");
    let request = Ask {
        left,
        ..ask(&x, rank)
    };
    let each = (0..1_000).filter_map(|n| gate.offer(at(10), &request, || n).err());
    each.collect()
}

/// Tells that accounts offer two ranks, and that a tenth is let in.
fn very_short() -> AdmissionTold {
    let mut told = short();
    told.offered = vec![offered("x", 0, 10_000), offered("x", 1, 10_000)];
    told
}

/// Returns the shortest and the longest time after which refused callers come back.
fn waits(gate: &mut Gate<u8>, rank: u8, left: Duration) -> (Duration, Duration) {
    let refused = refused(gate, rank, left);
    let waits = refused.iter().map(|refused| refused.again);
    (waits.clone().min().unwrap(), waits.max().unwrap())
}

/// Checks that refused callers come back spread between two parts of their time, and more
/// urgent ones first.
fn check_waits((left, from, to): (Duration, Duration, Duration)) {
    let mut gate = gate(1);
    gate.told(at(0), 1, very_short());
    let urgent = waits(&mut gate, 0, left);
    let other = waits(&mut gate, 1, left);
    assert_that!(urgent.0, ge(from));
    assert_that!(urgent.1, le(other.0));
    assert_that!(other.1, le(to));
    assert_that!(urgent.1 - urgent.0, gt((to - from).mul_f64(0.45)));
}

base::cases! {
    /// Guards against callers who all come back at once, without time to be served, or into
    /// the same shortage though they could outlast it.
    callers_come_back_spread_and_urgent_ones_first: check_waits => {
        hurried: (
            Duration::from_secs(5),
            Duration::from_millis(250),
            Duration::from_millis(1_666)
        ),
        patient: (Duration::from_secs(9), Duration::from_millis(3_600), Duration::from_millis(7_200)),
        very_patient: (Duration::from_secs(900), Duration::from_secs(8), Duration::from_secs(16)),
    }
}

#[gtest]
fn callers_with_little_time_come_back_within_a_third_of_it() {
    let mut gate = gate(1);
    gate.told(at(0), 1, very_short());
    let hurried = Duration::from_millis(300);
    assert_that!(waits(&mut gate, 1, hurried).1, le(hurried / 3));
}

/// Returns the part of a less urgent rank's callers that come back later than a more urgent
/// rank's can, whose time is short.
fn late(urgent: u64, ended: u64) -> f64 {
    let (mut gate, left) = (gate(1), Duration::from_secs(3));
    let mut told = short();
    told.rooms = vec![room(1_000, 1_250)];
    told.ended[0].units = ended;
    told.offered = vec![offered("x", 0, urgent), offered("x", 1, 1_000)];
    gate.told(at(0), 1, told);
    assert_that!(refused(&mut gate, 0, left), not(is_empty()));
    let other = refused(&mut gate, 1, Duration::from_secs(20));
    let late = other.iter().filter(|refused| refused.again > left);
    late.count() as f64 / other.len() as f64
}

/// Of the less urgent rank as many come back late as it is let in less.
#[gtest]
fn who_has_long_comes_back_late_only_as_the_order_of_ranks_allows() {
    // Of the urgent rank 0.9, and 0.1 of the other.
    assert_that!(late(1_000, 1_000), near(0.9, 0.05));
    // Of the urgent rank 0.18, and 0.1 of the other one.
    assert_that!(late(10_000, 2_000), lt(0.2));
}

#[gtest]
fn a_request_that_comes_back_is_let_in_more_often() {
    let let_in = |again: bool| {
        let (mut gate, x) = (gate(1), account("x"));
        let mut told = short();
        told.offered = vec![offered("x", 0, 10_000)];
        gate.told(at(0), 1, told);
        let refused = (0..1_000).filter(|n| gate.offer(at(10), &ask(&x, 0), || *n).is_err());
        let refused: Vec<u64> = refused.collect();
        let ids = refused.iter().map(|n| if again { *n } else { n + 10_000 });
        let passed = ids.filter(|id| gate.offer(at(11), &ask(&x, 0), || *id).is_ok());
        passed.count()
    };
    assert_that!(let_in(true), gt(let_in(false) * 3 / 2));
}

#[gtest]
fn only_what_has_changed_is_reported_and_nothing_late() {
    let (mut gate, x) = (gate(1), account("x"));
    gate.report(at(0), 1);
    let units = gate.offer(at(10), &ask(&x, 2), || 0).unwrap();
    gate.ended(at(20), SERVICE, units);
    let report = gate.report(at(250), 1);
    assert_that!(report.offered, elements_are![eq(&offered("x", 2, 10))]);
    assert_that!(
        (report.ended[0].units, report.ended[0].requests),
        eq((10, 1))
    );
    let empty_report =
        |report: &AdmissionReport| report.offered.is_empty() && report.ended.is_empty();
    assert_that!(empty_report(&gate.report(at(500), 1)), eq(true));
    gate.offer(at(510), &ask(&x, 2), || 0).unwrap();
    assert_that!(empty_report(&gate.report(at(1_600), 1)), eq(true));
    assert_that!(empty_report(&gate.report(at(1_700), 1)), eq(true));
}

#[gtest]
fn a_request_that_says_no_units_counts_for_the_mean() {
    let (mut gate, x) = (gate(1), account("x"));
    let silent = Ask {
        units: None,
        ..ask(&x, 0)
    };
    assert_that!(gate.offer(at(0), &silent, || 0), ok(eq(1)));
    gate.offer(
        at(0),
        &Ask {
            units: Some(30),
            ..ask(&x, 0)
        },
        || 0,
    )
    .unwrap();
    gate.offer(at(0), &ask(&x, 0), || 0).unwrap();
    assert_that!(gate.offer(at(0), &silent, || 0), ok(eq(20)));
}

#[gtest]
fn a_tally_tells_rates_of_all_instances_once_it_has_heard_them() {
    let mut tally = Tally::new(at(0));
    let mut told = Vec::new();
    for n in 1..40 {
        let now = at(n * 250);
        for instance in ["e1", "e2"] {
            tally.add(
                now,
                &AdmissionReport {
                    instance: instance.parse().expect("it is a name"),
                    offered: vec![offered("x", 0, 50)],
                    ended: vec![Ended {
                        service: SERVICE.to_owned(),
                        units: 25,
                        requests: 5,
                    }],
                },
            );
        }
        told.push(tally.told(now, vec![room(10, 5)]));
    }
    assert_that!(told[0], eq(&AdmissionTold::default()));
    for told in &told[1..] {
        // A report counts as if all of it came in at its end.
        assert_that!(told.offered[0].units as f64, near(400.0, 70.0));
        assert_that!(told.ended[0].requests as f64, near(40_000.0, 7_000.0));
    }
    let told = tally.told(at(10_000), vec![room(10, 4)]);
    assert_that!((told.offered.len(), told.rooms.len()), eq((0, 1)));
    tally.expire(at(30_000));
    assert_that!(
        tally.told(at(30_000), vec![room(10, 9)]).offered,
        is_empty()
    );
}
