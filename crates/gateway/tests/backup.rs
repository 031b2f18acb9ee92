//! Choice of targets for copies of KV caches, and when the copies may be used.

use std::time::Duration;

use base::{Seed, SoftwareVersion, Time};
use gateway::view::{Backup, Origin, Unused, View};
use googletest::prelude::*;
use wire::fleet::{Resident, Target, Weights};

const NOW: Time = Time(1_000_000);

/// What a target holds: version of the weights of `m` and of the adapter `m/x`; zero
/// means unknown.
type Held = (u32, u32);

const ORIGIN: Origin = Origin {
    weights: 4,
    version: 2,
};

fn target(id: &str, (weights, adapter): Held) -> Target {
    let weights = (weights > 0).then(|| Weights {
        model: "m".to_owned(),
        version: weights,
    });
    let residents = [("m", 0), ("m/x", adapter)].map(|(adapter, version)| Resident {
        adapter: adapter.to_owned(),
        version,
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
        weights: weights.into_iter().collect(),
        residents: residents.into(),
        limit: None,
    }
}

fn view(held: &[(&str, Held)]) -> View {
    let mut view = View::new("za", Seed(1));
    let targets = held.iter().map(|(id, held)| target(id, *held));
    view.set_targets(NOW, &["za".to_owned()], targets.collect());
    set_software(&mut view, held.iter().map(|(id, _)| *id));
    view
}

/// Sets the same software at all targets.
fn set_software<'a>(view: &mut View, ids: impl Iterator<Item = &'a str>) {
    let software: SoftwareVersion = "v1".parse().unwrap();
    view.set_software(ids.map(|id| (id.to_owned(), Some(software.clone()))));
}

fn kept(held: (Held, Held), expected: Option<u32>) {
    let view = view(&[("a", held.0), ("b", held.1)]);
    let found = view.backup(NOW, "s", "m/x", "a");
    assert_that!(found.as_ref().map(|b| b.origin.weights), eq(expected));
    assert_that!(found.is_none_or(|b| b.target == "b"), eq(true));
}

fn check_kept((held, expected): ((Held, Held), Option<u32>)) {
    kept(held, expected);
}

base::cases! {
    /// Guards against a copy at a target with other weights or another version, where it
    /// is useless.
    memory_is_kept_where_the_same_would_be_made: check_kept => {
        alike: (((4, 2), (4, 2)), Some(4)),
        other_weights: (((4, 2), (1, 2)), None),
        other_version: (((4, 2), (4, 7)), None),
        weights_not_known_there: (((4, 2), (0, 2)), None),
        weights_not_known_here: (((0, 2), (4, 2)), None),
        neither_known: (((0, 2), (0, 2)), None),
        version_not_known: (((4, 0), (4, 0)), None),
    }
}

/// A copy is kept in another zone rather than nowhere, and not at a nearer engine without
/// the adapter.
#[gtest]
fn a_second_holder_keeps_a_copy_of_the_kv_cache() {
    let mut targets: Vec<_> = ["a", "b", "c"].map(|id| target(id, (4, 2))).into();
    targets[1].zone = "zb".to_owned();
    targets[2].residents.pop();
    let mut view = View::new("za", Seed(1));
    view.set_targets(NOW, &["za".to_owned(), "zb".to_owned()], targets);
    set_software(&mut view, ["a", "b", "c"].into_iter());
    let kept = |adapter| view.backup(NOW, "s", adapter, "a").map(|b| b.target);
    assert_that!(kept("m/x"), some(eq("b")));
    assert_that!(kept("m/y"), none());
}

/// Guards against a stream that is cut because the target of its copy has refused another
/// request for the adapter a moment ago.
#[gtest]
fn a_busy_target_still_takes_a_continued_stream() {
    let mut view = view(&[("a", (4, 2)), ("b", (4, 2))]);
    let backup = view.backup(NOW, "s", "m/x", "a").unwrap();
    view.adapter_not_ready(NOW, "b", "m/x", Duration::from_millis(30));
    assert_that!(view.check_restore(NOW, "m/x", &backup), eq(Ok(())));
}

/// The least loaded engine has other weights and is not chosen.
#[gtest]
fn another_holder_of_the_same_is_found_among_many() {
    let held = [("a", (4, 2)), ("b", (1, 2)), ("c", (4, 2)), ("d", (4, 3))];
    let mut view = view(&held);
    view.begin("c", "m/x", 100);
    let backup = view.backup(NOW, "s", "m/x", "a");
    assert_that!(backup.map(|b| b.target), some(eq("c")));
    assert_that!(view.backup(NOW, "s", "m/y", "a"), none());
}

/// For the base model itself only the version of its weights counts.
#[gtest]
fn streams_of_the_base_model_have_its_weights_as_version() {
    let view = view(&[("a", (4, 2)), ("b", (4, 9))]);
    let backup = view.backup(NOW, "s", "m", "a").unwrap();
    assert_that!((backup.origin.weights, backup.origin.version), eq((4, 4)));
}

fn check_restores((held, expected): (Option<Held>, std::result::Result<(), Unused>)) {
    let targets: Vec<_> = held.into_iter().map(|held| ("b", held)).collect();
    let backup = Backup {
        target: "b".to_owned(),
        origin: ORIGIN,
        software: "v1".parse().unwrap(),
    };
    assert_that!(
        view(&targets).check_restore(NOW, "m/x", &backup),
        eq(expected)
    );
}

base::cases! {
    /// Guards against use of a copy whose engine has changed weights or version since the
    /// stream started.
    a_copy_is_used_only_where_nothing_has_changed: check_restores => {
        as_it_was: (Some((4, 2)), Ok(())),
        restarted_with_other_weights: (Some((7, 2)), Err(Unused::Weights)),
        restarted_and_not_told_yet: (Some((0, 2)), Err(Unused::Weights)),
        adapter_replaced: (Some((4, 3)), Err(Unused::Version)),
        gone: (None, Err(Unused::Gone)),
    }
}

/// Guards against a stream that continues on an old version of its adapter seconds after
/// a newer one was acknowledged.
#[gtest]
fn a_stream_continues_on_an_old_version_for_three_seconds_only() {
    let mut view = view(&[("a", (4, 2)), ("b", (4, 2))]);
    let backup = view.backup(NOW, "s", "m/x", "a").unwrap();
    let at = |ms| NOW + Duration::from_millis(ms);
    view.set_versions(at(1_000), [("m/x".to_owned(), 2)]);
    assert_that!(view.check_restore(at(9_000), "m/x", &backup), eq(Ok(())));
    view.set_versions(at(10_000), [("m/x".to_owned(), 3)]);
    assert_that!(view.check_restore(at(12_900), "m/x", &backup), eq(Ok(())));
    view.set_versions(at(12_950), [("m/x".to_owned(), 3)]);
    let later = view.check_restore(at(13_000), "m/x", &backup);
    assert_that!(later, eq(Err(Unused::Outdated)));
}

/// Guards against a stream that continues on a version for as long as newer ones are set
/// every few seconds: each one started the time anew.
#[gtest]
fn versions_in_quick_succession_dont_prolong_an_old_one() {
    let mut view = view(&[("a", (4, 2)), ("b", (4, 2))]);
    let backup = view.backup(NOW, "s", "m/x", "a").unwrap();
    let at = |ms| NOW + Duration::from_millis(ms);
    view.set_versions(at(1_000), [("m/x".to_owned(), 2)]);
    for (version, ms) in [(3, 5_600), (4, 7_500), (5, 9_000), (6, 10_900)] {
        view.set_versions(at(ms), [("m/x".to_owned(), version)]);
        let restored = view.check_restore(at(ms), "m/x", &backup);
        let outdated = ms - 5_600 >= 3_000;
        assert_that!(restored.is_err(), eq(outdated), "version {version}");
    }
    let later = view.check_restore(at(11_600), "m/x", &backup);
    assert_that!(later, eq(Err(Unused::Outdated)));
}

/// Guards against copies of KV caches at a target that takes no run which continues there.
#[gtest]
fn a_limited_target_keeps_no_copy() {
    let mut view = view(&[("a", (4, 2)), ("b", (4, 2))]);
    assert_that!(view.backup(NOW, "s", "m/x", "a"), some(anything()));
    let limit = "2".parse().unwrap();
    view.limits().seen(NOW, "b", Some(limit));
    assert_that!(view.backup(NOW, "s", "m/x", "a"), none());
}
