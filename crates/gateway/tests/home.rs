//! Home zones of adapters that no target holds.

use gateway::home::home;
use googletest::prelude::*;

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
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
