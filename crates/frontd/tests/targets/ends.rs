//! Answers that end before they are complete, in each framing and at every byte.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all, stream};
use googletest::prelude::*;
use tokio::runtime::Builder;

use crate::{
    deployment::Deployment,
    links::Cut,
    raw::{self, Ask, Received},
    scripted::{End, Framing, Script, Target, answer, events},
};

/// Targets of a deployment.
const TARGETS: usize = 3;

/// Requests at the same time.
const AT_ONCE: usize = 48;

/// Deadline of a request that is answered.
const DEADLINE: Duration = Duration::from_secs(10);

/// Deadline of a request whose target falls silent.
const SHORT: Duration = Duration::from_millis(600);

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Neither];

/// Returns the id of a request; all are of the same length.
fn id(no: usize) -> String {
    format!("a{no:04}")
}

/// Starts a deployment whose first entry instance reaches targets through another one, if
/// `through`.
async fn start(through: bool) -> Deployment {
    let targets = join_all((0..TARGETS).map(Target::start)).await;
    let list = Arc::new(move || targets.iter().map(|target| target.listed()).collect());
    let deployment = Deployment::start_listed(3, list).await;
    if through {
        deployment.links(1).set(Cut::RefusesNew);
        deployment.ask(1, "finds the way").await;
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
    let asked = scripts
        .into_iter()
        .enumerate()
        .map(|(no, script)| async move {
            let ask = Ask {
                path,
                id: id(no),
                minor: 1,
                deadline: match script.end {
                    End::Silence => SHORT,
                    End::Close | End::Reset => DEADLINE,
                },
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
fn every_byte(end: End) -> Vec<Script> {
    let mut scripts = Vec::new();
    for framing in FRAMINGS {
        let whole = answer(framing, &id(0), &events(0)).len();
        // A target that is silent after a whole answer with framing hasn't ended it.
        let most = match (framing, end) {
            (Framing::Length | Framing::Chunks, End::Silence) => whole - 1,
            _ => whole,
        };
        scripts.extend((0..=most).map(|sent| Script { framing, end, sent }));
    }
    scripts
}

/// What the end of an answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Complete,
    BrokenOff,
    /// Closed in order between two events: nothing shows whether more was to come.
    Unknown,
}

/// Returns what is expected of a stream that its target ends as in `script`.
fn expected(script: Script) -> Expected {
    let bytes = answer(script.framing, &id(0), &events(0));
    let head = bytes.len() - body_bytes(script.framing);
    let whole = script.sent == bytes.len();
    match (script.framing, script.end) {
        (Framing::Length | Framing::Chunks, _) if whole => Expected::Complete,
        (Framing::Neither, End::Close) if whole => Expected::Complete,
        (Framing::Neither, End::Close) if script.sent > head => {
            let body = &bytes[head..script.sent];
            if body.ends_with(b"\n\n") {
                Expected::Unknown
            } else {
                Expected::BrokenOff
            }
        }
        _ => Expected::BrokenOff,
    }
}

fn body_bytes(framing: Framing) -> usize {
    let all = answer(framing, &id(0), &events(0)).len();
    all - answer(Framing::Neither, &id(0), "").len()
}

/// Checks what callers receive of streams that end at every byte.
fn check(through: bool) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let deployment = start(through).await;
        for end in [End::Close, End::Reset, End::Silence] {
            let received = play(&deployment, "/x", every_byte(end)).await;
            let wrong: Vec<_> = received.iter().filter(|(s, r)| !is_right(*s, r)).collect();
            assert_that!(wrong, is_empty());
        }
    });
}

/// Returns whether the caller of a stream can tell what became of it.
fn is_right(script: Script, received: &Received) -> bool {
    let whole = events(0);
    if received.status == 200 && !whole.starts_with(&received.body) {
        return false;
    }
    let complete = received.status == 200 && received.complete;
    match expected(script) {
        Expected::Complete => complete && received.body == whole,
        Expected::BrokenOff => !complete,
        Expected::Unknown => true,
    }
}

base::cases! {
    /// Guards against a stream that its target breaks off within an event and that its caller
    /// takes for complete.
    streams_that_are_broken_off_never_look_complete: check => {
        directly: false,
        through_another_instance: true,
    }
}
