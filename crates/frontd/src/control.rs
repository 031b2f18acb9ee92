//! A control instance: a replica of the log with the state machine over it, the owner of
//! zones, which gives orders to their engines, and, while it leads the log, the instance
//! that assigns zones.

mod operators;
mod shell;

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, Result};
use base::{Incarnation, InstanceName, Machine, Seed};
use control::{Checked, Control};
use daemon::{Capacity, Clock, listen};
use disk::Journal;
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use replog::{RawSettings, Replica};
use telemetry::event;
use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;
use web::{body::Body, memory::Memory, reply, server};
use wire::call::{Call, Reply};

pub use self::operators::{CallOutcome, Operators};
use self::shell::{End, Job, Shell};
use crate::{Platform, names};

/// Time-out of the hand-over of leadership in a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Entries between two snapshots. An edition of some hundred routes has 100 KB; with this
/// limit the log stays below a tenth of a disk of 128 MB. With larger editions the log's
/// default limit in bytes is reached first.
const COMPACT_ENTRIES: u64 = 64;

/// Entries kept behind a snapshot for replicas that lag.
const KEEP_ENTRIES: u64 = 16;

/// Interval between two heartbeats of the leader. Instances are two milliseconds apart,
/// so they hear each other within a tenth of it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Election time-out. Without a leader nothing is loaded and no change is accepted, so it
/// is half of the log's default; it still takes five missed heartbeats.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a voter may be unresponsive before it is removed from the voters: longer than
/// the usual network cut or freeze of some seconds.
const RETIRE_AFTER: Duration = Duration::from_secs(9);

/// Added to a refused incarnation number to get the next one, in microseconds. Clocks are
/// stepped back by seconds, and a refusal takes some ten milliseconds, so a few refusals
/// overtake the known incarnation.
const INCARNATION_STEP: u64 = 1_000_000;

/// Parts of sixteen of the descriptors for connections of operators.
const OPERATOR_PARTS: u32 = 2;

/// Operators' requests may take one of so many parts of the memory.
const OPERATOR_SHARE: u64 = 3;

/// Parts of sixteen of the descriptors for connections of other instances.
const PEER_PARTS: u32 = 8;

/// Messages of other instances may take one of so many parts of the memory.
const PEER_SHARE: u64 = 5;

/// Name of the journal of streams that have begun.
const STREAM_JOURNAL: &str = "streams";

/// Delay before the data folder is opened again after a disk failure.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Parameters of a control instance, from the settings of its machine.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Address of this instance; also its identity, see [`crate::instance_name`].
    pub ip: IpAddr,
    /// Where operators connect.
    pub listen: SocketAddr,
    /// Port on which instances listen for each other; the same on all of them.
    pub peer_port: u16,
    /// Folder of the log and its snapshots.
    pub data_dir: PathBuf,
    /// Whether the deployment starts for the first time, so that an empty folder may
    /// found a new log.
    pub bootstrap: bool,
    /// Availability zone of this instance.
    pub zone: String,
    /// All availability zones of the deployment.
    pub zones: BTreeSet<String>,
    /// Least time between the last order of one zone owner and the first of the next.
    pub takeover_delay: Duration,
    /// How old the platform's list of targets may be when it is read.
    pub list_lag: Duration,
    /// What the process may use.
    pub machine: Machine,
}

/// Serves until a planned stop has ended. `answer` answers requests of operators.
///
/// # Errors
///
/// Fails when an address can't be listened on or the data folder can't be used.
pub async fn serve<H, F>(setup: Setup, platform: Platform, answer: H) -> Result<()>
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
        limits(Capacity::of(setup.machine, OPERATOR_PARTS, OPERATOR_SHARE)),
        handler,
        stop.clone(),
    ));
    let at_peers = jobs.clone();
    let capacity = Capacity::of(setup.machine, PEER_PARTS, PEER_SHARE);
    let memory = capacity.memory.clone();
    let handler = move |req| serve_peer(at_peers.clone(), memory.clone(), req);
    tokio::spawn(server::serve(
        listen(SocketAddr::new(setup.ip, setup.peer_port)).await?,
        limits(capacity),
        handler,
        CancellationToken::new(),
    ));
    event!(telemetry::Event::Started, listen = setup.listen.to_string());
    run_incarnations(&setup, &platform, &jobs, queue).await?;
    stop.cancel();
    served.await.context("the operators' listener failed")??;
    event!(telemetry::Event::Stopped, running = 0);
    Ok(())
}

/// Runs incarnations of the replica one after the other.
///
/// Failure: a replica that was unresponsive for long was removed from the voters, or its
/// disk failed a write. It has to come back under a new identity, or with what its disk
/// really holds. A restart of the process would do both; this does it without closing the
/// listeners.
async fn run_incarnations(
    setup: &Setup,
    platform: &Platform,
    jobs: &mpsc::UnboundedSender<Job>,
    mut queue: mpsc::UnboundedReceiver<Job>,
) -> Result<()> {
    let clock = Clock::start();
    let mut last = Incarnation(0);
    loop {
        last = next_incarnation(daemon::wall_clock()?, last);
        let mut shell = open(setup, platform, jobs, clock, last)?;
        let end = shell.run(&mut queue).await;
        drop(shell);
        match end {
            End::Stopped => return Ok(()),
            End::Removed => clear_folder(&setup.data_dir)?,
            End::DiskFailed => sleep(REOPEN_DELAY).await,
        }
    }
}

fn open(
    setup: &Setup,
    platform: &Platform,
    jobs: &mpsc::UnboundedSender<Job>,
    clock: Clock,
    incarnation: Incarnation,
) -> Result<Shell> {
    let name = names::instance_name(setup.ip);
    let opened = disk::open(&setup.data_dir, &name, incarnation)?;
    daemon::log_folder_state(&opened.outcome);
    let seeds = (platform.read_seeds)().unwrap_or_default();
    let peers = seeds.into_iter().map(names::instance_name).collect();
    let raw = RawSettings {
        admit_any: true,
        may_found: setup.bootstrap,
        remove_after: Some(RETIRE_AFTER),
        heartbeat: HEARTBEAT_INTERVAL,
        election: ELECTION_TIMEOUT,
        compact: COMPACT_ENTRIES,
        keep: KEEP_ENTRIES,
        ..RawSettings::with_defaults(opened.folder.id().clone(), peers, Seed(rand::random()))
    };
    let replica = Replica::new(raw.try_into()?, opened.restored);
    let control = Control::new(
        control::Config::default(),
        replica,
        Box::new(reject_brand_text),
    );
    let kept = match Journal::open(&setup.data_dir, STREAM_JOURNAL) {
        Ok((journal, records)) => (Some(journal), records),
        Err(err) => {
            event!(telemetry::Event::JournalFailed, why = err.to_string());
            (None, Vec::new())
        }
    };
    let at_disk = jobs.clone();
    let writer = daemon::start_writer(opened.folder, move |input| {
        // Once the shell has ended no one waits for the result.
        at_disk.send(Job::Input(input)).ok();
    })?;
    Ok(Shell::new(
        control,
        setup,
        writer,
        kept,
        clock,
        platform.clone(),
        jobs.clone(),
    ))
}

/// Rejects texts of brands: operators of this deployment publish full configurations
/// instead.
fn reject_brand_text(_: &str) -> Result<Checked, Vec<String>> {
    Err(vec![String::from(
        "this deployment takes full configurations, not texts of brands",
    )])
}

/// Returns the incarnation number for an empty folder.
///
/// Failure: a disk is lost while the wall clock is stepped back by seconds. The members
/// know a later incarnation of this instance and refuse the new one until the clock has
/// caught up. Therefore each refusal adds a step to the next incarnation.
fn next_incarnation(clock: Duration, last: Incarnation) -> Incarnation {
    let clock = u64::try_from(clock.as_micros()).unwrap_or(u64::MAX);
    Incarnation(clock.max(last.get().saturating_add(INCARNATION_STEP)))
}

fn clear_folder(data: &Path) -> Result<()> {
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

fn limits(capacity: Capacity) -> server::Limits {
    server::Limits {
        body_bytes: 64 << 20,
        connections: capacity.connections,
        memory: capacity.memory,
        linger: Duration::from_millis(300),
        drain: Duration::from_secs(3),
        ..server::Limits::default()
    }
}

async fn serve_peer(
    jobs: mpsc::UnboundedSender<Job>,
    memory: Memory,
    req: Request<Incoming>,
) -> Response<Body> {
    if !peer::wants_upgrade(&req) {
        return reply::failure(&base::Failure::not_run(base::Refusal::NotFound));
    }
    let handler = move |_: InstanceName, call| forward_call(jobs.clone(), call);
    let upgrade = peer::accept(req, memory, handler);
    upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync())
}

async fn forward_call(jobs: mpsc::UnboundedSender<Job>, call: Call) -> Reply {
    let (to, reply) = tokio::sync::oneshot::channel();
    jobs.send(Job::Call { call, to }).ok();
    reply.await.unwrap_or(Reply::Redirect { leader: None })
}

#[cfg(test)]
#[path = "../tests/unit/control.rs"]
mod tests;
