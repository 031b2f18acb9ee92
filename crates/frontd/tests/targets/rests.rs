//! Engines that turn requests away and ask for rest, and engines whose answers say that they leave.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    CONTACT,
    callers::ask_until,
    deployment::{Deployment, Told},
    engine::Engine,
    links::Cut,
};

const ENGINES: usize = 3;

/// Rest that engines ask for, and as they say it.
const REST: Duration = Duration::from_secs(3);
const ASKED: &str = "3";

/// Time after which an engine that has asked for rest counts what comes.
const NOTICE: Duration = Duration::from_millis(500);

/// Requests that one instance may send within a rest after that.
const ALLOWED: usize = 2;

/// Longest time for which a request is held that can't be served.
const AT_ONCE: Duration = Duration::from_millis(300);

/// First part of the time after a rest, and most requests of one instance in it.
const RETURN: Duration = Duration::from_millis(150);
const FIRST_FEW: usize = 3;

/// Returns the most requests that came within one rest, [`NOTICE`] after it was asked for.
fn most_in_rest(engine: &Engine, until: Instant) -> usize {
    let turned = engine.turned();
    let begun = engine.begun().into_iter().map(|run| run.at);
    let all: Vec<_> = turned.iter().copied().chain(begun).collect();
    let counts = turned.iter().map(|asked| {
        let (from, end) = (*asked + NOTICE, (*asked + REST).min(until));
        all.iter().filter(|at| **at > from && **at < end).count()
    });
    counts.max().unwrap_or(0)
}

fn served(told: &[Told]) -> usize {
    told.iter().filter(|told| told.status == 200).count()
}

/// Guards against requests to an engine that has turned the instance away and asked for rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_asks_for_rest_gets_it() {
    let deployment = Deployment::start(1, ENGINES).await;
    deployment.engine(0).ask_rest(Some(ASKED));
    let until = Instant::now() + 2 * REST;
    let told = ask_until(&deployment, [1], until).await;
    assert_that!(most_in_rest(deployment.engine(0), until), le(ALLOWED));
    assert_that!(served(&told), eq(told.len()));
}

/// Guards against rests that hold for the first choice only, or for one instance only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_instance_gives_each_target_its_rest() {
    let entries = 3;
    let deployment = Deployment::start(entries, ENGINES).await;
    for no in 0..2 {
        deployment.engine(no).ask_rest(Some(ASKED));
    }
    let until = Instant::now() + 2 * REST;
    let told = ask_until(&deployment, 1..=entries, until).await;
    for no in 0..2 {
        let most = most_in_rest(deployment.engine(no), until);
        assert_that!(most, le(usize::from(entries) * ALLOWED));
    }
    assert_that!(served(&told), eq(told.len()));
}

/// Guards against callers who are held, or told nothing, while all engines rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_all_rest_callers_are_told_at_once_when_to_come_back() {
    let deployment = Deployment::start(1, 2).await;
    for no in 0..2 {
        deployment.engine(no).ask_rest(Some(ASKED));
    }
    sleep(Duration::from_millis(100)).await;
    let until = Instant::now() + REST;
    let told = ask_until(&deployment, [1], until).await;
    let later = told.iter().skip(5);
    for told in later {
        assert_that!(told.status, eq(503));
        assert_that!(told.took, le(AT_ONCE));
        assert_that!(told.again, some(ge(NOTICE)));
    }
    for no in 0..2 {
        assert_that!(most_in_rest(deployment.engine(no), until), le(ALLOWED));
    }
}

/// Guards against a target that is lost after its rest, and against a rush to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_has_rested_is_used_again_by_few_at_first() {
    let deployment = Deployment::start(1, 2).await;
    let engine = deployment.engine(0);
    engine.ask_rest(Some(ASKED));
    let take_again = async {
        sleep(REST / 2).await;
        engine.ask_rest(None);
    };
    let until = Instant::now() + 2 * REST;
    let (told, ()) = tokio::join!(ask_until(&deployment, [1], until), take_again);
    let last = *engine.turned().last().expect("it was asked");
    let over = last + REST;
    let back: Vec<_> = engine.begun().into_iter().map(|run| run.at).collect();
    let within = |time: Duration| {
        let end = over + time;
        back.iter().filter(move |at| **at > over && **at < end)
    };
    assert_that!(most_in_rest(engine, until), le(ALLOWED));
    assert_that!(within(RETURN).count(), le(FIRST_FEW));
    assert_that!(within(2 * NOTICE).count(), ge(1));
    assert_that!(within(until - over).count(), ge(8));
    assert_that!(served(&told), eq(told.len()));
}

/// Guards against values that nobody can read: they ask for nothing, and a target isn't lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rest_that_cannot_be_read_changes_nothing() {
    let deployment = Deployment::start(1, 2).await;
    let engine = deployment.engine(0);
    for unreadable in ["soon", "-3", "NaN", "inf", ""] {
        engine.ask_rest(Some(unreadable));
        sleep(Duration::from_millis(50)).await;
        ask_until(&deployment, [1], Instant::now() + NOTICE).await;
    }
    engine.ask_rest(None);
    let begun = Instant::now();
    ask_until(&deployment, [1], begun + CONTACT).await;
    let late = engine.begun().into_iter();
    let late = late.filter(|run| run.at > begun + NOTICE).count();
    assert_that!(late, ge(8));
}

/// Guards against a rest that several instances use up which reach the target through the same
/// one: the target sees its address only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rest_holds_for_all_that_a_helper_reaches_the_target_for() {
    let entries = 4;
    let deployment = Deployment::start_linked(entries, 2).await;
    for entry in 1..entries {
        deployment.links(entry).set(Cut::Resets);
    }
    sleep(CONTACT).await;
    deployment.engine(0).ask_rest(Some(ASKED));
    // The others send once the first one has been turned away, and later than the notice.
    ask_until(&deployment, [1], Instant::now() + 2 * NOTICE).await;
    let until = Instant::now() + REST - 2 * NOTICE;
    let told = ask_until(&deployment, 1..=entries, until).await;
    assert_that!(most_in_rest(deployment.engine(0), until), le(ALLOWED));
    let part = served(&told) as f64 / told.len() as f64;
    assert_that!(part, ge(0.95));
}

fn check_leaving(disturb: fn(&Deployment)) {
    let mut runtime = Builder::new_multi_thread();
    let runtime = runtime.worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        let deployment = Deployment::start(1, 2).await;
        disturb(&deployment);
        let engine = deployment.engine(0);
        engine.say_leaving();
        let begun = Instant::now();
        let told = ask_until(&deployment, [1], begun + CONTACT).await;
        let late = engine.begun().into_iter();
        let late = late.filter(|run| run.at > begun + NOTICE).count();
        assert_that!(late, eq(0));
        assert_that!(served(&told), eq(told.len()));
    });
}

base::cases! {
    /// Guards against requests to a target whose answers say that it leaves, while lists say
    /// that it takes more.
    a_target_that_says_it_leaves_gets_nothing_more: check_leaving => {
        says_it_though_listed: |_| {},
        says_it_without_owner: Deployment::kill_control,
        says_it_while_blind: Deployment::blind_control,
    }
}
