//! The batch of an engine: a bounded number of requests run, those of highest priority first.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::watch;

/// Priority (the smallest runs first), then number of arrival.
type Rank = (i64, u64);

#[derive(Debug)]
pub(crate) struct Batch {
    size: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: u64,
    preempted: u64,
    entries: BTreeMap<Rank, watch::Sender<bool>>,
}

impl Batch {
    pub(crate) fn new(size: usize) -> Self {
        Batch {
            size,
            state: Mutex::default(),
        }
    }

    /// Adds a request, which runs while it is among the `size` requests of lowest rank.
    pub(crate) fn join(self: &Arc<Self>, priority: i64) -> BatchEntry {
        let (tx, turn) = watch::channel(false);
        let mut state = self.lock();
        state.arrivals += 1;
        let rank = (priority, state.arrivals);
        state.entries.insert(rank, tx);
        state.assign_slots(self.size);
        drop(state);
        BatchEntry {
            batch: Arc::clone(self),
            rank,
            turn,
        }
    }

    /// Returns how many requests are present, and how many of them run.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let present = self.lock().entries.len();
        (present as u64, present.min(self.size) as u64)
    }

    pub(crate) fn preempted(&self) -> u64 {
        self.lock().preempted
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn assign_slots(&mut self, size: usize) {
        for (i, turn) in self.entries.values().enumerate() {
            let runs = i < size;
            let ran = turn.send_replace(runs);
            self.preempted += u64::from(ran && !runs);
        }
    }
}

/// A request in the batch; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct BatchEntry {
    batch: Arc<Batch>,
    rank: Rank,
    turn: watch::Receiver<bool>,
}

impl BatchEntry {
    /// Waits until the request runs.
    pub(crate) async fn turn(&mut self) {
        // The sender is dropped only with this entry, so the wait can't fail.
        let _ = self.turn.wait_for(|runs| *runs).await;
    }
}

impl Drop for BatchEntry {
    fn drop(&mut self) {
        let mut state = self.batch.lock();
        state.entries.remove(&self.rank);
        state.assign_slots(self.batch.size);
    }
}
