//! Requests that crash the engines that run them.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    CONTACT,
    deployment::Deployment,
    engine::{ANSWER, BROKEN_OFF, CRASHING, CRASHING_IN_ORDER, CRASHING_MIDWAY},
};

/// Crashes after which a request counts as the cause.
const CRASHES: usize = 3;

/// Entry instances.
const ENTRIES: u8 = 3;

/// Engines in trouble, beside some that aren't.
const FAILING: usize = 3;

/// Callers that send the same request.
const CALLERS: u8 = 3;

/// Sends that are allowed after that.
const MORE_SENDS: usize = 3;

/// Sends a request again and again, under new ids and at all entry instances in turn.
async fn repeat(deployment: &Deployment, body: &str, entries: u8, until: Instant) {
    for entry in (1..=entries).cycle() {
        if Instant::now() >= until {
            return;
        }
        deployment.ask(entry, body).await;
        sleep(Duration::from_millis(40)).await;
    }
}

fn check_crashes(body: &str) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(reaches_few_engines(body));
}

async fn reaches_few_engines(body: &str) {
    let deployment = Deployment::start(3, 6).await;
    let until = Instant::now() + 3 * CONTACT;
    repeat(&deployment, body, 3, until).await;
    let crashes = deployment.crashes();
    assert_that!(crashes.len(), ge(CRASHES));
    let known_at = crashes[CRASHES - 1] + CONTACT;
    let late = deployment.runs(body).into_iter();
    let late = late.filter(|run| run.at > known_at).count();
    assert_that!(late, le(MORE_SENDS));
}

base::cases! {
    /// Guards against a request that comes again under new ids and crashes one engine after
    /// the other.
    a_request_that_crashed_three_engines_reaches_no_further_ones: check_crashes => {
        connections_break: CRASHING,
        answers_have_a_length: CRASHING_MIDWAY,
        connections_are_closed_in_order: CRASHING_IN_ORDER,
    }
}

async fn reaches_few_engines_beside_failures(body: &str) {
    let deployment = Deployment::start(ENTRIES, 6).await;
    for no in 0..FAILING {
        deployment.engine(no).fail();
    }
    let until = Instant::now() + 4 * CONTACT;
    let callers = (0..CALLERS).map(|no| repeat_once(&deployment, body, no, until));
    futures::future::join_all(callers).await;
    let crashes = deployment.crashes();
    assert_that!(crashes.len(), ge(CRASHES));
    let known_at = crashes[CRASHES - 1] + CONTACT;
    let late = deployment.runs(body).into_iter();
    let late = late.filter(|run| run.at > known_at).count();
    assert_that!(late, le(MORE_SENDS));
}

/// Sends a request again and again, which each time reaches one engine only.
async fn repeat_once(deployment: &Deployment, body: &str, from: u8, until: Instant) {
    for entry in (1..=ENTRIES).cycle().skip(usize::from(from)) {
        if Instant::now() >= until {
            return;
        }
        let field = ("parts", "");
        deployment.ask_at(entry, "/once/x", body, field).await;
        sleep(Duration::from_millis(40)).await;
    }
}

fn check_crashes_beside_failures(body: &str) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(reaches_few_engines_beside_failures(body));
}

base::cases! {
    /// Guards against taking the failures of engines in trouble for a sign that a request is
    /// sound: it would crash the others one after the other.
    a_request_that_crashes_engines_is_not_cleared_by_failures: check_crashes_beside_failures => {
        connections_break: CRASHING,
        answers_have_a_length: CRASHING_MIDWAY,
        connections_are_closed_in_order: CRASHING_IN_ORDER,
    }
}

/// Guards against refusing what merely ran on engines as they crashed: its callers send
/// it again at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_ran_beside_a_crashing_request_is_served() {
    let deployment = Deployment::start(3, 6).await;
    let until = Instant::now() + 2 * CONTACT;
    let others = (0..24).map(|no| serve(&deployment, no));
    let cause = repeat(&deployment, CRASHING, 3, until);
    let (served, ()) = tokio::join!(futures::future::join_all(others), cause);
    assert_that!(deployment.crashes().len(), ge(CRASHES));
    for took in served {
        assert_that!(took, le(4 * CONTACT));
    }
}

/// Sends a request again at once until it is served; returns how long that took.
async fn serve(deployment: &Deployment, no: u8) -> Duration {
    let begun = Instant::now();
    let body = format!("harmless {no}");
    let mut entry = no % 3;
    loop {
        let told = deployment.ask(entry + 1, &body).await;
        if told.status == 200 && told.body.as_deref() == Some(ANSWER) {
            return begun.elapsed();
        }
        entry = (entry + 1) % 3;
        let pause = told.again.unwrap_or(Duration::from_millis(20));
        sleep(pause.min(Duration::from_millis(300))).await;
    }
}

/// Guards against taking broken connections for crashes: the engines go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_answers_break_off_is_not_refused() {
    let deployment = Deployment::start(1, 3).await;
    for _ in 0..8 {
        assert_that!(deployment.ask(1, BROKEN_OFF).await.status, eq(200));
    }
    assert_that!(deployment.crashes().len(), eq(0));
}

/// Guards against taking engines that crash together for a cut: what ran there would be
/// forgiven.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_most_engines_at_once_is_refused() {
    let deployment = Deployment::start(2, 6).await;
    let asked = (0..5).map(|_| deployment.ask(1, CRASHING));
    futures::future::join_all(asked).await;
    assert_that!(deployment.crashes().len(), ge(CRASHES));
    sleep(CONTACT).await;
    let runs = deployment.runs(CRASHING).len();
    assert_that!(deployment.ask(1, CRASHING).await.status, eq(503));
    assert_that!(deployment.runs(CRASHING).len(), eq(runs));
}

/// Guards against instances that don't know a verdict, as they started after it, and
/// against callers that wait or aren't told when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_later_refuses_at_once() {
    let deployment = Deployment::start(1, 6).await;
    while deployment.crashes().len() < CRASHES {
        deployment.ask(1, CRASHING).await;
    }
    sleep(CONTACT).await;
    deployment.start_entry(2);
    deployment.wait_ready(2).await;
    let runs = deployment.runs(CRASHING).len();
    let told = deployment.ask(2, CRASHING).await;
    assert_that!(told.status, eq(503));
    assert_that!(told.again, some(ge(CONTACT)));
    assert_that!(told.took, le(Duration::from_millis(200)));
    assert_that!(deployment.runs(CRASHING).len(), eq(runs));
}
