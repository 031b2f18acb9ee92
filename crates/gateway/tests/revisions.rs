//! Delivery of adapter versions set by operators.

use std::collections::BTreeMap;

use gateway::revisions::{MAX_PER_ANSWER, Revisions};
use googletest::prelude::*;

fn versions(named: &[(&str, u32)]) -> BTreeMap<String, u32> {
    let named = named.iter();
    named.map(|(a, v)| ((*a).to_owned(), *v)).collect()
}

#[gtest]
fn a_version_is_told_once() {
    let mut revisions = Revisions::new(70);
    revisions.update(&versions(&[("a", 1), ("b", 1)]));
    let answer = revisions.since(0);
    assert_that!(answer.versions, len(eq(2)));
    assert_that!(revisions.since(answer.known).versions, is_empty());
    revisions.update(&versions(&[("a", 1), ("b", 2)]));
    let answer = revisions.since(answer.known);
    assert_that!(answer.versions, elements_are![eq(&("b".to_owned(), 2))]);
}

/// A control instance has restarted. A number known from its previous incarnation matches
/// nothing, so the requester gets all versions again; otherwise it would miss versions
/// set in between.
#[gtest]
fn another_incarnation_sends_all_again() {
    let mut before = Revisions::new(7_000);
    before.update(&versions(&[("a", 1)]));
    let known = before.since(0).known;
    let mut after = Revisions::new(90);
    after.update(&versions(&[("a", 1), ("b", 1)]));
    assert_that!(after.since(known).versions, len(eq(2)));
}

/// Ten thousand versions have been set when an entry instance starts. They are sent in
/// parts that its link can carry, while versions go on changing, and all of them arrive.
#[gtest]
fn many_versions_come_in_parts() {
    let mut all: BTreeMap<String, u32> = (0..10_000).map(|n| (format!("a{n}"), 1)).collect();
    let mut revisions = Revisions::new(5);
    revisions.update(&all);
    let mut known = 0;
    let mut got = BTreeMap::new();
    for round in 0..=12 {
        let answer = revisions.since(known);
        assert_that!(answer.versions.len(), le(MAX_PER_ANSWER));
        known = answer.known;
        got.extend(answer.versions);
        all.insert(format!("a{}", round * 700), 2);
        revisions.update(&all);
    }
    got.extend(revisions.since(known).versions);
    assert_that!(got, eq(&all));
}
