//! Retries of an instance that has just started, in virtual time.

use std::{collections::BTreeSet, time::Duration};

use base::{Refusal, Ticket, Verdict};
use googletest::prelude::*;
use node::{Attempt, Progress};
use request::Part;

use crate::world::{TEXT, World};

/// Time after which what broke must have been sent again.
const SENT_AGAIN: Duration = Duration::from_secs(1);

/// A node that has just started, with two engines of its own.
struct Started {
    world: World,
    /// Ticket of the last request.
    ticket: u64,
}

impl Started {
    fn new() -> Self {
        let text = TEXT.replace("batch = 4", "batch = 256");
        let world = World::of_two_engines(&text);
        Started { world, ticket: 0 }
    }

    /// Sends one request; returns its first attempt.
    fn arrive(&mut self) -> Attempt {
        self.ticket += 1;
        let ticket = self.world.arrive(self.ticket, "letters", None);
        let sent = |world: &World| {
            let first = world.sent.iter().find(|sent| sent.ticket == ticket);
            first.cloned()
        };
        for _ in 0..200 {
            if let Some(sent) = sent(&self.world) {
                return sent;
            }
            self.world.pass(Duration::from_millis(10));
        }
        panic!("{ticket:?} isn't sent")
    }

    /// Lets a stream begin with one token, or with its head alone.
    fn begin(&mut self, attempt: &Attempt, tokens: u32) {
        self.world.head(attempt);
        if tokens > 0 {
            self.world
                .progress(attempt, 2, Progress::Piece(Part::Tokens(tokens)));
        }
    }

    fn break_off(&mut self, attempt: &Attempt) {
        let broken = Progress::Failed {
            verdict: Verdict::MayHaveRun,
            reason: Refusal::TargetFailed,
            retry: None,
        };
        self.world.progress(attempt, 3, broken);
    }

    /// Returns the number of attempts beyond the first of each request.
    fn sent_again(&self) -> usize {
        self.world
            .sent
            .iter()
            .filter(|sent| sent.attempt > 1)
            .count()
    }
}

/// Breaks off `streams` streams of one engine at once, `at` after the start, and checks
/// that all go on.
fn crash((at, streams, tokens): (Duration, usize, u32)) {
    base::covers!(covered_answer_goes_on);
    let mut node = Started::new();
    let start = node.world.now;
    let mut running = Vec::new();
    let first = node.arrive();
    let engine = first.target.clone();
    node.begin(&first, tokens);
    running.push(first);
    while running.len() < streams {
        let attempt = node.arrive();
        node.begin(&attempt, tokens);
        if attempt.target == engine {
            running.push(attempt);
        }
    }
    let left = at.saturating_sub(node.world.now.since(start));
    node.world.pass(left);
    for attempt in &running {
        node.break_off(attempt);
    }
    node.world.pass(SENT_AGAIN);
    let broken: BTreeSet<Ticket> = running.iter().map(|attempt| attempt.ticket).collect();
    let again = node.world.sent.iter().filter(|sent| sent.attempt == 2);
    let again = again.filter(|sent| broken.contains(&sent.ticket) && sent.resume == tokens);
    assert_that!(again.count(), eq(streams));
}

base::cases! {
    /// Guards against streams that end incomplete when an engine crashes just after an
    /// instance has started: it had one retry for each engine.
    streams_go_on_after_a_crash_soon_after_a_start: crash => {
        one_after_200_ms: (Duration::from_millis(200), 1, 1),
        ten_after_200_ms: (Duration::from_millis(200), 10, 1),
        sixty_after_200_ms: (Duration::from_millis(200), 60, 1),
        one_after_1_s: (Duration::from_secs(1), 1, 1),
        ten_after_1_s: (Duration::from_secs(1), 10, 1),
        sixty_after_1_s: (Duration::from_secs(1), 60, 1),
        one_after_5_s: (Duration::from_secs(5), 1, 1),
        ten_after_5_s: (Duration::from_secs(5), 10, 1),
        sixty_after_5_s: (Duration::from_secs(5), 60, 1),
        sixty_heads_after_1_s: (Duration::from_secs(1), 60, 0),
    }
}

/// Guards against an instance that is killed again and again and retries each time as if it
/// had made none before: targets fail all that they are sent, before they answer. Each
/// start may retry once for each target, and once for ten first attempts.
#[test]
fn a_killed_instance_keeps_the_promise_on_retries() {
    const STARTS: usize = 6;
    const REQUESTS: usize = 30;
    let mut again = 0;
    for _ in 0..STARTS {
        let mut node = Started::new();
        for _ in 0..REQUESTS {
            let attempt = node.arrive();
            node.break_off(&attempt);
            node.world.pass(Duration::from_millis(20));
            let retries = node.world.sent.split_off(0);
            again += retries.iter().filter(|sent| sent.attempt > 1).count();
            for retry in retries.iter().filter(|sent| sent.attempt > 1) {
                node.break_off(retry);
            }
        }
        again += node.sent_again();
    }
    assert_that!(again, le(STARTS * (2 + REQUESTS / 10)));
}

/// Lets engines break off each stream after a token; returns how many attempts there are
/// beyond the first ones of `requests`.
fn brittle(requests: usize) -> usize {
    let mut node = Started::new();
    let mut done = 0;
    for _ in 0..requests {
        node.arrive();
        while let Some(attempt) = node.world.sent.get(done).cloned() {
            node.begin(&attempt, 1);
            node.break_off(&attempt);
            node.world.pass(Duration::from_millis(20));
            done += 1;
        }
    }
    node.sent_again()
}

/// Most attempts beyond the first ones of `requests` at two brittle engines. One for ten
/// requests; for each engine one more at the start, and two that are owed: one stream may
/// break when none is owed, and one more when less than one is.
fn brittle_max(requests: usize) -> usize {
    2 * (1 + 2) + requests / 10
}

/// Guards against a storm at engines that break each stream after its first tokens.
#[test]
fn an_engine_that_breaks_all_streams_causes_no_storm() {
    base::covers!(answer_not_covered);
    let again = brittle(400);
    assert_that!(again, le(brittle_max(400)));
}

/// Guards against a storm at such engines beside an instance that is killed again and again,
/// and forgets each time what is owed.
#[test]
fn a_killed_instance_causes_no_storm_of_streams() {
    let again: usize = (0..6).map(|_| brittle(30)).sum();
    assert_that!(again, le(6 * brittle_max(30)));
}
