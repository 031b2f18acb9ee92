//! Targets and owners that fall silent for a while and go on.

use std::time::Duration;

use base::Fence;
use googletest::prelude::*;
use node::{AnswerEnd, Attempt, Ending, Input, Progress};
use request::Part;

use crate::world::{TEXT, World};

fn tokens(world: &mut World, attempt: &Attempt, step: u64) {
    world.progress(attempt, step, Progress::Piece(Part::Tokens(1)));
}

fn end(world: &mut World, attempt: &Attempt) {
    world.progress(attempt, 8, Progress::Piece(Part::Last));
    let end = Progress::End {
        end: AnswerEnd::Complete,
        answer: None,
    };
    world.progress(attempt, 9, end);
}

/// Returns whether an attempt was cancelled.
fn cancelled(world: &World, attempt: &Attempt) -> bool {
    let output = format!(
        "Cancel {{ ticket: {:?}, attempt: {} }}",
        attempt.ticket, attempt.attempt
    );
    world.trace.iter().any(|line| line.ends_with(&output))
}

/// Returns a node with a request that waits at its engine's owner, another instance.
fn forwarded() -> (World, Attempt) {
    let mut world = World::bare();
    world.zone_peers = vec!["dubrava-2"];
    world.peer_owned = vec![("e-1", Fence(7))];
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(20));
    world.arrive(1, "letters", None);
    let sent = world.sent[0].clone();
    (world, sent)
}

/// Guards against a request that fails though its owner goes on: the owner says nothing for
/// some seconds, and no other instance owns the engine.
#[test]
fn a_request_is_left_at_an_owner_that_falls_silent_until_another_answers() {
    let (mut world, first) = forwarded();
    world.peers_silent = true;
    world.peer_owned.clear();
    world.pass(Duration::from_secs(9));
    world.peers_silent = false;
    world.head(&first);
    tokens(&mut world, &first, 2);
    end(&mut world, &first);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}

/// Guards against a marked request that ends as `may have run` though its owner goes on and
/// answers.
#[test]
fn a_marked_request_is_left_at_an_owner_that_falls_silent() {
    base::covers!(silent_kept);
    let (mut world, _) = forwarded();
    world.held_calls.clear();
    world.arrive(2, "letters", Some(9));
    let (call, _) = world.held_calls.remove(0);
    let granted = wire::call::Reply::Claim(wire::call::ClaimReply::Granted);
    let reply = Ok(granted);
    world.input(Input::Replied { call, reply });
    let marked = world.sent[1].clone();
    world.peers_silent = true;
    world.pass(Duration::from_secs(9));
    let sent = world.sent.iter();
    let sent = sent.filter(|sent| sent.ticket == marked.ticket);
    assert_that!(sent.count(), eq(1));
    world.head(&marked);
    tokens(&mut world, &marked, 2);
    end(&mut world, &marked);
    let ended = world.ended.get(&marked.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}

/// A node that owns two engines, and a stream that has begun at one of them and fallen
/// silent.
fn silent_stream() -> (World, Attempt) {
    let mut world = World::of_two_engines(TEXT);
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    let first = world.sent[0].clone();
    world.head(&first);
    tokens(&mut world, &first, 2);
    world.progress(&first, 3, Progress::Silent);
    world.pass(Duration::from_secs(2));
    (world, first)
}

/// Guards against a stream that is given up before another engine has answered: the second
/// engine fails, and the silent one goes on.
#[test]
fn a_silent_stream_goes_on_after_its_replacement_fails() {
    let (mut world, first) = silent_stream();
    assert_that!(world.sent.len(), eq(2));
    let second = world.sent[1].clone();
    assert_that!(second.target, not(eq(&first.target)));
    assert_that!(second.resume, eq(1));
    assert_that!(cancelled(&world, &first), eq(false));
    world.fail(&second, base::Refusal::TargetFailed);
    tokens(&mut world, &first, 4);
    end(&mut world, &first);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}

/// Guards against two engines that run one stream to its end: the one that goes on first
/// wins, and the other one's place is free for the next request.
#[test]
fn a_silent_stream_that_goes_on_wins() {
    base::covers!(silent_goes_on);
    let (mut world, first) = silent_stream();
    let second = world.sent[1].clone();
    tokens(&mut world, &first, 4);
    assert_that!(cancelled(&world, &second), eq(true));
    assert_that!(cancelled(&world, &first), eq(false));
    end(&mut world, &first);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
    all_places_are_free(&mut world);
}

/// Guards against an engine that hangs for good: the other one answers, and the first one is
/// left.
#[test]
fn a_silent_stream_is_left_once_another_engine_answers() {
    base::covers!(silent_replaced);
    let (mut world, first) = silent_stream();
    let second = world.sent[1].clone();
    world.head(&second);
    assert_that!(cancelled(&world, &first), eq(true));
    assert_that!(cancelled(&world, &second), eq(false));
    tokens(&mut world, &second, 2);
    end(&mut world, &second);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
    all_places_are_free(&mut world);
}

/// Checks that each engine takes as many streams as it has places.
fn all_places_are_free(world: &mut World) {
    let sent = world.sent.len();
    for ticket in 100..120 {
        world.arrive(ticket, "letters", None);
    }
    world.pass(Duration::from_secs(4));
    for engine in ["e-1", "e-2"] {
        let here = world.sent[sent..].iter();
        let here = here.filter(|sent| sent.target.as_str() == engine);
        assert_that!(here.count(), eq(4));
    }
}

/// Guards against a silent engine that is sent the same request again beside the one that it
/// runs, as no other engine is left.
#[test]
fn a_silent_stream_is_not_sent_to_its_own_engine() {
    let mut world = World::serving();
    world.software.insert("e-1", "v1");
    world.list(2, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    let first = world.sent[0].clone();
    world.head(&first);
    tokens(&mut world, &first, 2);
    for step in 3..6 {
        world.progress(&first, step, Progress::Silent);
        world.pass(Duration::from_secs(5));
    }
    assert_that!(world.sent.len(), eq(1));
    tokens(&mut world, &first, 7);
    end(&mut world, &first);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}

/// Guards against a request that hangs at a frozen owner, as its silence was noticed once
/// only: another instance owns the engine much later.
#[test]
fn a_silent_owner_is_noticed_again() {
    let (mut world, _) = forwarded();
    world.peers_silent = true;
    world.pass(Duration::from_secs(15));
    assert_that!(world.sent.len(), eq(1));
    world.peer_owned.clear();
    world.owned.insert("e-1".to_owned(), Fence(8));
    world.pass(Duration::from_secs(8));
    assert_that!(world.sent.len(), eq(2));
}

/// Guards against a request that waits seconds longer for the next owner of its engine than
/// one that isn't kept at the silent one.
#[test]
fn a_request_goes_to_the_next_owner_at_once() {
    let (mut world, _) = forwarded();
    world.peers_silent = true;
    world.pass(Duration::from_secs(4));
    let fresh = world.arrive(2, "letters", None);
    world.peer_owned.clear();
    world.owned.insert("e-1".to_owned(), Fence(8));
    let sent = |world: &World, ticket| {
        let to_engine = |sent: &&Attempt| matches!(sent.route, node::Route::Target { .. });
        let here = world.sent.iter().filter(to_engine);
        here.filter(|sent| sent.ticket == ticket).count()
    };
    for _ in 0..80 {
        world.pass(Duration::from_millis(100));
        if sent(&world, fresh) == 1 {
            break;
        }
    }
    assert_that!(sent(&world, fresh), eq(1));
    assert_that!(sent(&world, base::Ticket(1)), eq(1));
}
