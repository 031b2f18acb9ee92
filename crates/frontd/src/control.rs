//! A control instance: replica of the log, state over it, and, while it leads,
//! the holder of orders to engines.

mod operators;
mod shell;

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, Result};
use base::{Incarnation, InstanceName, Seed};
use control::{Checked, Control};
use daemon::{Clock, listen};
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use replog::{RawSettings, Replica};
use telemetry::event;
use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;
use web::{body::Body, reply, server};
use wire::call::{Call, Reply};

pub use self::operators::{Named, Operators};
use self::shell::{End, Job, Shell};
use crate::{Outside, names};

/// How long leadership may take to be handed over in a planned stop.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// Entries between two snapshots. An edition of some hundred routes has 100 KB;
/// the log then stays below a tenth of a disk of 128 MB. With larger editions
/// the log's usual bytes bind first.
const COMPACT: u64 = 64;

/// Entries kept behind a snapshot for replicas that lag.
const KEEP: u64 = 16;

/// Time between two heartbeats of the leader: two milliseconds apart, instances
/// hear each other within a tenth of this.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// How long a leader may be silent before another is elected. Without a leader
/// nothing is loaded and no change is taken, so half of the log's usual time;
/// five heartbeats still have to be missed.
const ELECTION: Duration = Duration::from_millis(500);

/// How long a voter may be silent before it is removed; longer than the usual
/// cut or freeze of some seconds.
const RETIRE: Duration = Duration::from_secs(9);

/// What a life that was refused adds to the next one, in microseconds: clocks are
/// stepped by seconds, and a refusal takes some ten milliseconds.
const LIFE_STEP: u64 = 1_000_000;

/// Rest before the folder is opened again after its disk failed.
const REOPEN: Duration = Duration::from_millis(500);

/// What a control instance is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its address.
    pub ip: IpAddr,
    /// Where operators connect.
    pub listen: SocketAddr,
    /// The port for other instances, the same everywhere.
    pub peers: u16,
    /// Folder of log and snapshots.
    pub data: PathBuf,
    /// Whether the deployment starts for the first time.
    pub first: bool,
    /// Its availability zone.
    pub zone: String,
    /// All availability zones.
    pub zones: BTreeSet<String>,
    /// How long after the last order of one holder another may give its first.
    pub turns: Duration,
    /// How old the platform's list may be when it is asked for.
    pub list_lag: Duration,
}

/// Serves until a planned stop has ended. `answer` translates what operators
/// ask.
///
/// # Errors
///
/// Fails when an address can't be listened on or the data folder not be used.
pub async fn serve<H, F>(setup: Setup, outside: Outside, answer: H) -> Result<()>
where
    H: Fn(Operators, Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (jobs, queue) = mpsc::unbounded_channel();
    let stopping = daemon::stop_signal()?;
    let stopper = jobs.clone();
    tokio::spawn(async move {
        stopping.await;
        stopper.send(Job::Stop).ok();
    });
    let stop = CancellationToken::new();
    let operators = Operators::new(jobs.clone());
    let handler = move |req| answer(operators.clone(), req);
    let served = tokio::spawn(server::serve(
        listen(setup.listen).await?,
        limits(),
        handler,
        stop.clone(),
    ));
    let at_peers = jobs.clone();
    let handler = move |req| at_peer(at_peers.clone(), req);
    tokio::spawn(server::serve(
        listen(SocketAddr::new(setup.ip, setup.peers)).await?,
        limits(),
        handler,
        CancellationToken::new(),
    ));
    event!(telemetry::Event::Started, listen = setup.listen.to_string());
    live(&setup, &outside, &jobs, queue).await?;
    stop.cancel();
    served.await.context("the operators' listener failed")??;
    event!(telemetry::Event::Stopped, running = 0);
    Ok(())
}

/// Runs one life of the replica after the other.
///
/// Failure: a replica that was silent for long was removed from the voters, or
/// its disk refused a write. It has to come back under a new identity or with
/// what its disk really holds. Both are what a restart of the process would
/// do, without losing the listeners.
async fn live(
    setup: &Setup,
    outside: &Outside,
    jobs: &mpsc::UnboundedSender<Job>,
    mut queue: mpsc::UnboundedReceiver<Job>,
) -> Result<()> {
    let clock = Clock::start();
    let mut last = Incarnation(0);
    loop {
        last = next_life(daemon::wall_clock()?, last);
        let mut shell = open(setup, outside, jobs, clock, last)?;
        let end = shell.run(&mut queue).await;
        drop(shell);
        match end {
            End::Stopped => return Ok(()),
            End::Removed => empty(&setup.data)?,
            End::DiskFailed => sleep(REOPEN).await,
        }
    }
}

fn open(
    setup: &Setup,
    outside: &Outside,
    jobs: &mpsc::UnboundedSender<Job>,
    clock: Clock,
    life: Incarnation,
) -> Result<Shell> {
    let name = names::instance(setup.ip);
    let opened = disk::open(&setup.data, &name, life)?;
    daemon::report_fate(&opened.outcome);
    let seeds = (outside.seeds)().unwrap_or_default();
    let peers = seeds.into_iter().map(names::instance).collect();
    let raw = RawSettings {
        admit_any: true,
        may_found: setup.first,
        remove_after: Some(RETIRE),
        heartbeat: HEARTBEAT,
        election: ELECTION,
        compact: COMPACT,
        keep: KEEP,
        ..RawSettings::with_defaults(opened.folder.id().clone(), peers, Seed(rand::random()))
    };
    let replica = Replica::new(raw.try_into()?, opened.restored);
    let control = Control::new(control::Config::default(), replica, Box::new(no_text));
    let at_disk = jobs.clone();
    let writer = daemon::start_writer(opened.folder, move |input| {
        // After the shell has ended nobody waits for it.
        at_disk.send(Job::Input(input)).ok();
    })?;
    Ok(Shell::new(
        control,
        setup,
        writer,
        clock,
        outside.clone(),
        jobs.clone(),
    ))
}

/// Texts of brands play no part in such a deployment.
fn no_text(_: &str) -> Result<Checked, Vec<String>> {
    Err(vec![String::from(
        "this deployment is driven by whole configurations",
    )])
}

/// Returns the life that an empty folder gets next.
///
/// Failure: a disk is lost while the wall clock is stepped back by seconds. The
/// members know a later life of this instance and refuse the new one until the
/// clock has caught up. Each refusal therefore adds to the next life.
fn next_life(clock: Duration, last: Incarnation) -> Incarnation {
    let clock = u64::try_from(clock.as_micros()).unwrap_or(u64::MAX);
    Incarnation(clock.max(last.get().saturating_add(LIFE_STEP)))
}

fn empty(data: &Path) -> Result<()> {
    for entry in std::fs::read_dir(data)? {
        let path = entry?.path();
        if path.is_dir() {
            std::fs::remove_dir_all(&path)?;
        } else {
            std::fs::remove_file(&path)?;
        }
    }
    Ok(())
}

fn limits() -> server::Limits {
    server::Limits {
        body_bytes: 64 << 20,
        linger: Duration::from_millis(300),
        drain: Duration::from_secs(3),
        ..server::Limits::default()
    }
}

async fn at_peer(jobs: mpsc::UnboundedSender<Job>, req: Request<Incoming>) -> Response<Body> {
    if !peer::wants_upgrade(&req) {
        return reply::failure(&base::Failure::not_run(base::Refusal::NotFound));
    }
    let handler = move |_: InstanceName, call| take(jobs.clone(), call);
    let upgrade = peer::accept(req, handler);
    upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync())
}

async fn take(jobs: mpsc::UnboundedSender<Job>, call: Call) -> Reply {
    let (to, reply) = tokio::sync::oneshot::channel();
    jobs.send(Job::Call { call, to }).ok();
    reply.await.unwrap_or(Reply::Elsewhere { leader: None })
}

#[cfg(test)]
#[path = "../tests/unit/control.rs"]
mod tests;
