//! Tests of requests that crash the targets that run them.

use std::time::Duration;

use base::{Refusal, Ticket, Verdict};
use googletest::prelude::*;
use node::{AnswerEnd, Ending, Input, Progress};
use wire::call::{Call, ClaimReply, Reply};

use crate::world::World;

/// Time after which every instance knows what another one has seen.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends a request, breaks its first attempt soon after it began, and lets its caller
/// leave.
fn send_and_break(world: &mut World, ticket: u64) {
    let ticket = world.arrive(ticket, "listing", None);
    let attempt = world.sent.pop().unwrap();
    world.pass(Duration::from_millis(100));
    world.fail(&attempt, Refusal::TargetFailed);
    world.input(Input::CallerGone(ticket));
    world.sent.clear();
    world.pass(Duration::from_secs(2));
}

/// Sends a request three times, and breaks it each time.
fn send_and_break_thrice(world: &mut World) {
    for ticket in 1..=3 {
        send_and_break(world, ticket);
    }
}

/// Sends a request, and answers it in full with this status.
fn send_and_answer(world: &mut World, ticket: u64, status: u16) {
    world.arrive(ticket, "listing", None);
    let attempt = world.sent.pop().unwrap();
    let head = Progress::Head {
        status,
        ran: None,
        resumed: None,
    };
    let end = Progress::End {
        end: AnswerEnd::Complete,
        answer: None,
    };
    for (step, progress) in [(1, head), (2, end)] {
        world.input(Input::Progress {
            ticket: attempt.ticket,
            attempt: attempt.attempt,
            step,
            progress,
        });
    }
}

/// Returns why a request that arrives now is refused, if it is.
fn refusal(world: &mut World, ticket: u64) -> Option<(Refusal, Verdict, Option<Duration>)> {
    world.arrive(ticket, "listing", None);
    match world.ended.get(&Ticket(ticket))? {
        Ending::Failed(failure) => Some((failure.reason, failure.verdict, failure.retry)),
        _ => None,
    }
}

/// Guards against a request that crashes one target after the other: it is refused at
/// once, as not run and with the time to come back, also by an instance that never ran
/// it.
#[test]
fn a_request_that_crashes_targets_is_refused_everywhere() {
    base::covers!(crashing_request_refused);
    let mut world = World::serving();
    let mut other = World::serving();
    other.verdicts = world.verdicts.clone();
    world.targets_crash = true;
    send_and_break_thrice(&mut world);
    world.pass(CONTACT);
    other.pass(CONTACT);
    for world in [&mut world, &mut other] {
        let refused = refusal(world, 50);
        let held = matches!(refused, Some((Refusal::Held, Verdict::NotRun, Some(again)))
            if again > Duration::from_secs(1));
        assert_that!(held, eq(true), "{refused:?}");
        assert_that!(world.sent.is_empty(), eq(true));
        world.body = [1; 16];
        assert_that!(refusal(world, 51), none());
    }
}

/// Guards against refusing what merely ran on targets that crashed: it was answered in
/// full between two crashes.
#[test]
fn a_request_that_was_answered_is_not_refused() {
    let mut world = World::serving();
    world.targets_crash = true;
    for ticket in 1..=4 {
        send_and_break(&mut world, 10 * ticket);
        send_and_answer(&mut world, 10 * ticket + 1, 200);
    }
    world.pass(CONTACT);
    assert_that!(refusal(&mut world, 50), none());
}

fn check_failures(status: u16) {
    let mut world = World::serving();
    world.targets_crash = true;
    for ticket in 1..=2 {
        send_and_break(&mut world, 10 * ticket);
        send_and_answer(&mut world, 10 * ticket + 1, status);
    }
    send_and_break(&mut world, 30);
    world.pass(CONTACT);
    let why = refusal(&mut world, 50).map(|(why, ..)| why);
    assert_that!(why, some(eq(Refusal::Held)));
}

base::cases! {
    /// Guards against taking the failures of targets in trouble for a sign that a request is
    /// sound: it would crash the others one after the other.
    a_request_that_crashes_targets_is_not_cleared_by_failures: check_failures => {
        failed: 500,
        turned_away: 429,
        meant_for_another: 421,
    }
}

/// Guards against taking broken connections for crashes: the target still listens.
#[test]
fn a_target_that_still_listens_has_not_crashed() {
    let mut world = World::serving();
    send_and_break_thrice(&mut world);
    world.pass(CONTACT);
    assert_that!(refusal(&mut world, 50), none());
}

/// Guards against forgetting what was seen while the leader didn't answer.
#[test]
fn evidence_outlasts_a_silent_leader() {
    let mut world = World::serving();
    let mut other = World::serving();
    other.verdicts = world.verdicts.clone();
    world.targets_crash = true;
    world.leader_answers = false;
    send_and_break_thrice(&mut world);
    world.leader_answers = true;
    world.pass(CONTACT);
    other.pass(CONTACT);
    let refused = refusal(&mut other, 50).map(|(why, ..)| why);
    assert_that!(refused, some(eq(Refusal::Held)));
}

/// Sends a marked request and answers its claim; returns its ticket.
fn claim(world: &mut World, ticket: u64, key: u8, claimed: ClaimReply) -> Ticket {
    let ticket = world.arrive(ticket, "submissions", Some(key));
    let (call, body) = world.held_calls.remove(0);
    assert_that!(matches!(body, Call::Claim(_)), eq(true));
    let reply = Ok(Reply::Claim(claimed));
    world.input(Input::Replied { call, reply });
    ticket
}

/// Guards against calling a marked request not run that ran when it was sent under its
/// key before: its claim goes before the refusal.
#[test]
fn a_marked_request_that_may_have_run_is_not_called_not_run() {
    let mut world = World::serving();
    world.targets_crash = true;
    for key in 1..=3 {
        claim(&mut world, key.into(), key, ClaimReply::Granted);
        let attempt = world.sent.pop().unwrap();
        world.pass(Duration::from_millis(100));
        world.fail(&attempt, Refusal::TargetFailed);
        world.held_calls.clear();
        world.pass(Duration::from_secs(2));
    }
    world.pass(CONTACT);
    let again = claim(&mut world, 50, 1, ClaimReply::MayHaveRun);
    let fresh = claim(&mut world, 51, 9, ClaimReply::Granted);
    let ended = |ticket| match &world.ended[&ticket] {
        Ending::Failed(failure) => (failure.reason, failure.verdict),
        other => panic!("{other:?}"),
    };
    assert_that!(ended(again).1, eq(Verdict::MayHaveRun));
    assert_that!(ended(fresh), eq((Refusal::Held, Verdict::NotRun)));
    assert_that!(world.sent.is_empty(), eq(true));
}
