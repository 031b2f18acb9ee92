//! Requests that crash the engines that run them: real control and entry instances over
//! loopback, and engines that come back some time after a crash.

#[path = "crashes/deployment.rs"]
mod deployment;
#[path = "crashes/engine.rs"]
mod engine;

use std::time::{Duration, Instant};

use deployment::Deployment;
use engine::CRASHING;
use googletest::prelude::*;
use tokio::time::sleep;

/// Time after which every instance knows what another one has seen.
const CONTACT: Duration = Duration::from_secs(3);

/// Crashes after which a request counts as the cause.
const CRASHES: usize = 3;

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

/// Guards against a request that comes again under new ids and crashes one engine after
/// the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashed_three_engines_reaches_no_further_ones() {
    let deployment = Deployment::start(3, 6).await;
    let until = Instant::now() + 3 * CONTACT;
    repeat(&deployment, CRASHING, 3, until).await;
    let crashes = deployment.crashes();
    assert_that!(crashes.len(), ge(CRASHES));
    let known_at = crashes[CRASHES - 1] + CONTACT;
    let late = deployment.runs(CRASHING).into_iter();
    let late = late.filter(|run| run.at > known_at).count();
    assert_that!(late, le(MORE_SENDS));
}
