//! Requests that are sent to a second target while the first one may still answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use gateway::hedge::WINDOW_SECONDS;
use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    deployment::{Deployment, HedgingSettings},
    raw::{self, Ask, Received},
    scripted::{Again, Content, End, Framing, MORE, Runs, Script, Seen, Target},
};

/// Goal of each route: an extra send goes out shortly before.
const GOAL: Duration = Duration::from_millis(400);

/// Deadline of a request. A target counts as silent after two seconds.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time within which the target that isn't taken is left.
const LEFT_WITHIN: Duration = Duration::from_millis(400);

/// Requests that are answered at once, from which instances learn.
const LEARNED: usize = 60;

/// Targets of a deployment: some are avoided for a while after they were late.
const TARGETS: usize = 8;

const RESUMABLE: &str = "/resumable/x";
const REPEATABLE: &str = "/repeatable/x";
const STREAM: &str = "/x";
const ONCE: &str = "/once/x";

const ALL: [(&str, Content); 4] = [
    (RESUMABLE, Content::Lf),
    (REPEATABLE, Content::Plain),
    (STREAM, Content::Lf),
    (ONCE, Content::Plain),
];

#[derive(Clone, Debug)]
struct Outcome {
    path: &'static str,
    script: Script,
    received: Received,
    took: Duration,
    runs: Runs,
}

impl Outcome {
    fn sends(&self) -> usize {
        self.runs.reached.len()
    }

    fn is_first(&self) -> bool {
        self.received.complete && self.received.body == self.script.content.text(0)
    }

    fn is_second(&self) -> bool {
        let text = Content::Lf.text(0) + MORE;
        self.received.complete && self.received.body == text
    }
}

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

async fn ask(deployment: &Deployment, seen: &Seen, path: &'static str, script: Script) -> Outcome {
    let id = format!("a{:04}", deployment.next_id());
    let ask = Ask {
        path,
        id: id.clone(),
        minor: 1,
        deadline: DEADLINE,
        tokens: 50,
        fields: Vec::new(),
        body: script.body(),
    };
    let begun = Instant::now();
    let received = raw::ask(deployment.caller_addr(1), &ask).await;
    let took = begun.elapsed();
    sleep(LEFT_WITHIN).await;
    let runs = seen.lock().unwrap().get(&id).cloned().unwrap_or_default();
    Outcome {
        path,
        script,
        received,
        took,
        runs,
    }
}

/// Starts an instance that may hedge each request, has it learn, and plays requests that end in
/// each of these ways on each of these routes.
async fn play(
    limit: Option<&str>,
    again: Again,
    paths: &[(&'static str, Content)],
    ends: &[End],
) -> Vec<Outcome> {
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
        let learned = (0..LEARNED).map(|_| ask(&deployment, &seen, path, usual));
        join_all(learned).await;
    }
    let mut outcomes = Vec::new();
    for end in ends {
        let asked = paths
            .iter()
            .map(|(path, content)| ask(&deployment, &seen, path, script(*content, *end)));
        outcomes.extend(join_all(asked).await);
    }
    outcomes
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test)
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
            (Content::Lf.text(0) + MORE).as_str(),
            starts_with(outcome.received.body.as_str())
        );
        assert_that!(outcome.sends(), eq(2));
    }
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
