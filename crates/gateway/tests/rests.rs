//! Every way in which a request may go to a target that has asked for rest, or says that it
//! leaves.

use std::{collections::BTreeSet, time::Duration};

use base::{Seed, SoftwareVersion, Time};
use gateway::{
    hedge::Wanted,
    view::{Choice, Second, View},
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

/// Returns when both targets started, `b` always at the same time.
fn starts(born: u64) -> [(String, u64); 2] {
    [("a".to_owned(), born), ("b".to_owned(), 1)]
}

/// Guards against a target that has started again unseen, as nothing was sent there, and is passed
/// over for minutes for what the process before it said.
#[gtest]
fn what_a_target_said_ends_as_a_later_start_is_listed() {
    let mut view = view();
    view.set_starts(NOW, starts(5));
    view.says_leaving(NOW, "a");
    let now = NOW + BOUND;
    for born in [5, 4, 0] {
        assert_that!(view.set_starts(now, starts(born)), is_empty());
        assert_that!(view.may_write(now, "a"), eq(false));
    }
    let anew = view.set_starts(now, starts(6));
    assert_that!(anew, elements_are![eq("a")]);
    assert_that!(view.may_write(now, "a"), eq(true));
}

/// Guards against all that waits arriving at once at a target that has started again: the process
/// there may have asked for rest itself before its start was listed.
#[gtest]
fn a_target_that_rested_and_starts_again_gets_few_requests_first() {
    let mut view = view();
    view.set_starts(NOW, starts(5));
    let minutes = Duration::from_secs(120);
    view.rests().asked(NOW, &"a".to_owned(), minutes);
    view.set_starts(NOW, starts(6));
    assert_that!(view.may_write(NOW, "a"), eq(true));
    view.rests().begin(NOW, "a");
    assert_that!(view.rests().wait(NOW, "a"), some(anything()));
    view.rests().asked(NOW, &"a".to_owned(), minutes);
    assert_that!(view.may_write(NOW + REST, "a"), eq(false));
}
