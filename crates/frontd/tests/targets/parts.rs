//! Parts of prompts that crash the engines that begin to answer on them, whatever else a request
//! holds.

use std::time::{Duration, Instant};

use futures::future::{join, join_all};
use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    CONTACT,
    deployment::Deployment,
    engine::{ANSWER, CRASHING_PART, LENGTH},
};

/// Crashes after which a part counts as the cause.
const CRASHES: usize = 5;

/// Sends that are allowed after that.
const MORE_SENDS: usize = 3;

/// Entry instances.
const ENTRIES: u8 = 3;

/// Engines.
const ENGINES: usize = 6;

/// A part that crashes engines only once they are told to.
const TURNING_PART: &str = "turning";

/// The part that all requests of the caller begin with.
const FIRST: &str = "first:800";

/// Parts that they begin with on two lines of the header.
const TWO_LINES: &str = "first:800\nsecond:80";

/// Most parts that all requests of the caller begin with: those of a conversation of some hours.
const MANY: usize = 300;

/// Pause between two requests with the crashing part.
const PAUSE: Duration = Duration::from_millis(120);

/// Callers of sound requests, which have one other part in common each.
const SOUND_CALLERS: usize = 8;

/// Beginning of bodies whose answers have chunks.
const CHUNKS: &str = "chunks";

/// Beginning of bodies whose answers end with their connection.
const UNFRAMED: &str = "unframed";

/// A request that shares its first part with those that crash engines.
struct Sound {
    begun: Instant,
    served: bool,
}

/// What all requests of the caller have in common.
#[derive(Clone, Copy)]
struct Prompt<'a> {
    /// The parts that they begin with, as the header lists them.
    first: &'a str,
    /// Beginning of the body.
    body: &'a str,
}

/// Sends requests with a part, no two of them alike, at all entry instances in turn.
async fn keep_sending(deployment: &Deployment, part: &str, prompt: Prompt<'_>, until: Instant) {
    let Prompt { first, body } = prompt;
    for (no, entry) in (1..=ENTRIES).cycle().enumerate() {
        if Instant::now() >= until {
            return;
        }
        let parts = format!("{first},{part}:200,{no:x}0b:10");
        let body = format!("{body} {no}");
        deployment.ask_parts(entry, &body, &parts).await;
        sleep(PAUSE).await;
    }
}

/// Sends sound requests one after the other, each of them once.
async fn sound_requests(
    deployment: &Deployment,
    (caller, part): (usize, &str),
    prompt: Prompt<'_>,
    until: Instant,
) -> Vec<Sound> {
    let Prompt { first, body } = prompt;
    let mut sent = Vec::new();
    for no in caller.. {
        let begun = Instant::now();
        if begun >= until {
            break;
        }
        let entry = 1 + (no % usize::from(ENTRIES)) as u8;
        let parts = format!("{first},{part}{caller}:200,{no:x}0a{caller}:10");
        let body = format!("{body} sound {caller} {no}");
        let told = deployment.ask_parts(entry, &body, &parts).await;
        let served = told.status == 200 && told.body.as_deref() == Some(ANSWER);
        sent.push(Sound { begun, served });
        sleep(Duration::from_millis(20)).await;
    }
    sent
}

/// Sends requests with a crashing part beside sound ones.
async fn run(
    deployment: &Deployment,
    part: &str,
    prompt: Prompt<'_>,
    until: Instant,
) -> Vec<Sound> {
    let sound = (0..SOUND_CALLERS).map(|no| sound_requests(deployment, (no, "s"), prompt, until));
    let crashing = keep_sending(deployment, part, prompt, until);
    let (sound, ()) = join(join_all(sound), crashing).await;
    sound.into_iter().flatten().collect()
}

/// Returns when the engines had crashed [`CRASHES`] times, and all know of it.
fn known_at(deployment: &Deployment) -> Instant {
    let crashes = deployment.crashes();
    assert_that!(crashes.len(), ge(CRASHES));
    crashes[CRASHES - 1] + CONTACT
}

fn check_late_sends(deployment: &Deployment, part: &str) {
    let known_at = known_at(deployment);
    let late = deployment.runs_of_part(part).into_iter();
    let late = late.filter(|at| *at > known_at).count();
    assert_that!(late, le(MORE_SENDS));
}

fn check_sound(deployment: &Deployment, sound: &[Sound]) {
    let from = known_at(deployment) + CONTACT;
    let counted: Vec<_> = sound.iter().filter(|sent| sent.begun > from).collect();
    let served = counted.iter().filter(|sent| sent.served).count();
    assert_that!(counted.len(), ge(20));
    assert_that!(2 * served, ge(counted.len()));
}

fn check_body(body: &str) {
    check(Prompt { first: FIRST, body });
}

fn check_first(first: &str) {
    let body = CHUNKS;
    check(Prompt { first, body });
}

fn check(prompt: Prompt<'_>) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let deployment = Deployment::start(ENTRIES, ENGINES).await;
        let until = Instant::now() + 4 * CONTACT;
        let sound = run(&deployment, CRASHING_PART, prompt, until).await;
        check_late_sends(&deployment, CRASHING_PART);
        check_sound(&deployment, &sound);
    });
}

base::cases! {
    /// Guards against a part of a prompt that crashes one engine after the other, brought by
    /// requests that are all different, and against refusing what shares other parts with them.
    a_part_that_crashed_five_engines_reaches_no_further_ones: check_body => {
        answers_have_chunks: CHUNKS,
        answers_have_a_length: LENGTH,
        answers_end_with_their_connection: UNFRAMED,
    }
}

/// Returns a list of this many parts.
fn list(count: usize) -> String {
    let parts: Vec<_> = (0..count).map(|no| format!("c0ffee{no:02x}:10")).collect();
    parts.join(",")
}

base::cases! {
    /// Guards against a part that crashes engines wherever it stands in a prompt: behind many
    /// others, or on a further line of the header.
    a_part_that_crashes_is_found_wherever_it_stands: check_first => {
        the_seventeenth: &list(16),
        behind_many: &list(MANY),
        on_the_second_line: TWO_LINES,
    }
}

/// Guards against taking a part for harmless because it was, until now: targets of new software
/// crash on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_was_sound_before_is_found() {
    let deployment = Deployment::start(ENTRIES, ENGINES).await;
    let before = Instant::now() + CONTACT;
    let prompt = Prompt {
        first: FIRST,
        body: CHUNKS,
    };
    run(&deployment, TURNING_PART, prompt, before).await;
    assert_that!(deployment.crashes().len(), eq(0));
    for no in 0..ENGINES {
        deployment.engine(no).crash_on(TURNING_PART);
    }
    let until = Instant::now() + 4 * CONTACT;
    let sound = run(&deployment, TURNING_PART, prompt, until).await;
    check_late_sends(&deployment, TURNING_PART);
    check_sound(&deployment, &sound);
}

/// Guards against instances that don't know a verdict as they started after it, and against
/// callers that wait or aren't told when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_later_refuses_a_part_at_once() {
    let deployment = Deployment::start(1, ENGINES).await;
    for no in 0..40 {
        let parts = format!("{FIRST},{CRASHING_PART}:200,{no:x}0b:10");
        deployment.ask_parts(1, &format!("{no}"), &parts).await;
        sleep(PAUSE).await;
    }
    sleep(CONTACT).await;
    deployment.start_entry(2);
    deployment.wait_ready(2).await;
    let runs = deployment.runs_of_part(CRASHING_PART).len();
    let parts = format!("other:500,{CRASHING_PART}:200,ff:10");
    let told = deployment.ask_parts(2, "another one", &parts).await;
    assert_that!(told.status, eq(503));
    assert_that!(told.again, some(ge(CONTACT)));
    assert_that!(told.took, le(Duration::from_millis(200)));
    assert_that!(deployment.runs_of_part(CRASHING_PART).len(), eq(runs));
}
