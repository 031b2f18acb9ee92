//! Zone leases: never two owners that may give orders in a zone, and no zone without an
//! owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, Time};
use gateway::zone_lease::{LEASE_TIME, LeaseGranter, ZoneLease, takeover_time};
use googletest::prelude::*;

const OWNER_GAP: Duration = Duration::from_millis(3_400);

fn name(raw: &str) -> InstanceName {
    raw.parse().unwrap()
}

fn zones() -> BTreeSet<String> {
    ["za".to_owned(), "zb".to_owned()].into()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[gtest]
fn a_zone_goes_to_its_own_instance_first() {
    let mut granter = LeaseGranter::default();
    granter.lead(at(0));
    granter.renew(at(100), &name("a"), "za");
    let due = granter.due(at(200), &zones(), &BTreeMap::new(), OWNER_GAP);
    assert_that!(due, eq(&vec![("za".to_owned(), name("a"))]));
    granter.renew(at(1_500), &name("a"), "za");
    let due = granter.due(at(1_600), &zones(), &BTreeMap::new(), OWNER_GAP);
    assert_that!(due.len(), eq(2));
}

/// An owner renews its lease at one leader and is then cut off. Another leader is elected
/// at once and knows nothing of that renewal. The zone must not get a new owner before
/// the old lease has certainly expired, plus the time within which engines must not get
/// orders from two owners.
#[gtest]
fn a_new_leader_waits_out_a_lease_it_never_saw() {
    let mut owner = ZoneLease::default();
    owner.granted(at(1_000), [("za".to_owned(), 7)]);
    let mut granter = LeaseGranter::default();
    granter.lead(at(1_001));
    let owners = BTreeMap::from([("za".to_owned(), name("a"))]);
    let only = BTreeSet::from(["za".to_owned()]);
    let mut last = at(0);
    for ms in (1_001..30_000).step_by(50) {
        if owner.fence(at(ms), "za").is_some() {
            last = at(ms);
        }
        granter.renew(at(ms), &name("b"), "zb");
        if !granter.due(at(ms), &only, &owners, OWNER_GAP).is_empty() {
            assert_that!(at(ms).since(last), ge(OWNER_GAP));
            return;
        }
    }
    panic!("the zone never gets another owner");
}

#[gtest]
fn an_owner_that_is_heard_keeps_its_zone() {
    let mut granter = LeaseGranter::default();
    granter.lead(at(0));
    let owners = BTreeMap::from([("za".to_owned(), name("a"))]);
    let only = BTreeSet::from(["za".to_owned()]);
    for ms in (0..60_000).step_by(400) {
        granter.renew(at(ms), &name("a"), "za");
        granter.renew(at(ms), &name("b"), "zb");
        assert_that!(granter.due(at(ms), &only, &owners, OWNER_GAP), is_empty());
    }
    assert_that!(takeover_time(OWNER_GAP), gt(LEASE_TIME + OWNER_GAP));
}

/// A machine is frozen while it owns a zone. It resumes after its lease has expired and
/// has not heard yet that another instance owns the zone.
#[gtest]
fn a_lease_expires_by_the_clock_alone() {
    let mut owner = ZoneLease::default();
    owner.granted(at(1_000), [("za".to_owned(), 7)]);
    assert_that!(owner.fence(at(8_999), "za"), some(eq(7)));
    assert_that!(owner.fence(at(9_000), "za"), none());
    assert_that!(owner.zones(at(9_000)), is_empty());
}

/// Answers of two leaders arrive out of order. The older one must not bring back a zone
/// that the newer one doesn't list.
#[gtest]
fn an_older_grant_changes_nothing() {
    let mut owner = ZoneLease::default();
    owner.granted(at(2_000), []);
    owner.granted(at(1_000), [("za".to_owned(), 7)]);
    assert_that!(owner.zones(at(2_100)), is_empty());
}
