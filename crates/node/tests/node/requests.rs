//! Tests of the handling of requests by one node.

use std::time::Duration;

use base::{Failure, Fence, Refusal, TextVersion, Verdict};
use googletest::prelude::*;
use node::{Ending, Event, Input};
use wire::{
    call::{Call, ClaimOutcome, ClaimReply, Reply},
    engine::Resident,
};

use crate::world::{TEXT, World};

fn resident(raw: &str) -> Resident {
    raw.parse().unwrap()
}

/// Returns the failure of a request that ended with one.
fn failure(world: &World, ticket: base::Ticket) -> Option<Failure> {
    match world.ended.get(&ticket)? {
        Ending::Failed(failure) | Ending::Broken(failure) => Some(failure.clone()),
        _ => None,
    }
}

/// Guards against a growing set of deadlines: those of batch requests lie hours
/// ahead, and have to be removed when a request ends.
#[test]
fn a_request_that_is_over_leaves_nothing_behind() {
    base::covers!(deadline_forgotten);
    let mut world = World::serving();
    let ticket = world.arrive(1, "listing", None);
    world.input(Input::CallerGone(ticket));
    assert_that!(world.ended.contains_key(&ticket), eq(true));
}

#[test]
fn an_adapter_is_loaded_then_the_request_sent() {
    let mut world = World::serving();
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(world.resident["e-1"], elements_are![eq("film-live@2")]);
    assert_that!(world.sent.len(), eq(1));
    assert_that!(world.sent[0].resident, some(eq(&resident("film-live@2"))));
    assert_that!(
        world.events.iter().any(|e| matches!(e, Event::Stalled(..))),
        eq(true)
    );
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let run = || {
        let mut world = World::serving();
        for ticket in 1..9 {
            world.arrive(ticket, "letters", None);
            world.pass(Duration::from_millis(70));
        }
        world.trace
    };
    assert_that!(run(), eq(&run()));
}

/// Guards against requests that fail halfway after a new text, because a service
/// that they depend on is not available: the text names a service whose
/// dependency's pool has no live target. Services have to come up in the order
/// of their dependencies.
#[test]
fn dependencies_come_up_before_dependents() {
    base::covers!(service_not_up);
    let mut world = World::bare();
    world.owned.insert("e-1".to_owned(), Fence(7));
    world.list(1, &[("e-1", "drafting")]);
    world.pass(Duration::from_secs(20));
    let early = world.arrive(1, "letters", None);
    assert_that!(failure(&world, early).unwrap().verdict, eq(Verdict::NotRun));
    assert_that!(failure(&world, early).unwrap().retry, some(anything()));
    world.list(2, &[("e-1", "drafting"), ("p-1", "portal")]);
    let late = world.arrive(2, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(world.ended.contains_key(&late), eq(false));
    assert_that!(world.sent.len(), eq(1));
    world.list(3, &[("e-1", "drafting")]);
    let after = world.arrive(3, "letters", None);
    world.pass(Duration::from_secs(1));
    assert_that!(world.ended.contains_key(&after), eq(false));
}

/// Guards against a claim that is never released. The leader's reply to the
/// claim is lost, so it may have been granted. The caller is told `not run`, as
/// nothing was sent. Unless the claim is released, a request with the same
/// idempotency key would be told `running` forever.
#[test]
fn a_claim_with_unknown_outcome_is_released() {
    base::covers!(unknown_claim_released);
    let mut world = World::serving();
    let ticket = world.arrive(1, "submissions", Some(9));
    let (call, claim) = world.held_calls.remove(0);
    let Call::Claim(claim) = claim else {
        panic!("no claim but {claim:?}");
    };
    let reply = Err(Verdict::MayHaveRun);
    world.input(Input::Replied { call, reply });
    assert_that!(world.sent, is_empty());
    let failure = failure(&world, ticket).unwrap();
    assert_that!(failure.reason, eq(Refusal::NoQuorum));
    assert_that!(failure.verdict, eq(Verdict::NotRun));
    let (_, settle) = world.held_calls.remove(0);
    let Call::Settle(settle) = settle else {
        panic!("no settle but {settle:?}");
    };
    assert_that!(settle.outcome, eq(&ClaimOutcome::NotRun));
    assert_that!((settle.key, settle.attempt), eq((claim.key, claim.attempt)));
}

/// The outcome of a claimed request is reported until the leader acknowledges
/// it.
#[test]
fn an_outcome_is_reported_until_it_is_acknowledged() {
    let mut world = World::serving();
    world.arrive(1, "submissions", Some(9));
    let (call, _) = world.held_calls.remove(0);
    let reply = Ok(Reply::Claim(ClaimReply::Granted));
    world.input(Input::Replied { call, reply });
    let attempt = world.sent.remove(0);
    world.fail(&attempt, Refusal::TargetFailed);
    for _ in 0..3 {
        let (call, settle) = world.held_calls.remove(0);
        assert_that!(
            matches!(settle, Call::Settle(s) if s.outcome == ClaimOutcome::MayHaveRun),
            eq(true)
        );
        let reply = Err(Verdict::MayHaveRun);
        world.input(Input::Replied { call, reply });
        world.pass(Duration::from_secs(1));
    }
    let (call, _) = world.held_calls.remove(0);
    let reply = Ok(Reply::Done);
    world.input(Input::Replied { call, reply });
    world.pass(Duration::from_secs(2));
    assert_that!(world.held_calls, is_empty());
}

/// Guards against half of all requests failing in a rolling restart: an engine
/// has no owner for a moment. Requests wait for its next owner.
#[test]
fn a_request_waits_for_an_engine_to_get_an_owner() {
    base::covers!(parked_without_owner);
    let mut world = World::serving();
    world.owned.clear();
    world.pass(Duration::from_secs(2));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(world.sent, is_empty());
    assert_that!(world.ended, is_empty());
    world.owned.insert("e-1".to_owned(), Fence(8));
    world.pass(Duration::from_secs(3));
    assert_that!(world.sent.len(), eq(1));
}

#[test]
fn a_request_that_waits_too_long_is_told_when_to_retry() {
    let mut world = World::serving();
    world.owned.clear();
    world.pass(Duration::from_secs(2));
    let ticket = world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(7));
    let failure = failure(&world, ticket).unwrap();
    assert_that!(failure.verdict, eq(Verdict::NotRun));
    assert_that!(failure.retry, some(anything()));
}

/// Guards against answers by an outdated adapter version: a new text serves
/// version 3 instead of 2. Requests that arrived before stay on version 2,
/// later ones run on version 3.
#[test]
fn requests_are_pinned_to_the_version_they_were_meant_for() {
    let mut world = World::serving();
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    let newer = TEXT.replace("[1, 2], serve = 2", "[1, 2, 3], serve = 3");
    world.text = (TextVersion(2), newer);
    world.pass(Duration::from_secs(10));
    world.arrive(2, "letters", None);
    world.pass(Duration::from_secs(5));
    let sent: Vec<_> = world
        .sent
        .iter()
        .filter_map(|a| a.resident.clone())
        .collect();
    assert_that!(sent.first(), some(eq(&resident("film-live@2"))));
    assert_that!(sent.last(), some(eq(&resident("film-live@3"))));
}

/// Guards against answers that are cut off when a machine is replaced: a request
/// waits in the queue of an engine that is then listed as leaving. It must not
/// be sent there any more.
#[test]
fn a_leaving_engine_gets_nothing_from_its_queue() {
    base::covers!(leaving_engine_emptied);
    let mut world = World::bare();
    let targets = [("e-1", "drafting"), ("e-2", "drafting"), ("p-1", "portal")];
    world.owned.insert("e-1".to_owned(), Fence(7));
    world.owned.insert("e-2".to_owned(), Fence(8));
    world.list(1, &targets);
    world.pass(Duration::from_secs(20));
    world.engines_answer = false;
    world.arrive(1, "letters", None);
    world.pass(Duration::from_millis(500));
    assert_that!(world.sent, is_empty());
    let first = world.ordered();
    let leaving = if first == ["e-1"] { "e-1" } else { "e-2" };
    world.leaving = vec![leaving];
    world.list(2, &targets);
    world.engines_answer = true;
    world.finish_orders();
    world.pass(Duration::from_secs(4));
    let to: Vec<_> = world.sent.iter().map(|sent| sent.target.as_str()).collect();
    assert_that!(to.len(), eq(1));
    assert_that!(to[0], not(eq(leaving)));
}

/// Guards against marked requests refused in every rolling restart though there
/// is a leader: the control instance that was sent the claim is no longer the
/// leader and did not accept it. The claim is retried at another one under the
/// same attempt number.
#[test]
fn a_claim_follows_the_leader() {
    base::covers!(claim_retried);
    let mut world = World::serving();
    let ticket = world.arrive(1, "submissions", Some(9));
    let mut attempts = Vec::new();
    for _ in 0..4 {
        let (call, claim) = world.held_calls.remove(0);
        let Call::Claim(claim) = claim else {
            panic!("no claim but {claim:?}");
        };
        attempts.push(claim.attempt);
        let leader = Some("control-2".parse().unwrap());
        let reply = Ok(Reply::Redirect { leader });
        world.input(Input::Replied { call, reply });
    }
    assert_that!(attempts, each(eq(&attempts[0])));
    assert_that!(
        failure(&world, ticket).unwrap().verdict,
        eq(Verdict::NotRun)
    );
    assert_that!(world.held_calls, is_empty());
}

/// Guards against a removed adapter that still answers days later: the text no
/// longer names one of its versions. That version is unloaded as soon as no
/// request uses it, and not before.
#[test]
fn what_the_text_no_longer_names_is_unloaded() {
    base::covers!(retired_unloaded);
    let mut world = World::serving();
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    let attempt = world.sent[0].clone();
    let third = TEXT.replace("[1, 2], serve = 2", "[1, 3], serve = 3");
    world.text = (TextVersion(2), third);
    world.pass(Duration::from_secs(3));
    assert_that!(world.resident["e-1"], contains(eq("film-live@2")));
    world.fail(&attempt, Refusal::BadRequest);
    world.input(Input::CallerGone(attempt.ticket));
    world.pass(Duration::from_secs(3));
    assert_that!(world.resident["e-1"], not(contains(eq("film-live@2"))));
}

/// Guards against requests that wait until their deadline whenever an instance
/// hangs: the request was forwarded to the engine's owner, which then freezes
/// and answers no pings. The request goes to the next owner instead.
#[test]
fn a_request_does_not_wait_for_a_silent_owner() {
    base::covers!(unresponsive_owner_abandoned);
    let mut world = World::bare();
    world.zone_peers = vec!["dubrava-2"];
    world.peer_owned = vec![("e-1", Fence(7))];
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(20));
    world.arrive(1, "letters", None);
    assert_that!(world.sent.len(), eq(1));
    world.pass(Duration::from_secs(5));
    assert_that!(world.sent.len(), eq(1));
    world.peers_silent = true;
    world.peer_owned.clear();
    world.owned.insert("e-1".to_owned(), Fence(8));
    world.pass(Duration::from_secs(8));
    assert_that!(world.sent.len(), eq(2));
    let to = &world.sent[1].route;
    assert_that!(matches!(to, node::Route::Target { .. }), eq(true));
}
