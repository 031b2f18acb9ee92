//! Home zones of adapters that no target holds.

use gateway::home::{WeightedZone, home};
use googletest::prelude::*;

fn zones(names: &[&str]) -> Vec<WeightedZone> {
    let zones = names.iter().map(|name| WeightedZone {
        name: (*name).to_owned(),
        weight: 1.0,
    });
    zones.collect()
}

/// A zone's owner is lost. Only the adapters whose home is that zone may move, or all
/// other zones would load adapters they have never held.
#[gtest]
fn a_lost_zone_moves_only_its_own_adapters() {
    let all = zones(&["za", "zb", "zc", "zd"]);
    let left = zones(&["za", "zb", "zd"]);
    let mut moved = 0;
    for n in 0..1_000 {
        let adapter = format!("m/a{n}");
        let before = home(&adapter, &all, 0).unwrap();
        let after = home(&adapter, &left, 0).unwrap();
        if before != "zc" {
            assert_that!(after, eq(before));
        } else {
            moved += 1;
            assert_that!(after, eq(home(&adapter, &all, 1).unwrap()));
        }
    }
    assert_that!(moved, all!(gt(180), lt(320)));
}

#[gtest]
fn without_zones_there_is_no_home() {
    assert_that!(home("m/a", &[], 3), none());
}

/// Guards against adapters that wait for the only engine of a zone without a limit, and
/// against those of other zones moving as well.
#[gtest]
fn a_limited_zone_passes_on_adapters_of_its_own() {
    let all = zones(&["za", "zb", "zc", "zd"]);
    let mut limited = all.clone();
    limited[2].weight = 1.0 / 3.0;
    let (mut before, mut kept) = (0, 0);
    for n in 0..2_000 {
        let adapter = format!("m/a{n}");
        let old = home(&adapter, &all, 0).unwrap();
        let new = home(&adapter, &limited, 0).unwrap();
        if old == "zc" {
            before += 1;
            kept += i32::from(new == "zc");
        } else {
            assert_that!(new, eq(old));
        }
    }
    assert_that!(kept * 10, all!(gt(before * 3), lt(before * 5)));
}

#[gtest]
fn zones_without_weight_are_homes_only_if_all_are() {
    let mut half = zones(&["za", "zb"]);
    half[0].weight = 0.0;
    for round in 0..3 {
        assert_that!(home("m/a", &half, round), some(eq("zb")));
    }
    half[1].weight = 0.0;
    let all = [home("m/a", &half, 0), home("m/a", &half, 1)];
    assert_that!(all, unordered_elements_are![some(eq("za")), some(eq("zb"))]);
}
