//! Entry instances that are cut off from all engines.

use std::time::Instant;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{CONTACT, callers::ask_until, deployment::Deployment, links::Cut};

/// Entry instances of a deployment, and engines.
const ENTRIES: u8 = 3;
const ENGINES: usize = 3;

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

base::cases! {
    /// Callers of an instance that has lost its links to all engines must be served nearly as
    /// often as those of the others.
    callers_of_an_instance_without_links_to_engines_are_served: check => {
        links_hang: Case { cut: &[1], how: Cut::Hangs },
        links_are_reset: Case { cut: &[1], how: Cut::Resets },
        new_connections_are_refused: Case { cut: &[1], how: Cut::RefusesNew },
    }
}
