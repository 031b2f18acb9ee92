//! Targets that say nothing for some time and go on, in each framing and at each place of an
//! answer, and targets that say nothing any more.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, future::join_all, stream};
use googletest::prelude::*;
use tokio::time::sleep;

use crate::{
    deployment::Deployment,
    links::Cut,
    played::{self, LEFT_WITHIN, ONCE, Outcome, REPEATABLE, RESUMABLE, STREAM, run},
    scripted::{Again, Content, End, Framing, Runs, Script, Seen, Target},
};

/// How long targets say nothing, in milliseconds.
const PAUSES: [u64; 5] = [500, 1_000, 1_600, 2_000, 3_000];

/// Requests at the same time.
const AT_ONCE: usize = 128;

/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which a stream goes on elsewhere if its target says nothing any more.
const GOES_ON_WITHIN: Duration = Duration::from_millis(2_000);

/// Targets and what surrounds them.
#[derive(Clone, Copy, Debug)]
struct Place {
    targets: usize,
    /// Retries for each request.
    ratio: f64,
    again: Again,
    /// Whether targets are reached through another instance.
    through: bool,
    /// Whether the configuration changes all the time.
    changes: bool,
}

/// Three targets of which any may go on with what another one began.
const USUAL: Place = Place {
    targets: 3,
    ratio: 10_000.0,
    again: Again::Answers,
    through: false,
    changes: false,
};

/// No target can replace another one.
const NO_RETRY: Place = Place {
    ratio: 0.0,
    ..USUAL
};

async fn start(place: Place) -> (Deployment, Seen) {
    let seen = Seen::default();
    let targets =
        (0..place.targets).map(|no| Target::start_with(no, Arc::clone(&seen), place.again));
    let targets = join_all(targets).await;
    let list = Arc::new(move || targets.iter().map(|target| target.listed()).collect());
    let deployment = Deployment::start_allowing(3, list, place.ratio).await;
    if place.through {
        deployment.links(1).set(Cut::RefusesNew);
        deployment.wait_ready(1).await;
    }
    (deployment, seen)
}

/// Returns the scripts of answers that pause at `end` in each framing and at each kind of place:
/// before and within the head, after it, within an event, after one and before the last byte.
fn places(content: Content, end: End) -> Vec<Script> {
    let mut scripts = Vec::new();
    for framing in [Framing::Length, Framing::Chunks, Framing::Neither] {
        let script = Script {
            content,
            framing,
            end,
            sent: 0,
            again: Framing::Length,
        };
        let (head, _) = script.answer("a0000");
        let after = |bytes| head.len() + bytes;
        let last = script.whole("a0000") - 1;
        let sent = [0, head.len() / 2, head.len(), after(8), after(26), last];
        scripts.extend(sent.map(|sent| Script { sent, ..script }));
    }
    scripts
}

/// Plays all scripts at the same time.
async fn play(place: Place, path: &'static str, scripts: Vec<Script>) -> Vec<Outcome> {
    let (deployment, seen) = start(place).await;
    let over = AtomicBool::new(false);
    let plays = async {
        let asked = scripts
            .into_iter()
            .map(|script| played::play(&deployment, &seen, path, script));
        let outcomes: Vec<_> = stream::iter(asked)
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        over.store(true, Ordering::Relaxed);
        outcomes
    };
    let changes = async {
        let mut number = 1;
        while place.changes && !over.load(Ordering::Relaxed) {
            number += 1;
            deployment.submit(&format!("/{number}")).await;
            sleep(CHANGE_INTERVAL).await;
        }
    };
    tokio::join!(plays, changes).0
}

/// Returns whether a caller got the whole answer of the target that fell silent or, if `moves`,
/// one that another target completed.
fn is_whole(outcome: &Outcome, moves: bool) -> bool {
    outcome.is_first() || moves && outcome.is_second()
}

/// Plays pauses of all lengths at all places; each request has to be answered in full.
fn check((place, path, content): (Place, &'static str, Content)) {
    let moves = place.ratio > 0.0 && place.targets > 1 && matches!(path, RESUMABLE | REPEATABLE);
    let scripts = PAUSES
        .into_iter()
        .flat_map(|ms| places(content, End::Pause(ms)));
    let outcomes = run(play(place, path, scripts.collect()));
    let lost: Vec<_> = outcomes
        .iter()
        .filter(|outcome| !is_whole(outcome, moves))
        .map(|outcome| (outcome.script.body(), &outcome.received, outcome.took))
        .collect();
    assert_that!(lost, is_empty());
    let often = outcomes.iter().filter(|outcome| outcome.sends() > 1);
    if path == ONCE {
        assert_that!(often.count(), eq(0));
    }
}

base::cases! {
    /// Guards against a request that ends without a whole answer, as its target said nothing for
    /// some time and was left before another one had replaced it.
    requests_outlast_a_silence_of_their_target: check => {
        stream_that_may_not_go_on: (USUAL, STREAM, Content::Lf),
        once_only: (USUAL, ONCE, Content::Plain),
        resumable: (USUAL, RESUMABLE, Content::Lf),
        resumable_without_retries: (NO_RETRY, RESUMABLE, Content::Lf),
        resumable_at_the_only_target: (Place { targets: 1, ..USUAL }, RESUMABLE, Content::Lf),
        resumable_refused_elsewhere: (Place { again: Again::Refuses, ..USUAL }, RESUMABLE, Content::Lf),
        resumable_failed_elsewhere: (Place { again: Again::Fails, ..USUAL }, RESUMABLE, Content::Lf),
        resumable_all_silent: (Place { again: Again::Plays, ..USUAL }, RESUMABLE, Content::Lf),
        resumable_replaced_slowly: (Place { again: Again::AnswersAfter(1_000), ..USUAL }, RESUMABLE, Content::Lf),
        resumable_through_another_instance: (Place { through: true, ..NO_RETRY }, RESUMABLE, Content::Lf),
        resumable_beside_changes: (Place { changes: true, ..NO_RETRY }, RESUMABLE, Content::Lf),
        repeatable: (USUAL, REPEATABLE, Content::Plain),
        repeatable_without_retries: (NO_RETRY, REPEATABLE, Content::Plain),
        repeatable_at_the_only_target: (Place { targets: 1, ..USUAL }, REPEATABLE, Content::Plain),
        repeatable_refused_elsewhere: (Place { again: Again::Refuses, ..USUAL }, REPEATABLE, Content::Plain),
        repeatable_failed_elsewhere: (Place { again: Again::Fails, ..USUAL }, REPEATABLE, Content::Plain),
        repeatable_all_silent: (Place { again: Again::Plays, ..USUAL }, REPEATABLE, Content::Plain),
        repeatable_through_another_instance: (Place { through: true, ..NO_RETRY }, REPEATABLE, Content::Plain),
        repeatable_beside_changes: (Place { changes: true, ..NO_RETRY }, REPEATABLE, Content::Plain),
    }
}

/// Plays answers whose target says nothing for longer than another one is waited for, and then
/// resets its connection while that has the request. Each has targets of its own, so that no
/// other request has found them silent.
fn check_reset((path, content, within_body): (&'static str, Content, bool)) {
    let place = Place {
        again: Again::AnswersAfter(800),
        ..USUAL
    };
    let scripts = places(content, End::PauseReset(2_300)).into_iter();
    let scripts = scripts.filter(|script| match within_body {
        true => script.sent == script.answer("a0000").0.len() + 26,
        false => script.sent == 0,
    });
    let plays = scripts.map(|script| play(place, path, vec![script]));
    let outcomes: Vec<_> = run(join_all(plays)).into_iter().flatten().collect();
    let lost: Vec<_> = outcomes
        .iter()
        .filter(|outcome| !is_whole(outcome, true))
        .map(|outcome| (outcome.script.body(), &outcome.received, outcome.took))
        .collect();
    assert_that!(lost, is_empty());
}

base::cases! {
    /// Guards against a request that ends with its silent target though another one is working
    /// on it.
    requests_outlast_a_silent_target_that_breaks: check_reset => {
        resumable_and_broken: (RESUMABLE, Content::Lf, true),
        repeatable_and_broken: (REPEATABLE, Content::Plain, false),
    }
}

/// Returns for how long two targets worked on a request.
fn both(runs: &Runs) -> Option<Duration> {
    let (left, begun) = (runs.left?, runs.begun_again?);
    Some(left.saturating_duration_since(begun))
}

/// Plays streams whose target says nothing any more after its head, and prints when they ended.
fn check_moved(place: Place) {
    let scripts = places(Content::Lf, End::Silence).into_iter();
    let scripts = scripts.filter(|script| script.sent >= script.answer("a0000").0.len());
    let outcomes = run(play(place, RESUMABLE, scripts.collect()));
    let took = outcomes.iter().map(|outcome| outcome.took).max();
    let longest = outcomes
        .iter()
        .filter_map(|outcome| both(&outcome.runs))
        .max();
    println!(
        "{} streams went on within {took:?}; two targets worked for {longest:?}",
        outcomes.len()
    );
    let whole = outcomes.iter().filter(|outcome| is_whole(outcome, true));
    assert_that!(whole.count(), eq(outcomes.len()));
    assert_that!(took, some(le(GOES_ON_WITHIN)));
    assert_that!(longest, some(le(LEFT_WITHIN)));
}

base::cases! {
    /// Guards against streams that wait for a target that says nothing any more, and against
    /// two targets that work on one request for long.
    streams_leave_a_target_that_hangs: check_moved => {
        directly: USUAL,
        through_another_instance: Place { through: true, ..USUAL },
        beside_changes: Place { changes: true, ..USUAL },
    }
}
