//! Engines that name a limit of requests a second.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::time::sleep;

use crate::{CONTACT, callers::ask_until, deployment::Deployment};

/// The window in which requests to a limited engine are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests a second that a limited engine takes, and as it says so.
const LIMIT: f64 = 2.5;
const NAMED: &str = "2.5";

/// Requests that a limited engine may get within [`WINDOW`].
const ALLOWED: f64 = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;

/// Returns the most requests that an engine got in a window that ends after `from`.
fn most_in_window(deployment: &Deployment, engine: usize, from: Instant) -> usize {
    let begun = deployment.engine(engine).begun();
    let ends = begun.iter().filter(|run| run.at >= from);
    let counts = ends.map(|last| {
        let within = begun.iter().filter(|run| run.at <= last.at);
        within.filter(|run| run.at + WINDOW > last.at).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against instances that send a target as much as before, though it has named a
/// limit that holds over all of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_that_a_target_names_holds_over_all_entry_instances() {
    let deployment = Deployment::start(3, 3).await;
    let begun = Instant::now();
    let calm = Duration::from_secs(1);
    let named = async {
        sleep(calm).await;
        deployment.engine(0).name_limit(Some(NAMED));
    };
    let until = begun + calm + 3 * CONTACT;
    let (told, ()) = tokio::join!(ask_until(&deployment, 1..=3, until), named);
    let most = most_in_window(&deployment, 0, begun + calm + CONTACT);
    assert_that!(most as f64, le(ALLOWED));
    for told in told {
        assert_that!(told.status, eq(200));
    }
    assert_that!(deployment.crashes().len(), eq(0));
}

/// Guards against a limit that outlives its end, and against values that nobody can read:
/// they change nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_is_used_in_full_once_it_names_no_limit() {
    let deployment = Deployment::start(2, 1).await;
    let engine = deployment.engine(0);
    engine.name_limit(Some("0.5"));
    ask_until(&deployment, 1..=2, Instant::now() + CONTACT).await;
    for unreadable in ["many", "-3", "NaN"] {
        engine.name_limit(Some(unreadable));
        let begun = Instant::now();
        ask_until(&deployment, 1..=2, begun + CONTACT).await;
        assert_that!(most_in_window(&deployment, 0, begun + CONTACT / 2), le(8));
    }
    engine.name_limit(None);
    let begun = Instant::now();
    ask_until(&deployment, 1..=2, begun + 2 * CONTACT).await;
    let late = engine.begun().into_iter();
    let late = late.filter(|run| run.at > begun + CONTACT).count();
    assert_that!(late, ge(30));
}

/// Guards against callers who wait until their deadline for a target that takes no more,
/// though it is known that it won't.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_limit_will_not_reach_is_refused_with_the_time_to_come_back() {
    let deployment = Deployment::start(2, 1).await;
    deployment.engine(0).name_limit(Some("1"));
    ask_until(&deployment, 1..=2, Instant::now() + CONTACT).await;
    let told = ask_until(&deployment, 1..=2, Instant::now() + CONTACT).await;
    let refused: Vec<_> = told.iter().filter(|told| told.status != 200).collect();
    assert_that!(refused.len(), ge(5));
    for told in refused {
        assert_that!(told.status, eq(503));
        assert_that!(told.again, some(ge(Duration::from_millis(500))));
        assert_that!(told.took, le(Duration::from_secs(2)));
    }
    let served = told.iter().filter(|told| told.status == 200);
    assert_that!(served.count(), all!(ge(2), le(6)));
}

/// Guards against an instance that knows no limit, as it started after that was named.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_later_keeps_the_limit() {
    let deployment = Deployment::start(1, 2).await;
    deployment.engine(0).name_limit(Some(NAMED));
    ask_until(&deployment, [1], Instant::now() + CONTACT).await;
    deployment.start_entry(2);
    deployment.wait_ready(2).await;
    let begun = Instant::now();
    ask_until(&deployment, 1..=2, begun + CONTACT).await;
    let most = most_in_window(&deployment, 0, begun + Duration::from_secs(1));
    assert_that!(most as f64, le(ALLOWED));
}
