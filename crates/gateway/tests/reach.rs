//! When an entry instance finds itself cut off from all targets.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::{Seed, Time};
use gateway::reach::{Change, PROBE_TIMEOUT, Probe, Probed, Reach, Targets};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time(1_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn addr(no: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], no))
}

/// Returns targets in zones of the given sizes; the first zone is the instance's own.
fn targets(sizes: &[u16]) -> Targets {
    let mut next = 1;
    let zones = sizes.iter().enumerate().map(|(no, size)| {
        let of_zone: BTreeSet<_> = (next..next + size).map(addr).collect();
        next += size;
        (format!("z{no}"), of_zone)
    });
    zones.collect()
}

fn reach(seed: u64) -> Reach {
    Reach::new("z0", Seed(seed))
}

/// Ends all probes in the same way, and returns what follows from the last one.
fn end_all(reach: &mut Reach, now: Time, probes: BTreeSet<SocketAddr>, end: Probe) -> Probed {
    let mut last = Probed::default();
    for probe in probes {
        last = reach.probed(now, now, probe, end);
    }
    last
}

/// Ends all probes without an answer.
fn fail_all(reach: &mut Reach, now: Time, probes: BTreeSet<SocketAddr>) -> Option<Change> {
    end_all(reach, now, probes, Probe::Silent).change
}

fn end_of(connected: bool) -> Probe {
    if connected {
        Probe::Connected
    } else {
        Probe::Silent
    }
}

/// Guards against waiting for more evidence where no target can be connected to.
#[gtest]
fn an_instance_is_cut_off_once_no_target_can_be_connected_to() {
    let all = targets(&[3, 3, 3]);
    let mut reach = reach(1);
    let probes = reach.doubt(at(0), addr(1), &all);
    expect_that!(probes.len(), eq(8));
    expect_that!(reach.is_doubted(), eq(true));
    let change = fail_all(&mut reach, at(150), probes);
    let expected = Change::Cut {
        since: at(0),
        targets: 9,
    };
    expect_that!(change, some(eq(&expected)));
    expect_that!(reach.is_cut(), eq(true));
}

/// Guards against taking the crash of one target for a cut, and against probes for each
/// failure while other connections are made.
#[gtest]
fn one_target_that_fails_raises_no_doubt_while_others_are_connected_to() {
    let all = targets(&[3, 3]);
    let mut reach = reach(1);
    reach.connected(at(10));
    expect_that!(reach.doubt(at(5), addr(1), &all), is_empty());
    expect_that!(reach.is_doubted(), eq(false));
}

/// Guards against connections from before the cut that hide it.
#[gtest]
fn a_connection_from_before_hides_nothing() {
    let all = targets(&[3, 3]);
    let mut reach = reach(1);
    reach.connected(at(10));
    expect_that!(reach.doubt(at(20), addr(1), &all), not(is_empty()));
    reach.connected(at(15));
    expect_that!(reach.is_doubted(), eq(true));
}

/// Guards against a cut by one zone's failure: one connection ends the doubt.
#[gtest]
fn one_connection_ends_the_doubt() {
    let all = targets(&[2, 2, 2]);
    let mut reach = reach(1);
    let probes = reach.doubt(at(0), addr(1), &all);
    let mut probes = probes.into_iter();
    let nothing = Probed::default();
    let first = reach.probed(at(2), at(0), probes.next().unwrap(), Probe::Connected);
    expect_that!(first, eq(&nothing));
    for probe in probes {
        let later = reach.probed(at(150), at(0), probe, Probe::Silent);
        expect_that!(later, eq(&nothing));
    }
    expect_that!(reach.is_cut(), eq(false));
}

/// Guards against taking targets that crashed together for a cut: what ran on them would be
/// forgiven, however few of the others are tried first.
#[gtest]
fn refusals_prove_no_cut_while_other_targets_are_untried() {
    for (seed, size) in (0..100).zip([4, 7, 30, 60].into_iter().cycle()) {
        let all = targets(&[size, size]);
        let mut reach = reach(seed);
        let mut probes = reach.doubt(at(0), addr(1), &all);
        // All but one target have crashed, and that one is tried last.
        let mut left = usize::from(2 * size - 1);
        while left > 1 {
            let probe = probes.pop_first().expect("others are tried");
            left -= 1;
            let probed = reach.probed(at(1), at(1), probe, Probe::Refused);
            expect_that!(probed.change, none(), "seed {seed}, {left} of {size} left");
            probes.extend(probed.probes);
            if left == usize::from(2 * size - 1).saturating_sub(63) {
                break;
            }
        }
        let last = probes.pop_first().expect("one is left");
        reach.probed(at(2), at(2), last, Probe::Connected);
        expect_that!(
            reach.is_cut() || reach.is_doubted(),
            eq(false),
            "seed {seed}"
        );
    }
}

/// Guards against a cut in which connections are refused that is never found.
#[gtest]
fn refusals_by_all_targets_are_a_cut() {
    for size in [1, 4, 60] {
        let all = targets(&[size, size]);
        let mut reach = reach(1);
        let mut probes = reach.doubt(at(0), addr(1), &all);
        let mut change = None;
        while change.is_none() && !probes.is_empty() {
            let probed = end_all(&mut reach, at(2), probes, Probe::Refused);
            (change, probes) = (probed.change, probed.probes);
        }
        expect_that!(change, some(anything()), "{size}");
        expect_that!(reach.is_cut(), eq(true));
    }
}

/// Guards against a verdict by a single target.
#[gtest]
fn the_only_target_tells_nothing() {
    let mut reach = reach(1);
    expect_that!(reach.doubt(at(0), addr(1), &targets(&[1])), is_empty());
    expect_that!(reach.is_doubted(), eq(false));
}

/// Guards against swinging between both ways: two different targets have to be connected to,
/// and a target that fails again begins this anew.
#[gtest]
fn a_cut_ends_with_connections_to_two_targets() {
    let all = targets(&[3, 3]);
    let mut reach = reach(1);
    let probes = reach.doubt(at(0), addr(1), &all);
    fail_all(&mut reach, at(150), probes);
    let next = |reach: &mut Reach, ms| reach.next_probe(at(ms), &all);
    expect_that!(next(&mut reach, 300), none());
    let first = next(&mut reach, 400).unwrap();
    expect_that!(
        reach.probed(at(402), at(400), first, end_of(true)).change,
        none()
    );
    let second = next(&mut reach, 650).unwrap();
    expect_that!(second, not(eq(first)));
    expect_that!(
        reach.probed(at(800), at(650), first, end_of(false)).change,
        none()
    );
    expect_that!(
        reach.probed(at(802), at(650), second, end_of(true)).change,
        none()
    );
    let third = next(&mut reach, 900).unwrap();
    expect_that!(third, not(eq(second)));
    let over = Change::Over {
        lasted: Duration::from_millis(902),
    };
    let last = reach.probed(at(902), at(900), third, Probe::Connected);
    expect_that!(last.change, some(eq(&over)));
    expect_that!(reach.is_cut(), eq(false));
}

/// Guards against a cut that never ends, as only one target is sound.
#[gtest]
fn a_cut_ends_with_many_connections_to_the_only_sound_target() {
    let all = targets(&[2]);
    let mut reach = reach(1);
    let probes = reach.doubt(at(0), addr(1), &all);
    fail_all(&mut reach, at(150), probes);
    let mut now = 150;
    while reach.is_cut() {
        now += 250;
        let probe = reach.next_probe(at(now), &all).unwrap();
        reach.probed(at(now), at(now), probe, end_of(probe == addr(1)));
    }
    expect_that!(now, all!(ge(3_000), le(6_000)));
}

/// Plays drawn cuts of drawn deployments: connections are tried at random, and fail during
/// cuts after a drawn time. Returns the longest time from the beginning of a cut to its
/// discovery.
fn play(seed: u64) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sizes: Vec<u16> = (0..rng.random_range(1..5))
        .map(|_| rng.random_range(1..9))
        .collect();
    let all = targets(&sizes);
    let every: Vec<_> = all.values().flatten().copied().collect();
    let mut reach = reach(seed);
    let mut longest = Duration::ZERO;
    let mut now = 0;
    if every.len() < 2 {
        return longest;
    }
    for _ in 0..20 {
        let begin = now + rng.random_range(200..3_000);
        let end = begin + rng.random_range(1_500..8_000);
        let hangs = rng.random_bool(0.5);
        let dead = every[rng.random_range(0..every.len())];
        let mut found = None;
        while now < end {
            now += rng.random_range(1..80);
            let cut = now >= begin;
            let target = every[rng.random_range(0..every.len())];
            let fails = cut || (target == dead && every.len() > 2);
            let known = now + if hangs { 100 } else { 1 };
            if !fails {
                reach.connected(at(now));
            } else if !reach.is_cut() {
                let mut probes = reach.doubt(at(now), target, &all);
                while let Some(probe) = probes.pop_first() {
                    let end = match known < begin && probe != dead {
                        true => Probe::Connected,
                        false if hangs => Probe::Silent,
                        false => Probe::Refused,
                    };
                    probes.extend(reach.probed(at(known), at(known), probe, end).probes);
                }
                if known >= begin && reach.is_cut() {
                    let wait = if hangs { PROBE_TIMEOUT } else { Duration::ZERO };
                    found.get_or_insert(at(known).since(at(begin)) + wait);
                }
            }
            if !cut {
                // Between two cuts targets are tried again.
                if let Some(probe) = reach.next_probe(at(now), &all) {
                    let reached = probe != dead || every.len() == 2;
                    reach.probed(at(now), at(now), probe, end_of(reached));
                }
            }
        }
        longest = longest.max(found.unwrap_or(Duration::from_secs(60)));
        // The links are back for some time.
        for _ in 0..20 {
            now += 250;
            if let Some(probe) = reach.next_probe(at(now), &all) {
                let reached = probe != dead || every.len() == 2;
                reach.probed(at(now), at(now), probe, end_of(reached));
            }
        }
        assert_that!(reach.is_cut(), eq(false), "seed {seed}");
    }
    longest
}

/// Guards against a cut that is found late, or never ends, whatever its form.
#[gtest]
fn drawn_cuts_are_found_within_half_a_second() {
    for seed in 0..200 {
        assert_that!(play(seed), le(Duration::from_millis(500)), "seed {seed}");
    }
}
