//! Reads of the platform's target list by entry instances.

use std::time::Duration;

use base::Time;
use gateway::list_fallback::{ListFallback, Read};
use googletest::prelude::*;

const STEP: Duration = Duration::from_millis(250);
const INSTANCES: u64 = 200;

/// Calls per second that the platform allows to all instances together.
const ALLOWED: usize = 260;

fn zones() -> Vec<String> {
    ["za", "zb", "zc", "zd", "ze", "zf"]
        .map(str::to_owned)
        .to_vec()
}

/// Simulates ten seconds in which the owners of some zones are not heard from; returns
/// for each step what each instance reads.
fn simulate(unheard: usize) -> Vec<Vec<Option<Read>>> {
    let zones = zones();
    let mut now = Time::from_millis(1_000);
    let spread = |n: u64| base::stable_hash(&[&n.to_le_bytes()]);
    let mut all: Vec<_> = (0..INSTANCES)
        .map(|n| ListFallback::new(now, &zones, spread(n)))
        .collect();
    let steps = (0..40).map(|_| {
        now = now + STEP;
        let each = all.iter_mut().map(|fallback| {
            fallback.heard(now, &zones[unheard..]);
            fallback.due(now)
        });
        each.collect()
    });
    steps.collect()
}

/// The owner of one zone is lost. Every instance read the lists of all zones each second:
/// more calls than the platform allows, and most were refused.
#[gtest]
fn the_loss_of_an_owner_costs_few_calls() {
    let steps = simulate(1);
    for second in steps.windows(4) {
        let reads = second.iter().flatten().flatten();
        let calls: usize = reads
            .map(|read| match read {
                Read::Zones(zones) => zones.len(),
                Read::All(_) => zones().len(),
            })
            .sum();
        expect_that!(calls, lt(ALLOWED));
    }
}

/// A zone without an owner is read often enough to notice targets that leave.
#[gtest]
fn a_silent_zone_is_read_every_two_seconds() {
    let steps = simulate(1);
    for instance in 0..INSTANCES as usize {
        let reads: Vec<_> = steps.iter().map(|step| step[instance].clone()).collect();
        let at = reads.iter().position(Option::is_some);
        expect_that!(at, some(le(13)));
        for two in reads[13..].windows(8) {
            expect_that!(two, contains(some(eq(&Read::Zones(vec!["za".to_owned()])))));
        }
    }
}

#[gtest]
fn nothing_is_read_while_all_owners_speak() {
    expect_that!(simulate(0).iter().flatten().flatten().count(), eq(0));
}

#[gtest]
fn most_zones_are_read_in_one_list() {
    let steps = simulate(5);
    let reads: Vec<_> = steps.into_iter().flatten().flatten().collect();
    let unheard = zones()[..5].to_vec();
    expect_that!(reads, not(is_empty()));
    expect_that!(reads, each(eq(&Read::All(unheard))));
}
