//! Entry instances that are cut off from all engines.

use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use tokio::{
    runtime::Builder,
    time::{sleep, timeout},
};
use web::tunnel::{self, Tunnel, TunnelError};

use crate::{CONTACT, callers::ask_until, deployment::Deployment, engine::ANSWER, links::Cut};

/// Entry instances of a deployment, of which the last stands in another zone, and engines.
const ENTRIES: u8 = 4;
const ENGINES: usize = 3;

/// Time after which a run has begun, and not ended yet.
const MIDWAY: Duration = Duration::from_millis(150);

/// Longest time that finding the way through another instance may take.
const DETOUR: Duration = Duration::from_millis(500);

/// Time that a run takes.
const RUN: Duration = Duration::from_millis(400);

/// Which entry instances are cut off, and how.
struct Case {
    cut: &'static [u8],
    how: Cut,
}

/// Returns the part of `entry`'s requests that are served until `until`.
async fn served(deployment: &Deployment, entry: u8, until: Instant) -> f64 {
    let told = ask_until(deployment, [entry], until).await;
    let served = told.iter().filter(|told| told.status == 200).count();
    served as f64 / told.len() as f64
}

fn check(case: Case) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(check_served(case));
}

async fn check_served(Case { cut, how }: Case) {
    let deployment = Deployment::start_linked(ENTRIES, ENGINES).await;
    for entry in cut {
        deployment.links(*entry).set(how);
    }
    sleep(CONTACT).await;
    let until = Instant::now() + CONTACT;
    let entries = 1..=ENTRIES;
    let parts = join_all(entries.map(|entry| served(&deployment, entry, until))).await;
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (entry, part) in (1..=ENTRIES).zip(parts) {
        if cut.contains(&entry) {
            far.push(part);
        } else {
            near.push(part);
        }
    }
    let least = near.into_iter().fold(1.0, f64::min);
    for part in far {
        assert_that!(part, ge(2.0 / 3.0 * least));
    }
}

const ONE: &[u8] = &[1];
const MOST: &[u8] = &[1, 2];
const ZONE: &[u8] = &[1, 2, 3];

base::cases! {
    /// Callers of an instance that has lost its links to all engines must be served nearly as
    /// often as those of the others.
    callers_of_an_instance_without_links_to_engines_are_served: check => {
        links_hang: Case { cut: ONE, how: Cut::Hangs },
        links_are_reset: Case { cut: ONE, how: Cut::Resets },
        new_connections_are_refused: Case { cut: ONE, how: Cut::RefusesNew },
        links_of_most_hang: Case { cut: MOST, how: Cut::Hangs },
        links_of_most_are_reset: Case { cut: MOST, how: Cut::Resets },
        new_connections_of_most_are_refused: Case { cut: MOST, how: Cut::RefusesNew },
        links_of_a_zone_hang: Case { cut: ZONE, how: Cut::Hangs },
        links_of_a_zone_are_reset: Case { cut: ZONE, how: Cut::Resets },
        new_connections_of_a_zone_are_refused: Case { cut: ZONE, how: Cut::RefusesNew },
    }
}

/// Guards against a first caller that pays for what an idle instance doesn't know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_request_after_a_cut_is_served() {
    for how in [Cut::Hangs, Cut::Resets, Cut::RefusesNew] {
        let deployment = Deployment::start_linked(3, ENGINES).await;
        deployment.links(1).set(how);
        sleep(CONTACT).await;
        let told = deployment.ask(1, "first").await;
        assert_that!(told.status, eq(200), "{how:?}");
        assert_that!(told.took, le(RUN + DETOUR), "{how:?}");
    }
}

/// Guards against a way through another instance that lasts for longer than the cut, or is
/// lost when that begins anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cuts_that_come_again_and_change_their_form_lose_few_requests() {
    let deployment = Deployment::start_linked(3, ENGINES).await;
    let until = Instant::now() + 3 * CONTACT;
    let cuts = async {
        let forms = [Cut::Hangs, Cut::No, Cut::Resets, Cut::RefusesNew, Cut::No];
        for (turn, form) in forms.into_iter().cycle().enumerate() {
            if Instant::now() >= until {
                break;
            }
            deployment.links(1).set(form);
            sleep(Duration::from_millis(900 + 170 * turn as u64)).await;
        }
        deployment.links(1).set(Cut::No);
    };
    let (told, ()) = tokio::join!(ask_until(&deployment, [1], until), cuts);
    let served = told
        .iter()
        .filter(|told| told.body.as_deref() == Some(ANSWER))
        .count();
    assert_that!(served as f64, ge(0.67 * told.len() as f64));
    sleep(CONTACT).await;
    let told = deployment.ask(1, "afterwards").await;
    assert_that!(told.status, eq(200));
    assert_that!(told.took, le(RUN + DETOUR));
}

/// Guards against a second run of a request whose connection broke behind the helper, and
/// against an unfinished answer that looks complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_that_breaks_behind_a_helper_is_neither_repeated_nor_complete() {
    let deployment = Deployment::start_linked(2, ENGINES).await;
    deployment.links(1).set(Cut::Hangs);
    assert_that!(deployment.ask(1, "before").await.status, eq(200));
    let broken = async {
        sleep(MIDWAY).await;
        deployment.links(2).set(Cut::Resets);
        sleep(MIDWAY).await;
        deployment.links(2).set(Cut::No);
    };
    let (told, ()) = tokio::join!(deployment.ask(1, "once"), broken);
    assert_that!(told.body, none());
    sleep(CONTACT).await;
    assert_that!(deployment.runs("once").len(), eq(1));
}

/// Guards against an engine that works on for a caller who has left, behind two instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_the_engine_through_both_instances() {
    let deployment = Deployment::start_linked(2, ENGINES).await;
    deployment.links(1).set(Cut::Hangs);
    assert_that!(deployment.ask(1, "before").await.status, eq(200));
    let left = timeout(MIDWAY, deployment.ask(1, "left")).await;
    assert_that!(left.is_err(), eq(true));
    sleep(RUN + DETOUR).await;
    let abandoned = (0..ENGINES).flat_map(|no| deployment.engine(no).abandoned());
    assert_that!(abandoned.collect::<Vec<_>>(), elements_are![eq("left")]);
}

/// Guards against accusing a request that ran while its instance was cut off, by resets and
/// refused connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_runs_as_links_are_reset_is_not_refused() {
    let deployment = Deployment::start_linked(2, ENGINES).await;
    for _ in 0..4 {
        let cut = async {
            sleep(MIDWAY).await;
            deployment.links(1).set(Cut::Resets);
        };
        let (told, ()) = tokio::join!(deployment.ask(1, "innocent"), cut);
        assert_that!(told.body, none());
        sleep(DETOUR).await;
        deployment.links(1).set(Cut::No);
        sleep(CONTACT / 2).await;
    }
    for entry in 1..=2 {
        assert_that!(deployment.ask(entry, "innocent").await.status, eq(200));
    }
}

/// Guards against callers that wait until their deadline where no instance can help.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_told_to_come_back_where_nobody_can_help() {
    let deployment = Deployment::start_linked(2, ENGINES).await;
    for entry in 1..=2 {
        deployment.links(entry).set(Cut::RefusesNew);
    }
    deployment.ask(1, "first").await;
    deployment.ask(2, "first").await;
    let told = deployment.ask(1, "second").await;
    assert_that!(told.status, eq(503));
    assert_that!(told.again, some(gt(Duration::ZERO)));
    assert_that!(told.took, le(DETOUR));
    assert_that!(deployment.runs("second").len(), eq(0));
}

/// Guards against an instance that connects anyone to anything: only targets that it knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_helper_connects_to_targets_only() {
    let deployment = Deployment::start(2, ENGINES).await;
    for (target, opens) in [
        (deployment.engine(0).addr(), true),
        (deployment.peer_addr(2), false),
    ] {
        let tunnel = Tunnel {
            target,
            left: CONTACT,
            label: String::new(),
            from: String::new(),
        };
        let until = tokio::time::Instant::now() + CONTACT;
        let opened = tunnel::open(deployment.peer_addr(1), &tunnel, until).await;
        assert_that!(opened.is_ok(), eq(opens));
        if let Err(err) = opened {
            assert_that!(err, matches_pattern!(TunnelError::NoHelp(_)));
        }
    }
}
