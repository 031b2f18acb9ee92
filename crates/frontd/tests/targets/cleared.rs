//! Requests that engines answer in full, whatever shows where the answers end.

use std::time::{Duration, Instant};

use futures::future::{join, join_all};
use googletest::prelude::*;
use hyper::Method;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    CONTACT,
    deployment::{Deployment, Told},
    engine::{EMPTY, LENGTH, NO_CONTENT},
};

/// Entry instances.
const ENTRIES: u8 = 2;

/// Engines.
const ENGINES: usize = 6;

/// Crashes of one engine at a time.
const CRASHES: usize = 10;

/// Pause between two crashes.
const PAUSE: Duration = Duration::from_millis(700);

/// Callers of the same page.
const CALLERS: u8 = 12;

/// Part of the requests that have to be served once no engine crashes.
const SERVED: f64 = 0.95;

/// Asks for the same page again and again, and returns what was told and when it was asked for.
async fn ask_again(
    deployment: &Deployment,
    caller: u8,
    (method, body): (&Method, &str),
    until: Instant,
) -> Vec<(Instant, Told)> {
    let mut told = Vec::new();
    for entry in (1..=ENTRIES).cycle().skip(usize::from(caller)) {
        let begun = Instant::now();
        if begun >= until {
            break;
        }
        let asked = (method.clone(), "/once/page");
        let got = deployment.ask_by(entry, asked, body, ("parts", "")).await;
        told.push((begun, got));
        sleep(Duration::from_millis(20)).await;
    }
    told
}

async fn crash_in_turn(deployment: &Deployment) -> Instant {
    for no in 0..CRASHES {
        sleep(PAUSE).await;
        deployment.engine(no % ENGINES).crash();
    }
    Instant::now()
}

async fn run(method: Method, body: &str) {
    let deployment = Deployment::start(ENTRIES, ENGINES).await;
    let until = Instant::now() + PAUSE * CRASHES as u32 + 2 * CONTACT;
    let callers = (0..CALLERS).map(|no| ask_again(&deployment, no, (&method, body), until));
    let (told, last) = join(join_all(callers), crash_in_turn(&deployment)).await;
    assert_that!(deployment.crashes().len(), ge(CRASHES - 1));
    let after = told.iter().flatten();
    let after: Vec<_> = after.filter(|(at, _)| *at > last + CONTACT).collect();
    let served = after.iter().filter(|(_, told)| told.status / 100 == 2);
    let served = served.count();
    assert_that!(after.len(), ge(20));
    assert_that!(served as f64, ge(SERVED * after.len() as f64));
}

fn check((method, body): (Method, &str)) {
    let mut runtime = Builder::new_multi_thread();
    let runtime = runtime.worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(run(method, body));
}

base::cases! {
    /// Guards against refusing a sound page for minutes, as engines crashed that ran it and its
    /// complete answers aren't noted.
    a_page_that_is_answered_is_served_though_engines_crash: check => {
        chunks: (Method::POST, "chunks"),
        closed_connection: (Method::POST, "unframed"),
        length: (Method::POST, LENGTH),
        length_of_zero: (Method::POST, EMPTY),
        no_content: (Method::POST, NO_CONTENT),
        head_alone: (Method::HEAD, LENGTH),
    }
}
