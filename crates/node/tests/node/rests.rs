//! Tests of targets that turn a request away and ask for rest.

use std::time::Duration;

use base::{Refusal, Ticket, Verdict};
use googletest::prelude::*;
use node::{Attempt, Ending, Progress};

use crate::world::{TEXT, World};

/// Rest that targets ask for.
const REST: Duration = Duration::from_secs(3);

/// Time after it in which a target is used again.
const RETURN: Duration = Duration::from_secs(2);

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Creates a node before two targets of `service`.
fn world(service: &str) -> World {
    if service == "letters" {
        return World::of_two_engines(TEXT);
    }
    let mut world = World::bare();
    let targets = [("e-1", "drafting"), ("p-1", "portal"), ("p-2", "portal")];
    world.list(1, &targets);
    world.pass(Duration::from_secs(20));
    world
}

/// Has the target of an attempt turn it away and ask for rest.
fn turn_away(world: &mut World, attempt: &Attempt) {
    let failed = Progress::Failed {
        verdict: Verdict::NotRun,
        reason: Refusal::Unavailable,
        retry: Some(REST),
    };
    world.progress(attempt, 1, failed);
}

/// Sends requests for `time`, and returns how many went to `target`.
fn sent_to(world: &mut World, service: &str, target: &str, time: Duration) -> usize {
    let end = world.now + time;
    world.sent.clear();
    while world.now < end {
        let ticket = 100 + world.now.as_millis();
        world.arrive(ticket, service, None);
        world.pass(PAUSE);
    }
    let sent = world.sent.iter();
    sent.filter(|sent| sent.target.as_str() == target).count()
}

fn check(service: &str) {
    let mut world = world(service);
    world.arrive(1, service, None);
    world.pass(Duration::from_secs(2));
    let first = world.sent[0].clone();
    turn_away(&mut world, &first);
    let target = first.target.as_str();
    let within = sent_to(&mut world, service, target, REST - PAUSE);
    assert_that!(within, eq(0));
    let later = sent_to(&mut world, service, target, RETURN);
    assert_that!(later, ge(1));
}

base::cases! {
    /// Guards against requests to a target that has turned one away and asked for rest, and
    /// against a target that is lost by that.
    a_target_gets_the_rest_that_it_asks_for: check => {
        plain_service: "listing",
        owned_engine: "letters",
    }
}

/// Guards against callers who wait while the only target rests.
#[test]
fn while_the_only_target_rests_callers_are_told_at_once_when_to_come_back() {
    let mut world = World::serving();
    world.arrive(1, "listing", None);
    let first = world.sent[0].clone();
    turn_away(&mut world, &first);
    world.sent.clear();
    world.arrive(2, "listing", None);
    assert_that!(world.sent, is_empty());
    let Some(Ending::Failed(failure)) = world.ended.get(&Ticket(2)) else {
        panic!("not refused at once");
    };
    assert_that!(failure.verdict, eq(Verdict::NotRun));
    assert_that!(failure.retry, some(ge(REST / 2)));
}
