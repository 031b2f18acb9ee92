//! State and statistics of an engine.

use std::{
    collections::{BTreeMap, VecDeque},
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Result;
use base::{Fence, Incarnation};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use wire::engine::Resident;

use super::{Config, batch::Batch, report::Reports};
use crate::{gate::Gate, server::Running, stall::Stalled};

pub(crate) struct Engine {
    pub(crate) config: Config,
    pub(crate) batch: Arc<Batch>,
    pub(crate) client: web::client::Client,
    state: Mutex<State>,
    pub(crate) reports: Mutex<Reports>,
    gate: Mutex<Option<(Gate, Running)>>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) incarnation: Incarnation,
    /// Cancelled when this incarnation of the engine ends.
    pub(crate) ending: CancellationToken,
    /// Loaded adapters and their use.
    pub(crate) resident: BTreeMap<Resident, AdapterUse>,
    /// Loads in progress, each of which reserves a slot.
    pub(crate) loading: usize,
    /// Highest fencing number seen in this incarnation.
    pub(crate) fence: Option<Fence>,
    /// Hashes of the prompt heads in the prefix cache, oldest first.
    pub(crate) cached: VecDeque<u64>,
    pub(crate) faults: Faults,
    pub(crate) stats: Stats,
}

/// The requests that use a loaded adapter.
#[derive(Debug, Default)]
pub(crate) struct AdapterUse {
    pub(crate) running: u32,
    /// Cancelled when the adapter is unloaded.
    pub(crate) unloaded: CancellationToken,
}

/// Faults requested by `POST /admin/...`.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Loads that are still to fail.
    pub(crate) fail_loads: u32,
    /// Until when no token is generated.
    pub(crate) stalled: Stalled,
    /// Delay before a completion starts.
    pub(crate) delay: Duration,
    /// Streams that are still to be cut.
    pub(crate) cuts: u32,
    /// Number of tokens after which a stream is cut.
    pub(crate) cut_after: usize,
    /// Answers that are still to name a wrong adapter version.
    pub(crate) wrong_adapter: u32,
}

/// Statistics of an engine, as `GET /admin/stats` returns them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Completions started.
    pub started: u64,
    /// Completions that ran to their end.
    pub finished: u64,
    /// Completions that ended early: the caller disconnected, the stream was cut, or the
    /// adapter or the incarnation was gone.
    pub cancelled: u64,
    /// Completions refused before they started.
    pub refused: u64,
    /// Completions that run or are queued now.
    pub present: u64,
    /// Completions that run now.
    pub running: u64,
    /// Times a running completion was preempted by one of higher priority.
    pub preempted: u64,
    /// Unloads of an adapter that a request was using; must stay 0.
    pub unloads_in_use: u64,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u64>,
    /// Orders in the order of their answers.
    pub orders: Vec<Order>,
    /// The `traceparent` headers of completions in the order of arrival.
    pub traces: Vec<String>,
}

/// An order to load or unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// `load` or `unload`.
    pub kind: String,
    /// `adapter@version`.
    pub adapter: String,
    /// Fencing number of the order, if it had one.
    pub fence: Option<u64>,
    /// HTTP status of the answer.
    pub status: u16,
}

impl Engine {
    pub(crate) fn new(config: Config) -> Result<Self> {
        let mut state = State::default();
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.unwrap_or_default().as_micros();
        state.incarnation = Incarnation(u64::try_from(micros).unwrap_or_default());
        for name in &config.resident {
            state
                .resident
                .insert(Resident::from_str(name)?, AdapterUse::default());
        }
        Ok(Engine {
            batch: Arc::new(Batch::new(config.batch)),
            client: web::client::Client::default(),
            state: Mutex::new(state),
            reports: Mutex::default(),
            gate: Mutex::default(),
            config,
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn stats(&self) -> Stats {
        let mut stats = self.state().stats.clone();
        (stats.present, stats.running) = self.batch.counts();
        stats.preempted = self.batch.preempted();
        stats
    }

    /// Keeps the gate in front of the engine, and returns a handle that stops both.
    pub(crate) fn attach_gate(&self, gate: Gate, inner: Running) -> Running {
        let addr = gate.addr;
        let stop = gate.stop_token();
        *self.gate.lock().unwrap_or_else(PoisonError::into_inner) = Some((gate, inner));
        Running::new(addr, stop)
    }

    /// Makes the present connections silent shortly after, or for `time` the present and the
    /// new ones; returns false if there is no gate.
    pub(crate) fn freeze_connections(&self, time: Option<Duration>) -> bool {
        let gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        let frozen = gate.as_ref().map(|(gate, _)| gate.silence_soon(time));
        frozen.is_some()
    }

    /// Starts a new incarnation without adapters.
    pub(crate) fn restart_empty(&self) {
        let mut state = self.state();
        state.ending.cancel();
        state.ending = CancellationToken::new();
        state.incarnation = state.incarnation.next();
        state.resident.clear();
        state.cached.clear();
        state.fence = None;
    }
}
