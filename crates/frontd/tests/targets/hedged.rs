//! Requests that are sent to a second target while the first one may still answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use gateway::hedge::WINDOW_SECONDS;
use googletest::prelude::*;
use tokio::time::{sleep, timeout};

use crate::{
    deployment::{Deployment, HedgingSettings},
    played::{
        self, DEADLINE, LEFT_WITHIN, ONCE, Outcome, REPEATABLE, RESUMABLE, STREAM, completed,
        request, run, runs,
    },
    raw,
    scripted::{Again, Content, End, Framing, Script, Seen, Target},
};

/// Goal of each route: an extra send goes out shortly before.
const GOAL: Duration = Duration::from_millis(400);

/// Requests that are answered at once, from which instances learn.
const LEARNED: usize = 60;

/// Targets of a deployment: some are avoided for a while after they were late.
const TARGETS: usize = 8;

const ALL: [(&str, Content); 4] = [
    (RESUMABLE, Content::Lf),
    (REPEATABLE, Content::Plain),
    (STREAM, Content::Lf),
    (ONCE, Content::Plain),
];

/// Returns an answer that ends as `end` says before its first byte.
fn script(content: Content, end: End) -> Script {
    Script {
        content,
        framing: Framing::Length,
        end,
        sent: if end == End::Close { usize::MAX } else { 0 },
        again: Framing::Length,
    }
}

/// Starts an instance that may hedge each request on these routes, and has it learn.
async fn start(
    limit: Option<&str>,
    again: Again,
    paths: &[(&'static str, Content)],
) -> (Deployment, Seen) {
    let seen = Seen::default();
    let targets = (0..TARGETS).map(|no| Target::start_with(no, Arc::clone(&seen), again));
    let targets = join_all(targets).await;
    let list = Arc::new(move || targets.iter().map(|target| target.listed()).collect());
    let hedging = HedgingSettings {
        limit: limit.map(|limit| limit.parse().unwrap()),
        goal: GOAL,
    };
    let deployment = Deployment::start_hedging(list, hedging).await;
    if limit.is_some() {
        sleep(Duration::from_secs(WINDOW_SECONDS)).await;
    }
    for (path, content) in paths {
        let usual = script(*content, End::Close);
        let learned = (0..LEARNED).map(|_| played::play(&deployment, &seen, path, usual));
        join_all(learned).await;
    }
    (deployment, seen)
}

/// Plays requests that end in each of these ways on each of these routes, at an instance as
/// [`start`] returns it.
async fn play(
    limit: Option<&str>,
    again: Again,
    paths: &[(&'static str, Content)],
    ends: &[End],
) -> Vec<Outcome> {
    let (deployment, seen) = start(limit, again, paths).await;
    let mut outcomes = Vec::new();
    for end in ends {
        let asked = paths
            .iter()
            .map(|(path, content)| played::play(&deployment, &seen, path, script(*content, *end)));
        outcomes.extend(join_all(asked).await);
    }
    outcomes
}

/// Guards against callers that wait for a target that is late, against targets that work on
/// for nobody, and against requests that run twice though they may not.
#[test]
fn a_late_request_is_answered_by_a_second_target() {
    let outcomes = run(play(Some("100%"), Again::Answers, &ALL, &[End::Silence; 3]));
    for outcome in outcomes {
        if matches!(outcome.path, STREAM | ONCE) {
            assert_that!(outcome.sends(), eq(1), "{outcome:?}");
            continue;
        }
        assert!(outcome.is_second(), "{outcome:?}");
        assert_that!(outcome.sends(), eq(2));
        assert_that!(outcome.took, all![ge(GOAL / 2), le(GOAL * 2)]);
        let begun = outcome.runs.begun_again.unwrap();
        let left = outcome.runs.left.unwrap();
        assert_that!(left.saturating_duration_since(begun), le(LEFT_WITHIN));
    }
}

/// Guards against answers of two runs that are joined, or of none.
#[test]
fn one_of_two_answers_at_the_same_moment_is_taken_whole() {
    let ends: Vec<_> = (0..20).map(|no| End::Pause(570 + 4 * no)).collect();
    let again = Again::AnswersAfter(220);
    let outcomes = run(play(Some("100%"), again, &ALL[..2], &ends));
    let firsts = outcomes.iter().filter(|outcome| outcome.is_first()).count();
    let seconds = outcomes.iter().filter(|outcome| outcome.is_second());
    assert_that!(firsts + seconds.count(), eq(outcomes.len()));
    let hedged = outcomes.iter().filter(|outcome| outcome.sends() == 2);
    // A target that was outrun gets no extra sends for some seconds, and there are three.
    assert_that!(hedged.count(), ge(outcomes.len() / 4));
    assert_that!(outcomes.iter().map(Outcome::sends).max(), some(le(2)));
}

/// Guards against an answer that looks complete though its target broke it off, after the other
/// one was left.
#[test]
fn a_second_target_that_breaks_off_gives_no_whole_answer() {
    let outcomes = run(play(
        Some("100%"),
        Again::Breaks,
        &ALL[..1],
        &[End::Silence; 3],
    ));
    for outcome in outcomes {
        assert_that!(outcome.received.complete, eq(false), "{outcome:?}");
        assert_that!(
            completed().as_str(),
            starts_with(outcome.received.body.as_str())
        );
        assert_that!(outcome.sends(), eq(2));
    }
}

/// Sends a request whose first target says nothing after `script`, leaves once it has reached a
/// second one, and returns how long the two targets worked on after that.
async fn leave(
    deployment: &Deployment,
    seen: &Seen,
    path: &'static str,
    script: Script,
) -> Option<(Duration, Duration)> {
    let ask = request(deployment, path, script);
    let caller = raw::send(deployment.caller_addr(1), &ask).await;
    let reached = async {
        while runs(seen, &ask.id).reached.len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(DEADLINE, reached).await.ok()?;
    drop(caller);
    let at = Instant::now();
    sleep(LEFT_WITHIN * 2).await;
    let runs = runs(seen, &ask.id);
    Some((runs.left? - at, runs.left_again? - at))
}

/// Guards against targets that work on for a caller that has left: before the head of an answer
/// and amid a stream.
#[test]
fn a_caller_that_leaves_ends_both_sends() {
    let again = Again::AnswersAfter(3_000);
    run(async {
        let (deployment, seen) = start(Some("100%"), again, &ALL[..2]).await;
        let silent = script(Content::Lf, End::Silence);
        let head = silent.answer("a0000").0.len();
        let asked = [
            (REPEATABLE, script(Content::Plain, End::Silence)),
            (RESUMABLE, silent),
            (
                RESUMABLE,
                Script {
                    sent: head + 8,
                    ..silent
                },
            ),
        ];
        let left = asked.map(|(path, script)| leave(&deployment, &seen, path, script));
        for left in join_all(left).await {
            assert_that!(left, some((le(LEFT_WITHIN), le(LEFT_WITHIN))));
        }
    });
}

fn check_waits((limit, again, sends): (Option<&str>, Again, usize)) {
    let outcomes = run(play(limit, again, &ALL[..2], &[End::Pause(900); 4]));
    for outcome in &outcomes {
        assert!(outcome.is_first(), "{outcome:?}");
        assert_that!(outcome.sends(), le(sends));
        assert_that!(
            outcome.took,
            all![
                ge(Duration::from_millis(890)),
                le(Duration::from_millis(1_300))
            ]
        );
    }
    let hedged = outcomes.iter().filter(|outcome| outcome.sends() == sends);
    assert_that!(hedged.count(), ge(1));
}

base::cases! {
    /// Guards against a request that loses its first target, or waits longer, as a second one
    /// didn't answer, and against extra sends that nobody asked for.
    the_first_target_is_waited_for: check_waits => {
        refused: (Some("100%"), Again::Refuses, 2),
        failed: (Some("100%"), Again::Fails, 2),
        limit_used_up: (Some("0"), Again::Answers, 1),
        off: (None, Again::Answers, 1),
    }
}
