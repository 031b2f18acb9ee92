//! Editions, versions of adapters and zone owners, on the state machine alone.

use control::{Command, Outcome, PublishOutcome, State, What};
use googletest::prelude::*;
use wire::fleet::Edition;

fn apply(state: &mut State, index: u64, what: What) -> Outcome {
    let command = Command {
        at: 0,
        wall: 0,
        what,
    };
    state.apply(index, &command)
}

fn publish(state: &mut State, number: u64, body: &str) -> Outcome {
    let body = body.to_owned();
    apply(state, number, What::Publish(Edition { number, body }))
}

fn revise(state: &mut State, version: u32) -> Outcome {
    let adapter = "m/a".to_owned();
    apply(state, 1, What::Revise { adapter, version })
}

fn body(state: &State) -> Option<&str> {
    Some(state.editions().newest()?.body.as_str())
}

/// Two operators send different content under one number, and an older edition is resent
/// because its reply was lost. In any order, the highest number stays in force with the
/// content that came first.
#[gtest]
fn the_highest_number_wins_and_stays() {
    let mut state = State::default();
    let _mark = base::ExpectedMark::new("edition_not_higher");
    assert_that!(
        publish(&mut state, 3, "a"),
        eq(&Outcome::Published(PublishOutcome::InForce))
    );
    assert_that!(
        publish(&mut state, 7, "b"),
        eq(&Outcome::Published(PublishOutcome::InForce))
    );
    assert_that!(
        publish(&mut state, 7, "c"),
        eq(&Outcome::Published(PublishOutcome::Before))
    );
    assert_that!(
        publish(&mut state, 3, "a"),
        eq(&Outcome::Published(PublishOutcome::Before))
    );
    assert_that!(body(&state), some(eq("b")));
}

#[gtest]
fn a_version_of_an_adapter_never_goes_back() {
    let mut state = State::default();
    assert_that!(
        revise(&mut state, 2),
        eq(&Outcome::Published(PublishOutcome::InForce))
    );
    assert_that!(
        revise(&mut state, 1),
        eq(&Outcome::Published(PublishOutcome::Before))
    );
    assert_that!(state.editions().versions().get("m/a"), some(eq(&2)));
}

#[gtest]
fn a_snapshot_keeps_editions_versions_and_zone_owners() {
    let mut state = State::default();
    publish(&mut state, 7, "b");
    revise(&mut state, 2);
    let own = What::OwnZone {
        zone: "za".to_owned(),
        instance: "k1".parse().unwrap(),
    };
    apply(&mut state, 12, own);
    let restored = State::restore(&state.save()).unwrap();
    assert_that!(restored, eq(&state));
    let own: Vec<_> = restored.zones().of(&"k1".parse().unwrap()).collect();
    assert_that!(own, eq(&vec![("za", 12)]));
}
