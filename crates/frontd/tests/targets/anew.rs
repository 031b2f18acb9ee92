//! Engines that start again under their ids, after their answers asked for something.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::time::sleep;

use crate::{CONTACT, callers::ask_until, deployment::Deployment, engine::Engine};

const ENTRIES: u8 = 2;

/// Engines of the service: all of them start again.
const ENGINES: usize = 2;

/// Time in which all instances hear what an engine asks.
const HEARD: Duration = Duration::from_millis(800);

/// Part of the requests that have to be served once all engines are back.
const SERVED: f64 = 0.95;

/// Has each engine say something in its answers, end, and start again under its id.
async fn renew(deployment: &Deployment, say: fn(&Engine)) {
    for no in 0..ENGINES {
        let engine = deployment.engine(no);
        engine.keep_id();
        say(engine);
        sleep(HEARD).await;
        engine.crash();
        while engine.up() {
            sleep(Duration::from_millis(5)).await;
        }
        while !engine.up() {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(CONTACT).await;
    }
}

fn check(say: fn(&Engine)) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
        .block_on(run(say));
}

async fn run(say: fn(&Engine)) {
    let deployment = Deployment::start(ENTRIES, ENGINES).await;
    let all = ENGINES as u32 * (HEARD + 2 * CONTACT);
    let (told, ()) = tokio::join!(
        ask_until(&deployment, 1..=ENTRIES, Instant::now() + all),
        renew(&deployment, say)
    );
    drop(told);
    let back = Instant::now();
    let told = ask_until(&deployment, 1..=ENTRIES, back + CONTACT).await;
    let served = told.iter().filter(|told| told.status == 200).count();
    assert_that!(told.len(), ge(8));
    assert_that!(served as f64, ge(SERVED * told.len() as f64));
    for no in 0..ENGINES {
        let begun = deployment.engine(no).begun();
        assert_that!(begun.iter().filter(|run| run.at > back).count(), ge(1));
    }
}

base::cases! {
    /// Guards against taking what a process asked for as a word of the next one under its id: the
    /// service is refused for minutes though its targets are there.
    an_engine_that_starts_again_takes_requests: check => {
        said_that_it_leaves: Engine::say_leaving,
        asked_for_rest: |engine| engine.ask_rest(Some("120")),
    }
}
