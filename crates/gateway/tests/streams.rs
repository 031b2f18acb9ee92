//! The register of streams, and targets by their software.

use std::{collections::BTreeSet, time::Duration};

use base::{Fingerprint, Seed, SoftwareVersion, Time};
use gateway::{
    streams::{ListedSoftware, MAX_STREAMS, RecentStreams, StreamRegister, only_version},
    view::{Choice, View},
};
use googletest::prelude::*;
use wire::{
    fleet::{Resident, Target, Weights},
    stream::StreamOrigin,
};

const NOW: Time = Time(1_000_000);

fn software(raw: &str) -> SoftwareVersion {
    raw.parse().unwrap()
}

fn origin(raw: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        software: software(raw),
    }
}

fn key(no: usize) -> Fingerprint {
    Fingerprint::of(&[&no.to_le_bytes()])
}

fn after(seconds: u64) -> Time {
    NOW + Duration::from_secs(seconds)
}

#[gtest]
fn a_stream_is_remembered_for_a_minute_after_its_last_report() {
    let mut register = StreamRegister::default();
    register.note(NOW, key(1), &origin("v1"));
    register.note(after(50), key(1), &origin("v1"));
    register.note(after(70), key(2), &origin("v2"));
    expect_that!(register.find(after(109), &key(1)), some(eq(&origin("v1"))));
    expect_that!(register.find(after(110), &key(1)), none());
    expect_that!(register.find(after(110), &key(2)), some(eq(&origin("v2"))));
    register.note(after(200), key(3), &origin("v1"));
    expect_that!(register.len(), eq(1));
}

/// Guards against a caller who uses another caller's id and so moves the rest of that one's
/// stream to another version.
#[gtest]
fn a_stream_with_two_origins_has_none() {
    let mut register = StreamRegister::default();
    register.note(NOW, key(1), &origin("v1"));
    register.note(NOW, key(1), &origin("v2"));
    register.note(NOW, key(1), &origin("v1"));
    expect_that!(register.find(NOW, &key(1)), none());
}

/// Guards against memory that grows with the ids that callers make up.
#[gtest]
fn the_register_is_bounded() {
    let mut register = StreamRegister::default();
    for no in 0..MAX_STREAMS + 5_000 {
        register.note(NOW, key(no), &origin("v1"));
    }
    expect_that!(register.len(), le(MAX_STREAMS));
    expect_that!(register.find(NOW, &key(0)), none());
    expect_that!(register.find(NOW, &key(MAX_STREAMS)), some(anything()));
    register.note(after(61), key(1), &origin("v2"));
    expect_that!(register.len(), eq(1));
    expect_that!(register.find(after(61), &key(1)), some(eq(&origin("v2"))));
}

fn target(id: &str) -> Target {
    let residents = ["m", "m/x"].map(|adapter| Resident {
        adapter: adapter.to_owned(),
        version: 1,
        ready_in: Duration::ZERO,
    });
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: format!("{id}:1"),
        zone: "za".to_owned(),
        slots: 10,
        ready: true,
        slowness: 0,
        weights: vec![Weights {
            model: "m".to_owned(),
            version: 1,
        }],
        residents: residents.into(),
        limit: None,
    }
}

/// Returns a view of targets that run these versions; an empty one isn't known.
fn view(versions: &[(&str, &str)]) -> View {
    let mut view = View::new("za", Seed(1));
    let targets = versions.iter().map(|(id, _)| target(id)).collect();
    view.set_targets(NOW, &["za".to_owned()], targets);
    let told = versions.iter();
    view.set_software(told.map(|(id, raw)| ((*id).to_owned(), raw.parse().ok())));
    view
}

/// Returns where the rest of a stream goes that `wanted` began.
fn choose(view: &View, now: Time, wanted: &str, tried: &[&str]) -> Option<String> {
    let tried: BTreeSet<_> = tried.iter().map(|id| (*id).to_owned()).collect();
    let wanted = software(wanted);
    match view.choose(now, "s", "m/x", &tried, Some(&wanted)) {
        Choice::Send(id) => Some(id),
        Choice::NoTarget => None,
        other => panic!("{other:?}"),
    }
}

/// Guards against the rest of a stream at a target of another software version, or of one
/// that isn't known.
#[gtest]
fn the_rest_of_a_stream_goes_to_its_software_version() {
    let view = view(&[("a", "v1"), ("b", "v2"), ("c", "")]);
    expect_that!(choose(&view, NOW, "v1", &[]), some(eq("a")));
    expect_that!(choose(&view, NOW, "v2", &[]), some(eq("b")));
    expect_that!(choose(&view, NOW, "v3", &[]), none());
    expect_that!(choose(&view, NOW, "v1", &["a"]), none());
    expect_that!(view.awaits_software("s"), eq(false));
}

/// Guards against new requests that a target whose software isn't known doesn't get.
#[gtest]
fn a_target_without_a_known_version_takes_new_requests() {
    let view = view(&[("c", "")]);
    let choice = view.choose(NOW, "s", "m/x", &BTreeSet::new(), None);
    expect_that!(choice, eq(&Choice::Send("c".to_owned())));
}

/// Guards against a stream that goes on at a target that has started again under its id, by
/// then with another version, before the platform's list shows it.
#[gtest]
fn the_version_of_a_target_that_has_ended_is_in_doubt() {
    let mut view = view(&[("a", "v1"), ("b", "v1")]);
    view.ended(NOW, "a");
    expect_that!(choose(&view, after(1), "v1", &["b"]), none());
    expect_that!(view.software(after(1), "a"), none());
    expect_that!(view.backup(after(1), "s", "m/x", "b"), none());
    view.set_software([("a".to_owned(), Some(software("v2")))]);
    expect_that!(choose(&view, after(5), "v1", &["b"]), none());
    expect_that!(choose(&view, after(5), "v2", &[]), some(eq("a")));
}

/// Guards against a copy of a KV cache at a target of another software version.
#[gtest]
fn copies_are_kept_and_used_at_the_same_software_version() {
    let mut view = view(&[("a", "v1"), ("b", "v2"), ("c", "v1"), ("d", "")]);
    let backup = view.backup(NOW, "s", "m/x", "a").unwrap();
    expect_that!(backup.target, eq("c"));
    expect_that!(view.backup(NOW, "s", "m/x", "b"), none());
    expect_that!(view.backup(NOW, "s", "m/x", "d"), none());
    expect_that!(view.check_restore(NOW, "m/x", &backup), ok(anything()));
    view.set_software([("c".to_owned(), Some(software("v2")))]);
    expect_that!(view.check_restore(NOW, "m/x", &backup), err(anything()));
}

/// Guards against a target that is sent the rest of streams before its version is told.
#[gtest]
fn a_target_whose_version_was_never_told_is_asked_for() {
    let mut view = view(&[("a", "v1")]);
    let zones = ["za".to_owned()];
    expect_that!(view.lacks_software(&zones), eq(false));
    view.change_targets(NOW, vec![target("b")], &[]);
    expect_that!(view.lacks_software(&zones), eq(true));
    expect_that!(view.awaits_software("s"), eq(true));
    expect_that!(choose(&view, NOW, "v1", &["a"]), none());
    view.change_targets(NOW, Vec::new(), &["a".to_owned()]);
    view.expire_software(NOW);
    view.change_targets(NOW, vec![target("a")], &[]);
    expect_that!(view.software(NOW, "a"), none());
}

fn check_only((listed, expected): (&[&str], Option<&str>)) {
    let listed: Vec<_> = listed.iter().map(|raw| raw.parse().ok()).collect();
    let only = only_version(&listed).map(SoftwareVersion::as_str);
    assert_that!(only, eq(expected));
}

base::cases! {
    /// Guards against a version that is taken for the only one beside others, or beside
    /// targets whose version isn't known.
    one_version_is_the_only_one: check_only => {
        one: (&["v1"], Some("v1")),
        the_same: (&["v1", "v1", "v1"], Some("v1")),
        two: (&["v1", "v2"], None),
        one_unknown: (&["v1", ""], None),
        all_unknown: (&["", ""], None),
        none: (&[], None),
    }
}

/// Guards against a version that is forgotten while streams that it began may live.
#[gtest]
fn versions_are_remembered_for_as_long_as_streams_live() {
    let mut listed = ListedSoftware::default();
    listed.note(NOW, "s", Some(&software("v1")));
    listed.note(after(40), "s", Some(&software("v2")));
    listed.note(after(40), "other", None);
    let both = [Some(software("v1")), Some(software("v2"))];
    expect_that!(listed.of(after(59), "s"), eq(&both));
    expect_that!(listed.of(after(60), "s"), eq(&both[1..]));
    listed.expire(after(100));
    expect_that!(listed.of(after(60), "s"), is_empty());
}

/// Guards against streams that are doubted though their target ran the same, or long before the
/// list could have been late.
#[gtest]
fn streams_are_doubted_where_the_list_may_have_been_late() {
    let mut recent = RecentStreams::default();
    recent.note(NOW, "a", key(1), &origin("v1"));
    recent.note(after(4), "a", key(2), &origin("v1"));
    recent.note(after(4), "b", key(3), &origin("v1"));
    expect_that!(recent.doubted(after(4), "a", &software("v1")), is_empty());
    let doubted = recent.doubted(after(6), "a", &software("v2"));
    expect_that!(doubted, eq(&vec![(key(2), origin("v2"))]));
    expect_that!(recent.doubted(after(9), "a", &software("v2")), is_empty());
}
