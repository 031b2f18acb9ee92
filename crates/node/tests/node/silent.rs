//! Targets and owners that fall silent for a while and go on.

use std::time::Duration;

use base::Fence;
use googletest::prelude::*;
use node::{AnswerEnd, Attempt, Ending, Input, Progress};
use request::Part;

use crate::world::World;

fn progress(world: &mut World, attempt: &Attempt, step: u64, progress: Progress) {
    world.input(Input::Progress {
        ticket: attempt.ticket,
        attempt: attempt.attempt,
        step,
        progress,
    });
}

fn head(world: &mut World, attempt: &Attempt) {
    let head = Progress::Head {
        status: 200,
        ran: attempt.resident.clone().map(Ok),
        resumed: (attempt.resume > 0).then_some(attempt.resume),
    };
    progress(world, attempt, 1, head);
}

fn tokens(world: &mut World, attempt: &Attempt, step: u64) {
    progress(world, attempt, step, Progress::Piece(Part::Tokens(1)));
}

fn end(world: &mut World, attempt: &Attempt) {
    progress(world, attempt, 8, Progress::Piece(Part::Last));
    let end = Progress::End {
        end: AnswerEnd::Complete,
        answer: None,
    };
    progress(world, attempt, 9, end);
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
    head(&mut world, &first);
    tokens(&mut world, &first, 2);
    end(&mut world, &first);
    let ended = world.ended.get(&first.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}

/// Guards against a marked request that ends as `may have run` though its owner goes on and
/// answers.
#[test]
fn a_marked_request_is_left_at_an_owner_that_falls_silent() {
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
    head(&mut world, &marked);
    tokens(&mut world, &marked, 2);
    end(&mut world, &marked);
    let ended = world.ended.get(&marked.ticket);
    assert_that!(ended, some(eq(&Ending::Whole)));
}
