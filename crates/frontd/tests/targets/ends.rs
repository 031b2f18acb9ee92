//! Answers that end before they are complete, in each framing and at every byte.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all, stream};
use googletest::prelude::*;
use tokio::runtime::Builder;

use crate::{
    deployment::Deployment,
    links::Cut,
    raw::{self, Ask, Received},
    scripted::{Again, Content, End, Framing, MORE, Script, Seen, Target},
};

/// Targets of a deployment.
const TARGETS: usize = 3;

/// Requests at the same time.
const AT_ONCE: usize = 48;

/// Deadline of a request that is answered.
const DEADLINE: Duration = Duration::from_secs(10);

/// Deadline of a request whose target falls silent.
const SHORT: Duration = Duration::from_millis(600);

/// Returns the id of a request; all are of the same length.
fn id(no: u64) -> String {
    format!("a{no:04}")
}

/// Starts a deployment whose first entry instance reaches targets through another one, if
/// `through`.
async fn start(through: bool) -> Deployment {
    start_with(through, Again::default()).await
}

/// As [`start`], with targets that do this to requests that come again.
async fn start_with(through: bool, again: Again) -> Deployment {
    let seen = Seen::default();
    let targets = (0..TARGETS).map(|no| Target::start_with(no, Arc::clone(&seen), again));
    let targets = join_all(targets).await;
    let list = Arc::new(move || targets.iter().map(|target| target.listed()).collect());
    let deployment = Deployment::start_listed(3, list).await;
    if through {
        deployment.links(1).set(Cut::RefusesNew);
        deployment.wait_ready(1).await;
    }
    deployment
}

/// Sends the requests of all scripts and returns what their callers received.
async fn play(
    deployment: &Deployment,
    path: &str,
    scripts: Vec<Script>,
) -> Vec<(Script, Received)> {
    let addr = deployment.caller_addr(1);
    let asked = scripts.into_iter().map(|script| async move {
        let no = deployment.next_id();
        let ask = Ask {
            path,
            id: id(no),
            minor: 1,
            deadline: match script.end {
                End::Silence => SHORT,
                End::Close | End::Reset | End::Endless(_) | End::Pause(_) | End::PauseReset(_) => {
                    DEADLINE
                }
            },
            tokens: 50,
            fields: Vec::new(),
            body: script.body(),
        };
        (script, raw::ask(addr, &ask).await)
    });
    stream::iter(asked)
        .buffer_unordered(AT_ONCE)
        .collect()
        .await
}

/// Returns the scripts of answers that end at every byte.
fn every_byte(content: Content, end: End) -> Vec<Script> {
    let mut scripts = Vec::new();
    for framing in [Framing::Length, Framing::Chunks, Framing::Neither] {
        let script = Script {
            content,
            framing,
            end,
            sent: 0,
            again: Framing::Length,
        };
        // A target that is silent after a whole answer with framing hasn't ended it.
        let most = match (framing, end) {
            (Framing::Length | Framing::Chunks, End::Silence) => script.whole(&id(0)) - 1,
            _ => script.whole(&id(0)),
        };
        scripts.extend((0..=most).map(|sent| Script { sent, ..script }));
    }
    scripts
}

/// What the end of an answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Complete,
    BrokenOff,
    /// Closed in order where nothing shows whether more was to come.
    Unknown,
}

/// Returns what is expected of an answer that its target ends as in `script`.
fn expected(script: Script) -> Expected {
    let (head, body) = script.answer(&id(0));
    let whole = script.sent == head.len() + body.len();
    match (script.framing, script.end) {
        (Framing::Length | Framing::Chunks, _) if whole => Expected::Complete,
        (Framing::Neither, End::Close) if whole => Expected::Complete,
        (Framing::Neither, End::Close) if script.sent >= head.len() => {
            let sent = &body[..script.sent - head.len()];
            match script.content {
                Content::Plain | Content::Encoded => Expected::Unknown,
                Content::Lf if sent.ends_with(b"\n\n") => Expected::Unknown,
                Content::Crlf if sent.ends_with(b"\r\n\r\n") => Expected::Unknown,
                Content::Lf | Content::Crlf => Expected::BrokenOff,
            }
        }
        _ => Expected::BrokenOff,
    }
}

/// Returns whether a caller can tell what became of its answer, which is `whole` if it is
/// complete.
fn is_right(script: Script, received: &Received, expected: Expected, whole: &str) -> bool {
    if received.status == 200 && !whole.starts_with(&received.body) {
        return false;
    }
    // The caller sees no sign of the end that the target hasn't given.
    let (head, _) = script.answer(&id(0));
    let unframed = script.framing == Framing::Neither && script.sent >= head.len();
    if unframed && received.status == 200 && received.framed {
        return false;
    }
    let complete = received.status == 200 && received.complete;
    match expected {
        Expected::Complete => complete && received.body == whole,
        Expected::BrokenOff => !complete,
        Expected::Unknown => true,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Returns the answers of one target each whose callers can't tell what became of them.
fn wrong(received: &[(Script, Received)]) -> Vec<&(Script, Received)> {
    let wrong = received.iter().filter(|(script, got)| {
        let whole = script.content.text(0);
        !is_right(*script, got, expected(*script), &whole)
    });
    wrong.collect()
}

/// Checks what callers receive of answers that end at every byte.
fn check((through, path, content): (bool, &str, Content)) {
    run(async {
        let deployment = start(through).await;
        for end in [End::Close, End::Reset, End::Silence] {
            let received = play(&deployment, path, every_byte(content, end)).await;
            assert_that!(wrong(&received), is_empty());
        }
    });
}

base::cases! {
    /// Guards against an answer that its target breaks off and that its caller takes for
    /// complete.
    answers_that_are_broken_off_never_look_complete: check => {
        events: (false, "/x", Content::Lf),
        events_through_another_instance: (true, "/x", Content::Lf),
        events_with_crlf: (false, "/x", Content::Crlf),
        encoded_events: (false, "/x", Content::Encoded),
        plain_text: (false, "/safe/x", Content::Plain),
        plain_text_through_another_instance: (true, "/safe/x", Content::Plain),
    }
}

/// Checks streams whose target breaks off, and whose second one ends within its head after
/// `sent` bytes.
fn check_second_head((through, sent): (bool, usize)) {
    run(async {
        let deployment = start_with(through, Again::CutsHead(sent)).await;
        let mut scripts = Vec::new();
        for again in [Framing::Length, Framing::Chunks, Framing::Neither] {
            let all = every_byte(Content::Lf, End::Close).into_iter();
            scripts.extend(all.step_by(7).map(|script| Script { again, ..script }));
        }
        let received = play(&deployment, "/resumable/x", scripts).await;
        assert_that!(wrong(&received), is_empty());
    });
}

base::cases! {
    /// Guards against a stream that looks complete though the target where it went on ended
    /// within its head.
    streams_that_go_on_at_a_head_cut_short_never_look_complete: check_second_head => {
        nothing: (false, 0),
        status_line: (false, 17),
        header: (false, 30),
        all_but_one_byte: (false, usize::MAX),
        all_but_one_byte_through_another_instance: (true, usize::MAX),
    }
}

/// Checks streams that may go on elsewhere: an end within an event leads there.
fn check_resumed((framing, again): (Framing, Framing)) {
    run(async {
        let deployment = start(false).await;
        let scripts = every_byte(Content::Lf, End::Close).into_iter();
        let scripts = scripts.filter(|script| script.framing == framing);
        let scripts = scripts.map(|script| Script { again, ..script }).collect();
        let received = play(&deployment, "/resumable/x", scripts).await;
        let wrong: Vec<_> = received
            .iter()
            .filter(|(script, got)| {
                let head = script.answer(&id(0)).0.len();
                let once = script.content.text(0);
                let (expected, whole) = match expected(*script) {
                    // A target that never answers may have run it.
                    Expected::BrokenOff if script.sent < head => (Expected::Unknown, once + MORE),
                    Expected::BrokenOff => (Expected::Complete, once + MORE),
                    other => (other, once),
                };
                !is_right(*script, got, expected, &whole)
            })
            .collect();
        assert_that!(wrong, is_empty());
    });
}

base::cases! {
    /// Guards against a stream that is broken off within an event and doesn't go on elsewhere,
    /// and against parts of that event that reach its caller.
    streams_that_are_broken_off_go_on_elsewhere: check_resumed => {
        with_a_length: (Framing::Length, Framing::Length),
        with_chunks: (Framing::Chunks, Framing::Length),
        with_neither: (Framing::Neither, Framing::Length),
        with_chunks_then_neither: (Framing::Chunks, Framing::Neither),
    }
}
