//! Random faults, generated from a seed.

use std::panic::{AssertUnwindSafe, catch_unwind};

use base::{Bytes, InstanceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::Input;

use crate::{Cluster, ClusterConfig};

/// Faults and proposals in one run.
const STEPS: u32 = 120;

/// How long the cluster may take to agree after the faults, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Proposals of one run by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Accepted proposals.
    pub accepted: usize,
    /// Proposals with an unknown outcome.
    pub unknown: usize,
    /// Refused proposals.
    pub refused: usize,
}

/// A violated invariant, with the seed that reproduces it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Message of the failed check.
    pub reason: String,
    /// Last lines of the trace before the failure.
    pub trace: String,
}

/// Returns a configuration in which, for one seed in seven, the limits on bytes are reached
/// before those on entries.
///
/// The seed itself decides: drawing one more random number would change the runs of all
/// seeds.
fn byte_limits(seed: u64) -> ClusterConfig {
    if !seed.is_multiple_of(7) {
        return ClusterConfig::default();
    }
    ClusterConfig {
        compact_bytes: Bytes(560),
        keep_bytes: Bytes(200),
        ..ClusterConfig::default()
    }
}

/// Runs a cluster with random faults from one seed.
///
/// # Errors
///
/// Returns the violated invariant with the trace that led to it.
pub fn run(seed: u64) -> Result<Tally, Box<Violation>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let config = ClusterConfig {
        instances: if rng.random_range(0..4) == 0 { 5 } else { 3 },
        compact: rng.random_range(8..60),
        keep: rng.random_range(0..10),
        sync: rng.random_range(1_000..80_000),
        ..byte_limits(seed)
    };
    let mut cluster = Cluster::new(config, seed);
    let result = catch_unwind(AssertUnwindSafe(|| inject_faults(&mut cluster, &mut rng)));
    match result {
        Ok(()) => Ok(Tally {
            accepted: cluster.history.accepted(),
            unknown: cluster.history.unknown(),
            refused: cluster.history.refused(),
        }),
        Err(panic) => Err(Box::new(Violation {
            seed,
            reason: reason_of(panic.as_ref()),
            trace: cluster.trace(),
        })),
    }
}

fn reason_of(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|raw| (*raw).to_owned()));
    text.unwrap_or_else(|| "a panic without a message".to_owned())
}

fn inject_faults(cluster: &mut Cluster, rng: &mut ChaCha8Rng) {
    let warm_up = rng.random_range(0..3_000);
    cluster.run(warm_up);
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
        0..=9 => propose_burst(cluster, rng, &name),
        10 | 11 if running => cluster.crash(&name, rng.random_range(0..200)),
        12..=15 if !running => cluster.start(&name),
        16 => cluster.net.cut(&name, &other),
        17 => cluster.isolate(&name),
        18 | 19 => cluster.net.heal(),
        20 => {
            cluster.net.loss = rng.random_range(0..300);
            cluster.net.duplicated = rng.random_range(0..300);
            cluster.net.delay = rng.random_range(1_000..400_000);
        }
        21 if running => cluster.pause(&name),
        22 | 23 if cluster.is_paused(&name) => cluster.resume(&name),
        24 => cluster.input(&name, Input::TransferLeadership),
        25 => {
            let full = rng.random_range(0..2) == 0;
            cluster.set_disk_full(&name, full);
        }
        26 => cluster.fail_sync(&name),
        27 | 28 if cluster.all_voters_running() => lose_disk(cluster, rng, &name),
        29 if cluster.all_voters_running() => {
            if let Some(leader) = cluster.leader() {
                cluster.remove(&leader, &other);
            }
        }
        _ => restart(cluster, &name),
    }
}

fn propose_burst(cluster: &mut Cluster, rng: &mut ChaCha8Rng, name: &InstanceName) {
    let to = cluster.leader().unwrap_or_else(|| name.clone());
    for _ in 0..rng.random_range(1..8) {
        cluster.propose(&to);
    }
}

/// Crashes a process and empties or damages its log. All voters run before, so no accepted
/// proposal may be lost.
fn lose_disk(cluster: &mut Cluster, rng: &mut ChaCha8Rng, name: &InstanceName) {
    cluster.crash(name, 0);
    if rng.random_range(0..2) == 0 {
        cluster.empty_disk(name);
    } else {
        cluster.corrupt_log(name, rng.random_range(0..usize::MAX));
    }
    if rng.random_range(0..2) == 0 {
        cluster.start(name);
    }
}

/// Ends the faults of an instance and restarts its process, unless it is paused.
fn restart(cluster: &mut Cluster, name: &InstanceName) {
    if !cluster.is_paused(name) {
        cluster.recover(name);
    }
}
