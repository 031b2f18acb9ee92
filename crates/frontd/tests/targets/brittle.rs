//! Engines that fall over when they have to refuse too many requests.

use std::time::Instant;

use googletest::prelude::*;

use crate::{CONTACT, callers::ask_until, deployment::Deployment, engine::Brittle};

const ENTRIES: u8 = 3;
const ENGINES: usize = 2;

/// Room of an engine: all engines together take half of what callers ask for.
const BRITTLE: Brittle = Brittle { room: 4, bears: 3 };

/// Guards against instances that together make a brittle engine refuse more than it bears.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_engines_do_not_fall_over() {
    let deployment = Deployment::start(ENTRIES, ENGINES).await;
    for no in 0..ENGINES {
        deployment.engine(no).make_brittle(BRITTLE);
    }
    let begun = Instant::now();
    let told = ask_until(&deployment, 1..=ENTRIES, begun + 3 * CONTACT).await;
    let late = deployment.crashes().into_iter();
    let late = late.filter(|at| *at > begun + CONTACT).count();
    assert_that!(late, eq(0));
    let served = told.iter().filter(|told| told.status == 200).count();
    assert_that!(served, ge(60));
}
