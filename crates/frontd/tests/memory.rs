//! Which copies of a KV cache a run may continue from when its engine crashes: real
//! control and entry instances over loopback, and engines with different weights and
//! adapters.

#[path = "memory/deployment.rs"]
mod deployment;
#[path = "common/engines.rs"]
mod engines;
#[path = "common/platform.rs"]
mod platform;

use deployment::{ADAPTER, Deployment, Holds};
use googletest::prelude::*;

const WEIGHTS_4: Holds = Holds {
    weights: 4,
    adapter: 2,
    listed: 4,
    midway: 4,
};

const WEIGHTS_1: Holds = Holds {
    weights: 1,
    adapter: 2,
    listed: 1,
    midway: 1,
};

/// Guards against a stream that continues at an engine with other weights than its KV
/// cache was computed with.
#[tokio::test]
async fn a_stream_never_goes_on_under_other_weights() {
    let deployment = Deployment::start(&[WEIGHTS_4, WEIGHTS_1, WEIGHTS_4, WEIGHTS_1]).await;
    for no in 1..=12 {
        let id = no.to_string();
        let crash = async {
            deployment.started(&id).await;
            deployment.crash_streams().await;
        };
        tokio::join!(deployment.complete_answer(&id, ADAPTER), crash);
    }
    let runs = deployment.runs();
    let restored: Vec<_> = runs.iter().filter(|run| run.restored).collect();
    // Each engine has another one with the same weights.
    assert_that!(restored.len(), ge(6));
    for run in restored {
        let first = runs.iter().find(|first| first.request == run.request);
        let first = first.unwrap();
        assert_that!(run.holds.weights, eq(first.holds.weights));
    }
}

/// Guards against a stream that continues from its KV cache although no engine has the
/// weights that it was computed with. It has to end, so that the caller sees that it is
/// incomplete.
#[tokio::test]
async fn a_stream_ends_where_nobody_has_its_weights() {
    let deployment = Deployment::start(&[WEIGHTS_4, WEIGHTS_1]).await;
    for id in ["1", "2", "3", "4"] {
        let crash = async {
            deployment.started(id).await;
            deployment.crash_streams().await;
        };
        let (answer, ()) = tokio::join!(deployment.complete_answer(id, ADAPTER), crash);
        assert_that!(answer, none());
    }
    assert_that!(deployment.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against relying on a list that lags: the engine that begins the run holds other
/// weights than listed, and its answer says so.
#[tokio::test]
async fn what_an_answer_says_of_its_weights_goes_before_the_list() {
    let late = Holds {
        listed: 1,
        ..WEIGHTS_4
    };
    let deployment = Deployment::start(&[late, late]).await;
    let crash = async {
        deployment.started("1").await;
        deployment.change(0, |holds| *holds = WEIGHTS_1).await;
        deployment.change(1, |holds| *holds = WEIGHTS_1).await;
        deployment.crash_streams().await;
    };
    let (answer, ()) = tokio::join!(deployment.complete_answer("1", ADAPTER), crash);
    assert_that!(answer, none());
    assert_that!(deployment.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a copy whose engine restarted in place with newer weights while the run
/// continued.
#[tokio::test]
async fn a_copy_at_an_engine_that_changed_is_not_used() {
    let deployment = Deployment::start(&[WEIGHTS_4, WEIGHTS_4]).await;
    let restart = async {
        let first = deployment.started("1").await;
        deployment
            .change(1 - first.engine, |holds| *holds = WEIGHTS_1)
            .await;
        deployment.crash_streams().await;
    };
    let (answer, ()) = tokio::join!(deployment.complete_answer("1", ADAPTER), restart);
    assert_that!(answer, none());
    assert_that!(deployment.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against an answer that is passed on as complete although its second engine says
/// that it continues with other weights than listed.
#[tokio::test]
async fn a_rest_that_comes_from_other_weights_reaches_nobody() {
    let stale = Holds {
        listed: 4,
        ..WEIGHTS_1
    };
    let deployment = Deployment::start(&[WEIGHTS_4, stale]).await;
    for id in ["1", "2", "3", "4"] {
        let crash = async {
            deployment.started(id).await;
            deployment.crash_streams().await;
        };
        let (answer, ()) = tokio::join!(deployment.complete_answer(id, ADAPTER), crash);
        assert_that!(answer, none());
    }
}

/// Guards against a KV cache that was computed with two versions of the weights, because
/// they changed during the run.
#[tokio::test]
async fn a_run_whose_weights_changed_midway_does_not_go_on() {
    let changing = Holds {
        midway: 5,
        ..WEIGHTS_4
    };
    let deployment = Deployment::start(&[changing, changing]).await;
    let crash = async {
        deployment.started("1").await;
        deployment.crash_streams().await;
    };
    let (answer, ()) = tokio::join!(deployment.complete_answer("1", ADAPTER), crash);
    assert_that!(answer, none());
    assert_that!(deployment.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a stream that continues with a version of its adapter that was set, and
/// loaded at the second engine, after the stream had begun.
#[tokio::test]
async fn a_stream_never_goes_on_under_another_version_of_its_adapter() {
    let deployment = Deployment::start(&[WEIGHTS_1, WEIGHTS_1]).await;
    let change = async {
        let first = deployment.started("1").await;
        deployment
            .change(1 - first.engine, |holds| holds.adapter = 7)
            .await;
        deployment.set_version(7).await;
        deployment.crash_streams().await;
    };
    let (answer, ()) = tokio::join!(deployment.complete_answer("1", ADAPTER), change);
    assert_that!(answer, none());
    assert_that!(deployment.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a stream that breaks off although the engine with its copy has the same
/// weights and the version of the adapter that the stream began with.
#[tokio::test]
async fn a_stream_goes_on_under_the_version_that_it_began_on() {
    let deployment = Deployment::start(&[WEIGHTS_1, WEIGHTS_1]).await;
    let change = async {
        deployment.started("1").await;
        deployment.set_version(7).await;
        deployment.crash_streams().await;
    };
    let (answer, ()) = tokio::join!(deployment.complete_answer("1", ADAPTER), change);
    assert_that!(answer, some(eq("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n")));
}
