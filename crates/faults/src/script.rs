//! The functions that scenario scripts call, in Rhai.
//!
//! | function | what it does |
//! | --- | --- |
//! | `cluster(n, seed)` | starts `n` instances called `a`, `b`, ... |
//! | `run(ms)`, `settle()` | advances the time; ends all faults and checks that all agree |
//! | `leader()`, `follower()`, `leads(x)` | returns the leader, any follower, whether `x` leads |
//! | `propose(x)`, `propose(x, n)` | proposes one command or `n` at an instance |
//! | `accepted()`, `refused()`, `unknown()` | counts the proposals by outcome |
//! | `applied(x)`, `term(x)`, `halted(x)`, `voters(x)` | returns the state of an instance |
//! | `kill(x)`, `tear(x, bytes)` | crashes a process, with a torn write of `bytes` |
//! | `start(x)`, `freeze(x)`, `thaw(x)` | starts, pauses, resumes a process |
//! | `empty(x)`, `damage(x, at)`, `fail_sync(x)` | empties, corrupts the disk; fails a sync |
//! | `fill(x, full)`, `stall(x)` | makes the disk full or frees it; stalls its syncs |
//! | `cut(x, y)`, `mend(x, y)`, `isolate(x)`, `heal()`, `loss(permille)` | partitions and message loss |
//! | `hand_over(x)`, `remove(leader, x)` | leadership transfer and removal of a replica |
//! | `expect(condition, text)` | fails the scenario with `text` if the condition is false |
//! | `covers(mark)` | requires that a coverage mark is reached |

use std::sync::{Arc, Mutex, MutexGuard};

use base::{ExpectedMark, InstanceName};
use replog::{Input, Replica};
use rhai::{Engine, EvalAltResult};

use crate::{Cluster, ClusterConfig};

/// Time within which a cluster must agree after the faults, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Limit on the operations of a script, which ends an endless loop.
const OPERATIONS_MAX: u64 = 10_000_000;

type Shared = Arc<Mutex<Scenario>>;

#[derive(Default)]
struct Scenario {
    cluster: Option<Cluster>,
    marks: Vec<ExpectedMark>,
}

/// Runs a scenario.
///
/// # Errors
///
/// Returns the trace and the text of the failed `expect`, or the script's error.
///
/// # Panics
///
/// Panics if the log violates an invariant, or a coverage mark named by `covers` was not
/// reached.
pub fn run(text: &str) -> Result<(), String> {
    let scenario = Shared::default();
    let mut engine = Engine::new();
    engine.set_max_operations(OPERATIONS_MAX);
    register_run(&mut engine, &scenario);
    register_queries(&mut engine, &scenario);
    register_faults(&mut engine, &scenario);
    register_checks(&mut engine, &scenario);
    let result = engine.run(text);
    let mut scenario = lock(&scenario);
    let trace = scenario
        .cluster
        .as_ref()
        .map_or(String::new(), Cluster::trace);
    let marks = std::mem::take(&mut scenario.marks);
    drop(scenario);
    drop(marks);
    result.map_err(|err| format!("{trace}\n{err}"))
}

fn lock(scenario: &Shared) -> MutexGuard<'_, Scenario> {
    scenario.lock().expect("no other thread")
}

/// Calls `act` on the cluster that the script has started.
fn with_cluster<T>(scenario: &Shared, act: impl FnOnce(&mut Cluster) -> T) -> T {
    let mut scenario = lock(scenario);
    act(scenario.cluster.as_mut().expect("`cluster` comes first"))
}

fn name(raw: &str) -> InstanceName {
    raw.parse().expect("an instance's name")
}

fn register_run(engine: &mut Engine, scenario: &Shared) {
    let shared = Arc::clone(scenario);
    engine.register_fn("cluster", move |n: i64, seed: i64| {
        let config = ClusterConfig {
            instances: n as usize,
            ..ClusterConfig::default()
        };
        lock(&shared).cluster = Some(Cluster::new(config, seed as u64));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("run", move |ms: i64| {
        with_cluster(&shared, |c| c.run(ms as u64))
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("settle", move || {
        with_cluster(&shared, |c| c.settle(SETTLE_MS))
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("propose", move |x: &str| {
        with_cluster(&shared, |c| c.propose(&name(x)));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("propose", move |x: &str, n: i64| {
        with_cluster(&shared, |c| (0..n).for_each(|_| _ = c.propose(&name(x))));
    });
}

fn register_queries(engine: &mut Engine, scenario: &Shared) {
    let shared = Arc::clone(scenario);
    engine.register_fn("leader", move || {
        let leader = with_cluster(&shared, |c| c.leader());
        leader.map_or(String::new(), |name| name.to_string())
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("follower", move || {
        let peers = with_cluster(&shared, |c| (c.leader(), c.peers()));
        let other = peers.1.into_iter().find(|x| Some(x) != peers.0.as_ref());
        other.expect("more than one instance").to_string()
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("leads", move |x: &str| {
        with_cluster(&shared, |c| c.leads(&name(x)))
    });
    let mut count = |function: &str, query: fn(&Cluster) -> usize| {
        let shared = Arc::clone(scenario);
        engine.register_fn(function, move || with_cluster(&shared, |c| query(c) as i64));
    };
    count("accepted", |c| c.history.accepted());
    count("refused", |c| c.history.refused());
    count("unknown", |c| c.history.unknown());
    let shared = Arc::clone(scenario);
    engine.register_fn("applied", move |x: &str| {
        with_cluster(&shared, |c| c.applied(&name(x)).get() as i64)
    });
    let mut query = |function: &str, query: fn(&Replica) -> i64| {
        let shared = Arc::clone(scenario);
        engine.register_fn(function, move |x: &str| {
            with_cluster(&shared, |c| c.replica(&name(x)).map_or(-1, query))
        });
    };
    query("term", |replica| replica.term().get() as i64);
    query("halted", |replica| i64::from(replica.halted().is_some()));
    query("voters", |replica| {
        replica.members().map_or(0, |m| m.voters.len() as i64)
    });
}

fn register_faults(engine: &mut Engine, scenario: &Shared) {
    let mut one = |function: &str, act: fn(&mut Cluster, &InstanceName)| {
        let shared = Arc::clone(scenario);
        engine.register_fn(function, move |x: &str| {
            with_cluster(&shared, |c| act(c, &name(x)));
        });
    };
    one("kill", |c, x| c.crash(x, 0));
    one("start", |c, x| c.start(x));
    one("freeze", |c, x| c.pause(x));
    one("thaw", |c, x| c.resume(x));
    one("empty", |c, x| c.empty_disk(x));
    one("fail_sync", |c, x| c.fail_sync(x));
    one("isolate", |c, x| c.isolate(x));
    one("hand_over", |c, x| c.input(x, Input::TransferLeadership));
    let mut two = |function: &str, act: fn(&mut Cluster, &InstanceName, &InstanceName)| {
        let shared = Arc::clone(scenario);
        engine.register_fn(function, move |x: &str, y: &str| {
            with_cluster(&shared, |c| act(c, &name(x), &name(y)));
        });
    };
    two("cut", |c, x, y| c.net.cut(x, y));
    two("mend", |c, x, y| c.net.restore(x, y));
    two("remove", |c, leader, x| c.remove(leader, x));
    let shared = Arc::clone(scenario);
    engine.register_fn("tear", move |x: &str, bytes: i64| {
        with_cluster(&shared, |c| c.crash(&name(x), bytes as usize));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("damage", move |x: &str, at: i64| {
        with_cluster(&shared, |c| c.corrupt_log(&name(x), at as usize));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("fill", move |x: &str, full: bool| {
        with_cluster(&shared, |c| c.set_disk_full(&name(x), full));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("stall", move |x: &str| {
        with_cluster(&shared, |c| c.stall_syncs(&name(x), true));
    });
    let shared = Arc::clone(scenario);
    engine.register_fn("heal", move || with_cluster(&shared, |c| c.net.heal()));
    let shared = Arc::clone(scenario);
    engine.register_fn("loss", move |permille: i64| {
        with_cluster(&shared, |c| c.net.loss = permille as u32);
    });
}

fn register_checks(engine: &mut Engine, scenario: &Shared) {
    engine.register_fn(
        "expect",
        |holds: bool, text: &str| -> Result<(), Box<EvalAltResult>> {
            if holds {
                return Ok(());
            }
            Err(text.into())
        },
    );
    let shared = Arc::clone(scenario);
    engine.register_fn("covers", move |mark: &str| {
        // A mark needs a `'static` name. The leak is bounded by the number of marks in the
        // scenarios.
        let mark: &'static str = String::leak(mark.to_owned());
        lock(&shared).marks.push(ExpectedMark::new(mark));
    });
}
