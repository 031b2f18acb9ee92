//! Every way in which a request may go to a target that has asked for rest, or says that it
//! leaves.

use std::{collections::BTreeSet, time::Duration};

use base::{Seed, SoftwareVersion, Time};
use gateway::{
    hedge::Wanted,
    view::{Choice, ListedStart, Second, View},
};
use googletest::prelude::*;
use wire::fleet::{Resident, Target, Weights};

const NOW: Time = Time(60_000_000);
const SERVICE: &str = "s";
const ADAPTER: &str = "m/x";
const REST: Duration = Duration::from_secs(3);
const BOUND: Duration = Duration::from_secs(3);

fn target(id: &str, port: u16) -> Target {
    let held = |adapter: &str| Resident {
        adapter: adapter.to_owned(),
        version: 1,
        ready_in: Duration::ZERO,
    };
    Target {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: format!("127.0.0.{port}:1"),
        zone: "za".to_owned(),
        slots: 10,
        ready: true,
        slowness: 0,
        weights: vec![Weights {
            model: "m".to_owned(),
            version: 1,
        }],
        residents: vec![held("m"), held(ADAPTER)],
        limit: None,
    }
}

fn software() -> SoftwareVersion {
    "v1".parse().unwrap()
}

/// Returns the view of two targets, `a` and `b`, that are alike.
fn view() -> View {
    let mut view = View::new("za", Seed(1));
    view.set_leaving_bound(BOUND);
    let targets = vec![target("a", 1), target("b", 2)];
    view.set_targets(NOW, &["za".to_owned()], targets);
    view.set_software(["a", "b"].map(|id| (id.to_owned(), Some(software()))));
    view
}

/// A way in which a request may go to `b`; returns whether it does.
type Way = fn(&mut View, Time) -> bool;

fn chosen(view: &View, now: Time, adapter: &str, wanted: Option<&SoftwareVersion>) -> bool {
    let tried = BTreeSet::from(["a".to_owned()]);
    let choice = view.choose(now, SERVICE, adapter, &tried, wanted);
    choice == Choice::Send("b".to_owned())
}

fn first(view: &mut View, now: Time) -> bool {
    chosen(view, now, ADAPTER, None)
}

fn resumed(view: &mut View, now: Time) -> bool {
    chosen(view, now, ADAPTER, Some(&software()))
}

fn hedged(view: &mut View, now: Time) -> bool {
    let none = BTreeSet::new();
    let second = Second {
        service: SERVICE,
        adapter: ADAPTER,
        first: "a",
        tried: &none,
        software: None,
    };
    let wanted = Wanted {
        typical: Duration::from_millis(10),
        within: Duration::from_secs(1),
    };
    view.second(now, &second, wanted).is_some()
}

fn copied(view: &mut View, now: Time) -> bool {
    view.backup(now, SERVICE, ADAPTER, "a").is_some()
}

fn restored(view: &mut View, now: Time) -> bool {
    let mut before = self::view();
    let backup = before.backup(now, SERVICE, ADAPTER, "a");
    before.rests().forget("b");
    view.check_restore(now, ADAPTER, &backup.unwrap()).is_ok()
}

fn written(view: &mut View, now: Time) -> bool {
    view.may_write(now, "b")
}

fn check(way: Way) {
    let fresh = || (view(), view());
    let (mut calm, mut resting) = fresh();
    assert_that!(way(&mut calm, NOW), eq(true));
    resting.rests().asked(NOW, &"b".to_owned(), REST);
    for ms in [0, 1_500, 2_999] {
        let now = NOW + Duration::from_millis(ms);
        assert_that!(way(&mut resting, now), eq(false), "{ms} ms");
    }
    assert_that!(way(&mut resting, NOW + 2 * REST), eq(true));
    let (mut leaving, _) = fresh();
    leaving.says_leaving(NOW, "b");
    // A list that knows nothing of it.
    leaving.change_targets(NOW, vec![target("b", 2)], &[]);
    let later = NOW + 2 * BOUND;
    let lone: bool = way(&mut leaving, later);
    assert_that!(lone, eq(false));
}

base::cases! {
    /// Guards against a way to a target that asks nobody whether it rests or leaves.
    no_way_leads_to_a_target_that_rests_or_leaves: check => {
        first_send: first,
        resumed_stream: resumed,
        hedge: hedged,
        copy_of_cache: copied,
        run_from_its_copy: restored,
        bytes_written: written,
    }
}

/// Guards against requests without adapter that go to a target that rests, and against callers
/// who aren't told for how long all rest.
#[gtest]
fn a_service_whose_targets_all_rest_says_for_how_long() {
    let mut view = view();
    for (id, rest) in [("a", 2 * REST), ("b", REST)] {
        view.rests().asked(NOW, &id.to_owned(), rest);
    }
    for adapter in ["", ADAPTER] {
        let choice = view.choose(NOW, SERVICE, adapter, &BTreeSet::new(), None);
        let Choice::Resting(target, wait) = choice else {
            panic!("{choice:?}");
        };
        assert_that!(target, eq("b"));
        assert_that!(wait, all!(ge(REST), le(REST + Duration::from_millis(400))));
    }
}

/// Guards against an adapter that nobody has while its holders rest for long and others have
/// room.
#[gtest]
fn an_adapter_whose_holders_rest_is_missing_while_others_have_room() {
    let mut view = view();
    let mut other = target("c", 3);
    other.residents.clear();
    view.change_targets(NOW, vec![other], &[]);
    let choose = |view: &View| view.choose(NOW, SERVICE, ADAPTER, &BTreeSet::new(), None);
    for id in ["a", "b"] {
        view.rests()
            .asked(NOW, &id.to_owned(), Duration::from_millis(150));
    }
    assert_that!(
        choose(&view),
        matches_pattern!(Choice::Resting(anything(), anything()))
    );
    for id in ["a", "b"] {
        view.rests().asked(NOW, &id.to_owned(), REST);
    }
    assert_that!(choose(&view), eq(&Choice::Missing));
    assert_that!(view.has_resting_holder(NOW, ADAPTER), eq(true));
}

/// Guards against a service that stops as its last targets say that they leave, and against
/// requests to them after the bound.
#[gtest]
fn the_last_targets_of_a_service_serve_on_for_a_while() {
    let mut view = view();
    let choose = |view: &View, now| view.choose(now, SERVICE, "", &BTreeSet::new(), None);
    view.says_leaving(NOW, "a");
    assert_that!(choose(&view, NOW), eq(&Choice::Send("b".to_owned())));
    view.says_leaving(NOW, "b");
    assert_that!(
        choose(&view, NOW),
        matches_pattern!(Choice::Send(anything()))
    );
    assert_that!(choose(&view, NOW + BOUND), eq(&Choice::NoTarget));
}

/// Guards against a target that has started again and is passed over for what the process before
/// it said.
#[gtest]
fn what_a_target_said_ends_with_its_process() {
    let mut view = view();
    view.says_leaving(NOW, "a");
    view.rests().asked(NOW, &"a".to_owned(), REST);
    view.ended(NOW, "a");
    assert_that!(view.may_write(NOW, "a"), eq(true));
    view.says_leaving(NOW, "a");
    view.change_targets(NOW, Vec::new(), &["a".to_owned()]);
    view.expire_limits(NOW);
    view.change_targets(NOW, vec![target("a", 1)], &[]);
    assert_that!(view.may_write(NOW, "a"), eq(true));
}

/// Returns when `a` started, by a list that is as of `as_of`.
fn start(born: u64, as_of: Time) -> [ListedStart; 1] {
    let target = "a".to_owned();
    [ListedStart {
        target,
        born,
        as_of,
    }]
}

/// Sets when `a` started, where it is, and whether it takes requests, by a list of `now`.
/// Returns whether it has started anew.
fn list(view: &mut View, now: Time, (born, addr, ready): Listed) -> bool {
    let listed = Target {
        ready,
        ..target("a", addr)
    };
    view.change_targets(now, vec![listed], &[]);
    !view.set_starts(now, start(born, now)).is_empty()
}

/// What lists say of `a`: when it started, its address, and whether it takes requests.
type Listed = (u64, u16, bool);

/// Checks what becomes of the word of `a` that it leaves. `before` is listed as it says it, and
/// `after` once the time `later` has passed; `anew` says whether it is another process then.
fn check_next((before, after, later, anew): (Listed, &[Listed], Duration, bool)) {
    let mut view = view();
    list(&mut view, NOW, before);
    view.says_leaving(NOW, "a");
    view.rests().asked(NOW, &"a".to_owned(), 100 * BOUND);
    let mut now = NOW;
    let mut ended = false;
    for listed in after {
        now = now + later;
        ended |= list(&mut view, now, *listed);
    }
    assert_that!(ended, eq(anew));
    assert_that!(view.may_write(now, "a"), eq(anew));
}

/// Longer than a list may lag.
const LATER: Duration = BOUND.saturating_mul(2);

/// Time between two lists that lag differently.
const SOON: Duration = Duration::from_millis(100);

base::cases! {
    /// Guards against a target that has started again unseen, as nothing was sent there, and is
    /// passed over for minutes for what the process before it said.
    what_a_target_said_ends_as_another_start_is_listed: check_next => {
        the_same: ((5, 1, true), &[(5, 1, true)], LATER, false),
        later: ((5, 1, true), &[(6, 1, true)], SOON, true),
        later_elsewhere: ((5, 1, true), &[(6, 3, true)], SOON, true),
        clock_set_back: ((5, 1, true), &[(4, 1, true)], LATER, true),
        same_time_elsewhere: ((5, 1, true), &[(5, 3, true)], LATER, true),
        not_said: ((5, 1, true), &[(0, 1, true)], LATER, false),
        not_said_elsewhere: ((5, 1, true), &[(0, 3, true)], LATER, true),
        never_said: ((0, 1, true), &[(0, 1, false), (0, 1, true)], LATER, true),
        said_from_now_on: ((0, 1, true), &[(5, 1, true)], LATER, false),
        drains: ((5, 1, true), &[(5, 1, false)], LATER, false),
        drains_by_a_list_that_lags: ((5, 1, true), &[(5, 1, false), (5, 1, true)], SOON, false),
    }
}

/// Guards against ending what a new process has said itself, as lists that lag name the one before
/// it again: it would get requests after it has said that it leaves.
#[gtest]
fn a_list_that_lags_ends_nothing_that_a_later_process_said() {
    let mut view = view();
    list(&mut view, NOW, (5, 1, true));
    let restarted = NOW + LATER;
    assert_that!(list(&mut view, restarted, (6, 1, true)), eq(true));
    view.says_leaving(restarted, "a");
    let now = restarted + SOON;
    for born in [5, 6, 5, 6] {
        assert_that!(view.set_starts(now, start(born, now)), is_empty());
        assert_that!(view.has_said_leaving(now, "a"), eq(true));
    }
}

/// Guards against taking the process before for a new one, as a list that lags names it again
/// after the clock was set back: its start is the later one.
#[gtest]
fn a_list_that_lags_names_no_new_process_after_a_clock_was_set_back() {
    let mut view = view();
    list(&mut view, NOW, (6, 1, true));
    let restarted = NOW + LATER;
    assert_that!(list(&mut view, restarted, (4, 1, true)), eq(true));
    view.says_leaving(restarted, "a");
    let now = restarted + SOON;
    assert_that!(view.set_starts(now, start(6, now)), is_empty());
    assert_that!(view.has_said_leaving(now, "a"), eq(true));
}

/// Guards against ending what a new process has said itself before a list names it.
#[gtest]
fn a_word_later_than_the_list_stands() {
    let mut view = view();
    list(&mut view, NOW, (5, 1, true));
    view.says_leaving(NOW + LATER, "a");
    view.rests()
        .asked(NOW + LATER, &"a".to_owned(), 100 * BOUND);
    let now = NOW + 2 * LATER;
    view.set_starts(now, start(6, NOW + SOON));
    assert_that!(view.has_said_leaving(now, "a"), eq(true));
    assert_that!(view.rests().is_resting(now, "a"), eq(true));
}

/// Guards against all that waits arriving at once at a target that has started again: the process
/// there may have asked for rest itself before its start was listed.
#[gtest]
fn a_target_that_rested_and_starts_again_gets_few_requests_first() {
    let mut view = view();
    view.set_starts(NOW, start(5, NOW));
    let minutes = Duration::from_secs(120);
    view.rests().asked(NOW, &"a".to_owned(), minutes);
    view.set_starts(NOW, start(6, NOW));
    assert_that!(view.may_write(NOW, "a"), eq(true));
    view.rests().begin(NOW, "a");
    assert_that!(view.rests().wait(NOW, "a"), some(anything()));
    view.rests().asked(NOW, &"a".to_owned(), minutes);
    assert_that!(view.may_write(NOW + REST, "a"), eq(false));
}
