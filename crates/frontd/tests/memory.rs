//! What a run's memory may go on with when its engine crashes: real shells over
//! loopback, and engines that differ in their weights and adapters.

#[path = "memory/deployment.rs"]
mod deployment;

use googletest::prelude::*;
use deployment::{ADAPTER, Holds, World};

const FOURTH: Holds = Holds {
    weights: 4,
    adapter: 2,
    listed: 4,
    midway: 4,
};

const FIRST: Holds = Holds {
    weights: 1,
    adapter: 2,
    listed: 1,
    midway: 1,
};

/// Guards against a stream that goes on at an engine with other weights than those its
/// memory was made with.
#[tokio::test]
async fn a_stream_never_goes_on_under_other_weights() {
    let world = World::start(&[FOURTH, FIRST, FOURTH, FIRST]).await;
    for no in 1..=12 {
        let id = no.to_string();
        let crash = async {
            world.begun(&id).await;
            world.crash_soon().await;
        };
        tokio::join!(world.whole(&id, ADAPTER), crash);
    }
    let runs = world.runs();
    let restored: Vec<_> = runs.iter().filter(|run| run.restored).collect();
    // Each engine has another one of its own weights.
    assert_that!(restored.len(), ge(6));
    for run in restored {
        let first = runs.iter().find(|first| first.request == run.request);
        let first = first.unwrap();
        assert_that!(run.holds.weights, eq(first.holds.weights));
    }
}

/// Guards against a stream that goes on from its memory although no engine has the
/// weights that this was made with: it ends, and the caller sees that it isn't whole.
#[tokio::test]
async fn a_stream_ends_where_nobody_has_its_weights() {
    let world = World::start(&[FOURTH, FIRST]).await;
    for id in ["1", "2", "3", "4"] {
        let crash = async {
            world.begun(id).await;
            world.crash_soon().await;
        };
        let (answer, ()) = tokio::join!(world.whole(id, ADAPTER), crash);
        assert_that!(answer, none());
    }
    assert_that!(world.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against trust in a list that is behind: the engine that begins the run has other
/// weights than it is listed with, and its answer says so.
#[tokio::test]
async fn what_an_answer_says_of_its_weights_goes_before_the_list() {
    let late = Holds {
        listed: 1,
        ..FOURTH
    };
    let world = World::start(&[late, late]).await;
    let crash = async {
        world.begun("1").await;
        world.change(0, |holds| *holds = FIRST).await;
        world.change(1, |holds| *holds = FIRST).await;
        world.crash_soon().await;
    };
    let (answer, ()) = tokio::join!(world.whole("1", ADAPTER), crash);
    assert_that!(answer, none());
    assert_that!(world.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a copy whose engine started again in place, with newer weights, while the
/// run went on.
#[tokio::test]
async fn a_copy_at_an_engine_that_changed_is_not_used() {
    let world = World::start(&[FOURTH, FOURTH]).await;
    let restart = async {
        let first = world.begun("1").await;
        world.change(1 - first.engine, |holds| *holds = FIRST).await;
        world.crash_soon().await;
    };
    let (answer, ()) = tokio::join!(world.whole("1", ADAPTER), restart);
    assert_that!(answer, none());
    assert_that!(world.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against an answer that is passed on as whole though its second engine says that
/// it goes on with other weights than it was listed with.
#[tokio::test]
async fn a_rest_that_comes_from_other_weights_reaches_nobody() {
    let stale = Holds { listed: 4, ..FIRST };
    let world = World::start(&[FOURTH, stale]).await;
    for id in ["1", "2", "3", "4"] {
        let crash = async {
            world.begun(id).await;
            world.crash_soon().await;
        };
        let (answer, ()) = tokio::join!(world.whole(id, ADAPTER), crash);
        assert_that!(answer, none());
    }
}

/// Guards against memory that was made with two weights: they changed under the run.
#[tokio::test]
async fn a_run_whose_weights_changed_midway_does_not_go_on() {
    let changing = Holds {
        midway: 5,
        ..FOURTH
    };
    let world = World::start(&[changing, changing]).await;
    let crash = async {
        world.begun("1").await;
        world.crash_soon().await;
    };
    let (answer, ()) = tokio::join!(world.whole("1", ADAPTER), crash);
    assert_that!(answer, none());
    assert_that!(world.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a stream that goes on under a version of its adapter that was named,
/// and loaded at the second engine, after the stream had begun.
#[tokio::test]
async fn a_stream_never_goes_on_under_another_version_of_its_adapter() {
    let world = World::start(&[FIRST, FIRST]).await;
    let change = async {
        let first = world.begun("1").await;
        world
            .change(1 - first.engine, |holds| holds.adapter = 7)
            .await;
        world.set_version(7).await;
        world.crash_soon().await;
    };
    let (answer, ()) = tokio::join!(world.whole("1", ADAPTER), change);
    assert_that!(answer, none());
    assert_that!(world.runs().iter().any(|run| run.restored), eq(false));
}

/// Guards against a stream that breaks off although its copy lies at an engine with the
/// same weights and the version of the adapter that it began on.
#[tokio::test]
async fn a_stream_goes_on_under_the_version_that_it_began_on() {
    let world = World::start(&[FIRST, FIRST]).await;
    let change = async {
        world.begun("1").await;
        world.set_version(7).await;
        world.crash_soon().await;
    };
    let (answer, ()) = tokio::join!(world.whole("1", ADAPTER), change);
    assert_that!(answer, some(eq("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n")));
}
