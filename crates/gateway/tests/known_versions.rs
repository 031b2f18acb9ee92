//! What an owner of zones knows of the software versions that were there.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use gateway::known_versions::KnownVersions;
use googletest::prelude::*;
use wire::stream::ServiceSoftware;

const NOW: Time = Time::ZERO;

fn one(software: &str) -> ServiceSoftware {
    ServiceSoftware {
        service: "s".to_owned(),
        software: software.parse().ok(),
    }
}

fn set(software: &[&str]) -> BTreeSet<ServiceSoftware> {
    software.iter().map(|name| one(name)).collect()
}

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn after(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

/// Returns what an owner of `za` knows that lists v2, after the leader has told it of v1 too.
fn told() -> KnownVersions {
    let mut known = KnownVersions::default();
    known.listed(NOW, &one("v2"));
    assert_that!(known.ask(NOW, &zones(&["za"]), &set(&["v2"])), eq(true));
    known.noted(NOW, zones(&["za"]), set(&["v1", "v2"]));
    known
}

/// Guards against an owner that takes what it has listed since it started for all there was.
#[gtest]
fn an_owner_covers_its_zone_once_the_leader_has_told_it() {
    let mut known = KnownVersions::default();
    known.listed(NOW, &one("v2"));
    expect_false!(known.covers(&"za".to_owned()));
    expect_false!(known.is_noted(&one("v2")));
    let known = told();
    expect_true!(known.covers(&"za".to_owned()));
    expect_false!(known.covers(&"zb".to_owned()));
    expect_true!(known.is_noted(&one("v2")));
    let mut versions = known.of(NOW, "s");
    versions.sort();
    expect_that!(versions, eq(&vec!["v1".parse().ok(), "v2".parse().ok()]));
}

fn check_owned((before, after, covers): (&[&str], &[&str], bool)) {
    let mut known = told();
    known.owned(&zones(before), &zones(after));
    assert_that!(known.covers(&"za".to_owned()), eq(covers));
}

base::cases! {
    /// Guards against an owner that covers a zone which another one has owned meanwhile.
    a_zone_is_covered_while_it_is_owned_without_a_break: check_owned => {
        kept: (&["za"], &["za"], true),
        another_one_joins: (&["za"], &["za", "zb"], true),
        lost: (&["za"], &[], false),
        back_after_a_break: (&[], &["za"], false),
    }
}

/// Guards against an answer to a question from before another owner listed more.
#[gtest]
fn an_answer_to_an_earlier_question_is_dropped() {
    let mut known = KnownVersions::default();
    expect_true!(known.ask(NOW, &zones(&["za"]), &set(&["v2"])));
    known.owned(&zones(&["za"]), &[]);
    known.owned(&[], &zones(&["za"]));
    known.noted(NOW, zones(&["za"]), set(&["v2"]));
    expect_false!(known.covers(&"za".to_owned()));
}

/// Guards against a leader that is asked with each reading of a list, and against a new version
/// that it isn't asked about.
#[gtest]
fn the_leader_is_asked_when_something_is_new() {
    let za = zones(&["za"]);
    let ask = |at, zones: &[String], listed: &[&str]| told().ask(after(at), zones, &set(listed));
    expect_false!(ask(600, &za, &["v2"]));
    expect_true!(ask(600, &za, &["v2", "v3"]));
    expect_true!(ask(600, &zones(&["za", "zb"]), &["v2"]));
    expect_true!(ask(5_000, &za, &["v2"]));
    let mut known = KnownVersions::default();
    expect_true!(known.ask(NOW, &za, &set(&["v2"])));
    expect_false!(known.ask(after(299), &za, &set(&["v2"])));
    expect_true!(known.ask(after(300), &za, &set(&["v2"])));
}
