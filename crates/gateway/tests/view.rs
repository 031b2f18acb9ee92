//! Choice of a target by an entry instance.

use std::{collections::BTreeSet, time::Duration};

use base::{Seed, Time};
use gateway::view::{Choice, View};
use googletest::prelude::*;
use wire::{
    fleet::{Resident, Target},
    limit::Permit,
};

const NOW: Time = Time(1_000_000);

fn target(id: &str, zone: &str, adapters: &[(&str, u32, u64)]) -> Target {
    let residents = adapters.iter().map(|(adapter, version, ms)| Resident {
        adapter: (*adapter).to_owned(),
        version: *version,
        ready_in: Duration::from_millis(*ms),
    });
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: format!("{id}:1"),
        zone: zone.to_owned(),
        slots: 10,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: residents.collect(),
        limit: None,
    }
}

fn view(targets: Vec<Target>) -> View {
    let mut view = View::new("za", Seed(1));
    view.set_targets(NOW, &["za".to_owned(), "zb".to_owned()], targets);
    view
}

fn choose(view: &View, adapter: &str) -> Choice {
    view.choose(NOW, "s", adapter, &BTreeSet::new(), None)
}

fn send(id: &str) -> Choice {
    Choice::Send(id.to_owned())
}

#[gtest]
fn the_own_zone_goes_first_until_it_is_fuller() {
    let mut view = view(vec![target("a", "za", &[]), target("b", "zb", &[])]);
    assert_that!(choose(&view, ""), eq(&send("a")));
    view.begin("a", "", 0);
    assert_that!(choose(&view, ""), eq(&send("a")));
    view.begin("a", "", 0);
    assert_that!(choose(&view, ""), eq(&send("b")));
    view.end("a", "");
    view.set_other_running(&["za".to_owned()], [("a".to_owned(), 5)]);
    assert_that!(choose(&view, ""), eq(&send("b")));
}

#[gtest]
fn only_a_holder_of_the_newest_version_is_chosen() {
    let mut view = view(vec![
        target("a", "za", &[("m/x", 1, 0)]),
        target("b", "zb", &[("m/x", 2, 0)]),
    ]);
    assert_that!(choose(&view, "m/x"), eq(&send("a")));
    view.set_versions(NOW, [("m/x".to_owned(), 2)]);
    assert_that!(choose(&view, "m/x"), eq(&send("b")));
    view.set_versions(NOW, [("m/x".to_owned(), 1)]);
    assert_that!(choose(&view, "m/x"), eq(&send("b")));
    assert_that!(choose(&view, "m/y"), eq(&Choice::Missing));
}

#[gtest]
fn an_adapter_on_its_way_is_waited_for() {
    let view = view(vec![target("a", "za", &[("m/x", 1, 250)])]);
    let wait = Duration::from_millis(250);
    assert_that!(choose(&view, "m/x"), eq(&Choice::Wait(wait)));
}

/// The only holder of an adapter crashes. It is listed for seconds more and refuses
/// connections within a millisecond: six requests in 20 ms went to it and none was
/// served, although another engine could have loaded the adapter.
#[gtest]
fn a_holder_out_of_reach_counts_as_none() {
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 0)])]);
    view.unreachable(NOW, "a");
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
    assert_that!(view.failing(NOW), eq(&vec!["a".to_owned()]));
    let later = NOW + Duration::from_secs(2);
    let choice = view.choose(later, "s", "m/x", &BTreeSet::new(), None);
    assert_that!(choice, eq(&send("a")));
}

/// Guards against an instance that was cut off from all targets, and avoids them when it
/// reaches them again.
#[gtest]
fn failures_of_a_cut_are_forgotten() {
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 0)])]);
    view.unreachable(NOW, "a");
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
    view.forgive();
    assert_that!(choose(&view, "m/x"), eq(&send("a")));
    assert_that!(view.failing(NOW), is_empty());
}

/// A target executes its requests and loses every answer. It counted as unreachable, so
/// the adapters it holds were loaded again elsewhere.
#[gtest]
fn a_target_that_breaks_off_is_still_a_holder() {
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 0)])]);
    view.answer_lost(NOW, "a");
    assert_that!(choose(&view, "m/x"), eq(&send("a")));
    assert_that!(view.failing(NOW), is_empty());
}

/// A target fails half of its requests while its health check succeeds. It stays in the
/// list, and requests kept failing there.
#[gtest]
fn a_target_that_fails_often_is_avoided_and_tried_again() {
    let mut view = view(vec![target("a", "za", &[]), target("b", "zb", &[])]);
    for good in [false, true, false, false] {
        view.outcome(NOW, "a", good);
    }
    assert_that!(choose(&view, ""), eq(&send("b")));
    let later = NOW + Duration::from_secs(12);
    let choice = view.choose(later, "s", "", &BTreeSet::new(), None);
    assert_that!(choice, eq(&send("a")));
}

/// Long prompts for a busy adapter are sent to one engine together. It reads them between
/// the decoding steps of its running streams, which stalled for over 300 ms.
#[gtest]
fn unread_prompts_count_as_load() {
    let held = [("m/x", 1, 0)];
    let mut view = view(vec![target("a", "za", &held), target("b", "zb", &held)]);
    view.begin("a", "m/x", 4_000);
    assert_that!(choose(&view, "m/x"), eq(&send("b")));
    view.read("a", 4_000);
    assert_that!(choose(&view, "m/x"), eq(&send("a")));
}

/// The owner of one zone reports its targets; those of the other zone stay as reported by
/// their own owner, and a request that still runs keeps its count.
#[gtest]
fn updates_of_one_zone_leave_the_others_unchanged() {
    let mut view = view(vec![target("a", "za", &[]), target("b", "zb", &[])]);
    view.begin("a", "", 0);
    view.set_targets(NOW, &["za".to_owned()], Vec::new());
    assert_that!(choose(&view, ""), eq(&send("b")));
    assert_that!(view.running(&["za".to_owned()]).len(), eq(1));
    view.end("a", "");
    view.set_targets(NOW, &["za".to_owned()], Vec::new());
    assert_that!(view.running(&["za".to_owned()]), is_empty());
}

/// A load takes longer than announced, and the engine refuses the first request. The
/// adapter was taken for evicted and asked for again, and the request was sent again at
/// once, until the retry budget was exhausted. It must count as loading, and be waited
/// for.
#[gtest]
fn an_adapter_that_is_late_is_still_on_its_way() {
    let _mark = base::ExpectedMark::new("sent_too_early");
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 250)])]);
    let due = NOW + Duration::from_millis(250);
    view.adapter_missing(due, "a", "m/x");
    let choice = view.choose(due, "s", "m/x", &BTreeSet::new(), None);
    assert_that!(choice, matches_pattern!(Choice::Wait(gt(&Duration::ZERO))));
    let firsts = view.take_firsts(&["za".to_owned()]);
    assert_that!(firsts.len(), eq(1));
    assert_that!(firsts[0].held, eq(false));
    view.answer_started("a", "m/x");
    assert_that!(view.take_firsts(&["za".to_owned()]), is_empty());
}

/// An adapter that was usable is evicted, and its engine refuses a request. No load is in
/// progress; it has to be asked for at once.
#[gtest]
fn an_adapter_that_was_there_and_is_refused_is_missing() {
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 0)])]);
    view.adapter_missing(NOW, "a", "m/x");
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
}

#[gtest]
fn the_first_request_after_a_load_is_told_once() {
    let mut view = view(vec![target("a", "za", &[("m/x", 1, 250)])]);
    view.answer_started("a", "m/x");
    view.answer_started("a", "m/x");
    let firsts = view.take_firsts(&["za".to_owned()]);
    assert_that!(firsts.len(), eq(1));
    assert_that!(firsts[0].held, eq(true));
}

/// One adapter gets a fifth of all requests. Its only holder had a backlog of three
/// seconds of prompts while other engines were idle, and each caller was served late.
#[gtest]
fn a_copy_is_asked_for_once_all_holders_are_behind() {
    let load = Duration::from_millis(250);
    let crowded = |view: &View| {
        let zone = view.zone_for_copy(NOW, "s", "m/x", load);
        zone.map(str::to_owned)
    };
    let mut view = view(vec![
        target("a", "za", &[("m/x", 1, 0)]),
        target("b", "za", &[("m/x", 1, 0)]),
        target("c", "zb", &[]),
    ]);
    view.begin("a", "m/x", 20_000);
    assert_that!(crowded(&view), none());
    view.set_unread(&["za".to_owned()], [("b".to_owned(), 20_000)]);
    assert_that!(crowded(&view), some(eq("zb")));
    // The other zone has no suitable target either.
    view.set_unread(&["zb".to_owned()], [("c".to_owned(), 20_000)]);
    assert_that!(crowded(&view), none());
}

/// Prompts that other instances have sent to a target count in the choice.
#[gtest]
fn unread_prompts_of_others_are_avoided() {
    let held = &[("m/x", 1, 0)];
    let mut view = view(vec![target("a", "za", held), target("b", "za", held)]);
    view.set_unread(&["za".to_owned()], [("a".to_owned(), 4_000)]);
    assert_that!(choose(&view, "m/x"), eq(&send("b")));
}

/// Engines that read twice as fast have a backlog only with twice as many tokens.
#[gtest]
fn how_fast_targets_read_is_learned() {
    let load = Duration::from_millis(250);
    let mut view = view(vec![
        target("a", "za", &[("m/x", 1, 0)]),
        target("b", "za", &[]),
    ]);
    view.begin("a", "m/x", 12_000);
    assert_that!(view.zone_for_copy(NOW, "s", "m/x", load), some(eq("za")));
    for _ in 0..200 {
        view.add_speed_sample("a", 6_000, Duration::from_millis(100));
    }
    assert_that!(view.zone_for_copy(NOW, "s", "m/x", load), none());
}

/// The zone owner's announced wait for an adapter whose load is not ordered yet is valid
/// until a newer one is due.
#[gtest]
fn the_announced_wait_for_a_missing_adapter_expires() {
    let mut view = view(vec![target("a", "za", &[])]);
    let wait = Duration::from_secs(2);
    view.set_waits(NOW, vec![("m/x".to_owned(), wait)]);
    let later = NOW + Duration::from_millis(300);
    assert_that!(view.expected(later, "m/x"), some(eq(NOW + wait)));
    assert_that!(view.expected(later, "m/y"), none());
    let late = NOW + Duration::from_millis(500);
    assert_that!(view.expected(late, "m/x"), none());
}

/// Only changed targets are sent. The others stay unchanged, and so do the counts of
/// requests running at those that changed or are gone.
#[gtest]
fn a_change_at_one_target_leaves_the_others() {
    let mut view = view(vec![
        target("a", "za", &[("m/x", 1, 0)]),
        target("b", "za", &[("m/y", 1, 0)]),
    ]);
    view.begin("a", "m/x", 0);
    view.change_targets(NOW, vec![target("a", "za", &[("m/z", 1, 0)])], &[]);
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
    assert_that!(choose(&view, "m/z"), eq(&send("a")));
    assert_that!(choose(&view, "m/y"), eq(&send("b")));
    assert_that!(view.running(&["za".to_owned()]).len(), eq(1));
    view.change_targets(NOW, Vec::new(), &["a".to_owned(), "b".to_owned()]);
    assert_that!(choose(&view, "m/z"), eq(&Choice::NoTarget));
    assert_that!(view.running(&["za".to_owned()]).len(), eq(1));
    view.end("a", "m/x");
    assert_that!(view.running(&["za".to_owned()]), is_empty());
}

/// An engine refuses a request for an adapter that it is said to hold. The adapter is
/// dropped from the view and has to be announced again, or no request would use it there
/// any more.
#[gtest]
fn a_target_that_lacks_an_announced_adapter_is_requested_again_once() {
    let mut view = view(vec![
        target("a", "za", &[("m/x", 1, 0)]),
        target("b", "zb", &[("m/x", 1, 0)]),
    ]);
    view.adapter_missing(NOW, "a", "m/x");
    view.adapter_missing(NOW, "b", "m/x");
    let own = ["za".to_owned()];
    assert_that!(view.take_stale(&own), eq(&vec!["a".to_owned()]));
    assert_that!(view.take_stale(&own), is_empty());
    assert_that!(
        view.take_stale(&["zb".to_owned()]),
        eq(&vec!["b".to_owned()])
    );
}

/// Returns a view of one target that names a limit, and of others that don't.
fn limited_view(targets: Vec<Target>) -> View {
    let mut view = view(targets);
    let limit = "2".parse().unwrap();
    view.limits().seen(NOW, "a", Some(limit));
    view
}

fn use_up(view: &mut View, id: &str) -> Duration {
    let again = Duration::from_millis(800);
    view.limits().permitted(NOW, id, Permit::Denied { again });
    again
}

/// Guards against requests that go to a target in need while another one has room.
#[gtest]
fn a_target_without_limit_goes_first() {
    let targets = vec![target("a", "za", &[]), target("b", "zb", &[])];
    let view = limited_view(targets);
    assert_that!(choose(&view, ""), eq(&send("b")));
}

/// Guards against requests that wait for a used up limit while another target has room.
#[gtest]
fn a_target_whose_limit_is_used_up_is_passed_over() {
    let targets = vec![target("a", "za", &[]), target("b", "za", &[])];
    let mut view = limited_view(targets);
    use_up(&mut view, "a");
    for _ in 0..9 {
        view.begin("b", "", 0);
    }
    assert_that!(choose(&view, ""), eq(&send("b")));
}

/// Guards against callers who aren't told when to come back, though no target has room.
#[gtest]
fn the_wait_for_a_limit_is_told() {
    let mut view = limited_view(vec![target("a", "za", &[("m/x", 0, 0)])]);
    assert_that!(choose(&view, "m/x"), eq(&send("a")));
    let again = use_up(&mut view, "a");
    let limited = Choice::Limited("a".to_owned(), again);
    assert_that!(choose(&view, "m/x"), eq(&limited));
    assert_that!(choose(&view, ""), eq(&limited));
    assert_that!(choose(&view, "m/y"), eq(&Choice::Missing));
}

/// Guards against an adapter that nobody loads elsewhere, as its only holder is limited.
#[gtest]
fn an_adapter_is_missing_if_its_holders_have_used_up_their_limits() {
    let targets = vec![target("a", "za", &[("m/x", 0, 0)]), target("b", "za", &[])];
    let mut view = limited_view(targets);
    use_up(&mut view, "a");
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
}

/// Guards against a target that is sent all that limited targets don't take, beyond its
/// slots.
#[gtest]
fn a_full_target_takes_nothing_over() {
    let targets = vec![target("a", "za", &[("m/x", 0, 0)]), target("b", "za", &[])];
    let mut view = limited_view(targets);
    let again = use_up(&mut view, "a");
    for _ in 0..8 {
        view.begin("b", "m/z", 0);
    }
    let limited = Choice::Limited("a".to_owned(), again);
    assert_that!(choose(&view, "m/x"), eq(&limited));
    view.end("b", "m/z");
    assert_that!(choose(&view, "m/x"), eq(&Choice::Missing));
}
