//! Faults made up from a seed.

use std::panic::{AssertUnwindSafe, catch_unwind};

use base::{Bytes, InstanceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::Input;

use crate::{Cluster, Plan};

/// Faults and proposals in one run.
const STEPS: u32 = 120;

/// How long the cluster may take to agree after the faults, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// What one run came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Proposals accepted.
    pub accepted: usize,
    /// Proposals that ended as unknown.
    pub unknown: usize,
    /// Proposals refused.
    pub refused: usize,
}

/// Says which seed broke a promise, and how.
#[derive(Clone, Debug)]
pub struct Broken {
    /// The seed.
    pub seed: u64,
    /// The promise.
    pub reason: String,
    /// What happened before.
    pub trace: String,
}

/// Returns a plan whose bytes bind before the entries do, now and then. The
/// seed alone decides: one more number drawn would change what all seeds do.
fn sizes(seed: u64) -> Plan {
    if !seed.is_multiple_of(7) {
        return Plan::default();
    }
    Plan {
        compact_bytes: Bytes(560),
        keep_bytes: Bytes(200),
        ..Plan::default()
    }
}

/// Runs random faults from one seed.
///
/// # Errors
///
/// Returns the broken promise with the trace that led to it.
pub fn run(seed: u64) -> Result<Tally, Box<Broken>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan {
        instances: if rng.random_range(0..4) == 0 { 5 } else { 3 },
        compact: rng.random_range(8..60),
        keep: rng.random_range(0..10),
        sync: rng.random_range(1_000..80_000),
        ..sizes(seed)
    };
    let mut cluster = Cluster::new(plan, seed);
    let result = catch_unwind(AssertUnwindSafe(|| play(&mut cluster, &mut rng)));
    match result {
        Ok(()) => Ok(Tally {
            accepted: cluster.history.accepted(),
            unknown: cluster.history.unknown(),
            refused: cluster.history.refused(),
        }),
        Err(panic) => Err(Box::new(Broken {
            seed,
            reason: reason_of(panic.as_ref()),
            trace: cluster.trace(),
        })),
    }
}

fn reason_of(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|raw| (*raw).to_owned()));
    text.unwrap_or_else(|| "a panic without a text".to_owned())
}

fn play(cluster: &mut Cluster, rng: &mut ChaCha8Rng) {
    let calm = rng.random_range(0..3_000);
    cluster.run(calm);
    for _ in 0..STEPS {
        step(cluster, rng);
        let pause = rng.random_range(0..400);
        cluster.run(pause);
    }
    cluster.settle(SETTLE_MS);
}

fn step(cluster: &mut Cluster, rng: &mut ChaCha8Rng) {
    let names = cluster.peers();
    let name = names[rng.random_range(0..names.len())].clone();
    let other = names[rng.random_range(0..names.len())].clone();
    let running = cluster.replica(&name).is_some();
    match rng.random_range(0..32) {
        0..=9 => burst(cluster, rng, &name),
        10 | 11 if running => cluster.kill(&name, rng.random_range(0..200)),
        12..=15 if !running => cluster.start(&name),
        16 => cluster.net.cut(&name, &other),
        17 => cluster.isolate(&name),
        18 | 19 => cluster.net.heal(),
        20 => {
            cluster.net.loss = rng.random_range(0..300);
            cluster.net.doubled = rng.random_range(0..300);
            cluster.net.delay = rng.random_range(1_000..400_000);
        }
        21 if running => cluster.freeze(&name),
        22 | 23 if cluster.frozen(&name) => cluster.thaw(&name),
        24 => cluster.input(&name, Input::TransferLeadership),
        25 => {
            let full = rng.random_range(0..2) == 0;
            cluster.fill(&name, full);
        }
        26 => cluster.fail_sync(&name),
        27 | 28 if cluster.whole() => lose(cluster, rng, &name),
        29 if cluster.whole() => {
            if let Some(leader) = cluster.leader() {
                cluster.remove(&leader, &other);
            }
        }
        _ => revive(cluster, &name),
    }
}

fn burst(cluster: &mut Cluster, rng: &mut ChaCha8Rng, name: &InstanceName) {
    let to = cluster.leader().unwrap_or_else(|| name.clone());
    for _ in 0..rng.random_range(1..8) {
        cluster.propose(&to);
    }
}

/// Loses a folder, wholly or by damage; the cluster is whole before, so the
/// promise is that nothing accepted is lost.
fn lose(cluster: &mut Cluster, rng: &mut ChaCha8Rng, name: &InstanceName) {
    cluster.kill(name, 0);
    if rng.random_range(0..2) == 0 {
        cluster.empty(name);
    } else {
        cluster.damage_middle(name, rng.random_range(0..usize::MAX));
    }
    if rng.random_range(0..2) == 0 {
        cluster.start(name);
    }
}

/// Starts a halted or stopped process again.
fn revive(cluster: &mut Cluster, name: &InstanceName) {
    if !cluster.frozen(name) {
        cluster.recover(name);
    }
}
