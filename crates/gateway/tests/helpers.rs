//! Which instances help one that is cut off from all targets.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Seed, Time};
use gateway::helpers::{Helpers, Roster};
use googletest::prelude::*;
use wire::helper::{EntryReport, Helper};

const NOW: Time = Time(1_000_000);

fn name(no: usize) -> InstanceName {
    InstanceName::try_from(format!("i{no}").as_str()).unwrap()
}

fn report(no: usize, zone: &str, helps: bool) -> EntryReport {
    EntryReport {
        instance: name(no),
        zone: zone.to_owned(),
        helps,
    }
}

fn helper(no: usize, zone: &str) -> Helper {
    Helper {
        instance: name(no),
        zone: zone.to_owned(),
    }
}

/// Guards against helpers that are cut off themselves, are gone or are the one that asks.
#[gtest]
fn only_others_that_reach_targets_are_named() {
    let mut roster = Roster::default();
    roster.report(NOW, &report(1, "za", true));
    roster.report(NOW, &report(2, "za", false));
    let later = NOW + Duration::from_secs(5);
    roster.report(later, &report(3, "zb", true));
    let named = roster.report(later, &report(4, "za", true));
    expect_that!(
        named,
        elements_are![eq(&helper(1, "za")), eq(&helper(3, "zb"))]
    );
    let named = roster.report(NOW + Duration::from_secs(7), &report(4, "za", true));
    expect_that!(named, elements_are![eq(&helper(3, "zb"))]);
}

/// Guards against bytes between zones while the own zone has helpers, and against none where
/// it has not.
#[gtest]
fn the_own_zone_comes_first() {
    let mut helpers = Helpers::new("za", Seed(1));
    helpers.told(vec![helper(1, "zb"), helper(2, "za"), helper(3, "zb")]);
    for _ in 0..20 {
        expect_that!(helpers.choose(NOW), some(eq(&name(2))));
    }
    helpers.no_help(NOW, &name(2));
    expect_that!(helpers.choose(NOW), some(not(eq(&name(2)))));
    expect_that!(
        helpers.choose(NOW + Duration::from_secs(2)),
        some(eq(&name(2)))
    );
}

/// Guards against one neighbour that gets all the work of an instance that is cut off.
#[gtest]
fn requests_are_spread_over_the_helpers() {
    let mut helpers = Helpers::new("za", Seed(1));
    helpers.told((0..4).map(|no| helper(no, "za")).collect());
    let mut counts = BTreeMap::new();
    for _ in 0..400 {
        *counts.entry(helpers.choose(NOW).unwrap()).or_insert(0) += 1;
    }
    expect_that!(counts.len(), eq(4));
    for count in counts.into_values() {
        expect_that!(count, all!(ge(70), le(130)));
    }
}

/// Guards against losing all helpers by the word of a control instance that has just started.
#[gtest]
fn an_empty_list_changes_nothing() {
    let mut helpers = Helpers::new("za", Seed(1));
    helpers.told(vec![helper(1, "za")]);
    helpers.told(Vec::new());
    expect_that!(helpers.choose(NOW), some(eq(&name(1))));
}

/// Guards against requests that are refused at once though the helpers go on, as each has said
/// nothing for a moment.
#[gtest]
fn helpers_that_were_no_help_are_asked_again_where_there_are_no_others() {
    let mut helpers = Helpers::new("za", Seed(1));
    helpers.told(vec![helper(1, "za"), helper(2, "zb")]);
    helpers.no_help(NOW, &name(2));
    helpers.no_help(NOW + Duration::from_millis(100), &name(1));
    let later = NOW + Duration::from_millis(200);
    expect_that!(helpers.choose(later), some(eq(&name(2))));
    helpers.no_help(later, &name(2));
    expect_that!(helpers.choose(later), some(eq(&name(1))));
}
