//! When an entry instance finds itself cut off from all targets.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::{Seed, Time};
use gateway::reach::{Change, PROBE_TIMEOUT, Reach, Targets};
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

/// Ends all probes without a connection.
fn fail_all(reach: &mut Reach, now: Time, probes: BTreeSet<SocketAddr>) -> Option<Change> {
    let mut change = None;
    for probe in probes {
        change = change.or(reach.probed(now, now, probe, false));
    }
    change
}

/// Guards against waiting for more evidence where no target can be connected to.
#[gtest]
fn an_instance_is_cut_off_once_no_target_can_be_connected_to() {
    let all = targets(&[3, 3, 3]);
    let mut reach = reach(1);
    let probes = reach.doubt(at(0), addr(1), &all);
    expect_that!(probes.len(), eq(4));
    expect_that!(reach.is_doubted(), eq(true));
    let change = fail_all(&mut reach, at(150), probes);
    let expected = Change::Cut {
        since: at(0),
        targets: 5,
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
    expect_that!(
        reach.probed(at(2), at(0), probes.next().unwrap(), true),
        none()
    );
    for probe in probes {
        expect_that!(reach.probed(at(150), at(0), probe, false), none());
    }
    expect_that!(reach.is_cut(), eq(false));
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
    expect_that!(reach.probed(at(402), at(400), first, true), none());
    let second = next(&mut reach, 650).unwrap();
    expect_that!(second, not(eq(first)));
    expect_that!(reach.probed(at(800), at(650), first, false), none());
    expect_that!(reach.probed(at(802), at(650), second, true), none());
    let third = next(&mut reach, 900).unwrap();
    expect_that!(third, not(eq(second)));
    let over = Change::Over {
        lasted: Duration::from_millis(902),
    };
    expect_that!(reach.probed(at(902), at(900), third, true), some(eq(&over)));
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
        reach.probed(at(now), at(now), probe, probe == addr(1));
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
                let probes = reach.doubt(at(now), target, &all);
                for probe in probes {
                    let reached = known < begin && probe != dead;
                    reach.probed(at(known), at(known), probe, reached);
                }
                if known >= begin && reach.is_cut() {
                    let wait = if hangs { PROBE_TIMEOUT } else { Duration::ZERO };
                    found.get_or_insert(at(known).since(at(begin)) + wait);
                }
            }
            if !cut {
                // Between two cuts targets are tried again.
                if let Some(probe) = reach.next_probe(at(now), &all) {
                    reach.probed(at(now), at(now), probe, probe != dead || every.len() == 2);
                }
            }
        }
        longest = longest.max(found.unwrap_or(Duration::from_secs(60)));
        // The links are back for some time.
        for _ in 0..20 {
            now += 250;
            if let Some(probe) = reach.next_probe(at(now), &all) {
                reach.probed(at(now), at(now), probe, probe != dead || every.len() == 2);
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
