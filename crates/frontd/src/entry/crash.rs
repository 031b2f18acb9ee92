//! Finds out whether a target has crashed after connections to it broke.
//!
//! A broken connection alone doesn't say: a network resets connections, and a target may
//! lose an answer and go on. A target that crashed no longer listens.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::Fingerprint;
use telemetry::{event, prom_metrics};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use super::state::State;

/// Time between the first broken connection to a target and the check: the others break
/// within some milliseconds, and a process closes its listener last.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Time-out of the check's connection. A target that doesn't answer within it may be cut
/// off.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Most runs that are remembered for one check.
const MAX_RUNS: usize = 512;

/// A run whose connection to its target broke.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    /// The caller's id of the request.
    pub(super) request: String,
    pub(super) fingerprint: Fingerprint,
    /// Time from the send to the end.
    pub(super) ran: Duration,
}

/// Runs that ended at targets that are being checked, by target.
pub(super) type BrokenRuns = BTreeMap<String, Vec<BrokenRun>>;

/// What became of a target whose connections broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It no longer listens.
    Crashed,
    /// It still answers.
    Running,
    /// It can't be reached: it may be cut off.
    Silent,
}

impl Fate {
    fn as_str(self) -> &'static str {
        match self {
            Fate::Crashed => "crashed",
            Fate::Running => "running",
            Fate::Silent => "silent",
        }
    }
}

impl fmt::Display for Fate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Notes that the connection of a run at `target` broke. The first one starts a check of
/// the target.
pub(super) fn run_broke(state: &Arc<State>, target: &str, run: BrokenRun) {
    let addr = state.view().addr(target).map(str::to_owned);
    let Some(addr) = addr.and_then(|addr| addr.parse().ok()) else {
        return;
    };
    let first = match state.broken_runs().entry(target.to_owned()) {
        Entry::Vacant(none) => {
            none.insert(vec![run]);
            true
        }
        Entry::Occupied(mut runs) => {
            if runs.get().len() < MAX_RUNS {
                runs.get_mut().push(run);
            }
            false
        }
    };
    if first {
        tokio::spawn(check(Arc::clone(state), target.to_owned(), addr));
    }
}

async fn check(state: Arc<State>, target: String, addr: SocketAddr) {
    sleep(CHECK_DELAY).await;
    let fate = fate(addr).await;
    let runs = state.broken_runs().remove(&target).unwrap_or_default();
    prom_metrics().broken_runs(fate.as_str(), runs.len());
    for run in runs {
        event!(
            telemetry::Event::RunBroken,
            request = run.request,
            fingerprint = run.fingerprint.to_string(),
            target = target,
            fate = fate.as_str(),
            ran_ms = run.ran.as_millis()
        );
    }
}

/// Returns what became of the target that listened at `addr`.
async fn fate(addr: SocketAddr) -> Fate {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Fate::Running,
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Fate::Crashed,
        Ok(Err(_)) | Err(_) => Fate::Silent,
    }
}
