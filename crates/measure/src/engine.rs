//! A simulated model engine with adapter slots, bounded continuous batching, and a step
//! time that grows with the batch and with the number of distinct adapters in it.

use std::collections::BTreeSet;

use base::AdapterKey;

use crate::workload::{Arrival, Sizes};

/// Fixed milliseconds of a step, before what the batch adds.
const STEP_MS: f64 = 10.0;

/// Milliseconds that each request in the batch adds to a step.
const REQUEST_MS: f64 = 0.25;

/// Milliseconds that each distinct adapter in the batch adds to a step.
const ADAPTER_MS: f64 = 0.5;

/// Milliseconds that the prefill of one prompt token takes.
const PREFILL_MS: f64 = 0.02;

/// Fraction of a prompt that still needs prefill when its prefix is cached.
const CACHED_FRACTION: f64 = 0.3;

/// Number of prompt prefixes that the cache holds.
const CACHED_PREFIXES: usize = 200;

/// Milliseconds by which truncation to whole microseconds shortens a step at most.
const ROUNDING_MS: f64 = 1e-3;

/// Returns a lower bound on the engine milliseconds that a request takes when at most
/// `sharers` requests, itself included, use its adapter at once. The bound is computed in
/// two ways: the fixed time of a step is divided among the places of the batch, or among
/// the adapter slots. The prompt's prefix counts as cached.
pub(crate) fn least_ms(sizes: &Sizes, arrival: &Arrival, sharers: u32) -> [f64; 2] {
    let sharers = f64::from(sharers.clamp(1, sizes.batch));
    let step = STEP_MS * sizes.pace - ROUNDING_MS;
    let own = (REQUEST_MS + ADAPTER_MS / sharers) * sizes.pace;
    let prefill = PREFILL_MS * CACHED_FRACTION * f64::from(arrival.prompt) * sizes.pace;
    let by_place = step / f64::from(sizes.batch);
    let by_slot = step / f64::from(sizes.slots) / sharers;
    [by_place, by_slot].map(|part| f64::from(arrival.tokens) * (part + own) + prefill)
}

/// A request in the engine's queue or batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) key: AdapterKey,
    pub(crate) prompt: u32,
    pub(crate) prefix: u64,
    /// Tokens still to be generated.
    pub(crate) left: u32,
}

/// Result of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Step {
    /// Requests for which a token was generated.
    pub(crate) tokens: Vec<usize>,
    /// Requests that ended.
    pub(crate) ended: Vec<usize>,
}

/// One simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) resident: BTreeSet<AdapterKey>,
    pub(crate) up: bool,
    /// Number of crashes so far; lets the event of a step that a crash aborted be ignored.
    pub(crate) incarnation: u64,
    pub(crate) busy_secs: f64,
    batch: usize,
    pace: f64,
    running: Vec<Job>,
    waiting: Vec<(i32, u64, Job)>,
    arrivals: u64,
    cache: Vec<u64>,
    stepping: bool,
    prefill_ms: f64,
}

impl Engine {
    /// Creates an engine whose steps take `pace` times as long as the reference engine's.
    pub(crate) fn new(batch: usize, pace: f64) -> Self {
        Engine {
            resident: BTreeSet::new(),
            up: true,
            incarnation: 0,
            busy_secs: 0.0,
            batch,
            pace,
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            cache: Vec::new(),
            stepping: false,
            prefill_ms: 0.0,
        }
    }

    /// Queues a request; a lower `priority` goes first.
    pub(crate) fn submit(&mut self, priority: i32, job: Job) {
        self.arrivals += 1;
        self.waiting.push((priority, self.arrivals, job));
        self.waiting.sort_by_key(|(p, n, _)| (*p, *n));
    }

    /// Removes a request; returns it with the number of tokens still to be generated.
    pub(crate) fn cancel(&mut self, id: usize) -> Option<Job> {
        if let Some(at) = self.waiting.iter().position(|(_, _, job)| job.id == id) {
            return Some(self.waiting.remove(at).2);
        }
        let at = self.running.iter().position(|job| job.id == id)?;
        Some(self.running.remove(at))
    }

    /// Counts the requests in the batch or queue that use an adapter.
    pub(crate) fn users(&self, key: AdapterKey) -> usize {
        let waiting = self.waiting.iter().map(|(_, _, job)| job);
        self.running
            .iter()
            .chain(waiting)
            .filter(|job| job.key == key)
            .count()
    }

    /// Goes down and loses its adapters, cache and requests; returns the requests.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.incarnation += 1;
        self.stepping = false;
        self.resident.clear();
        self.cache.clear();
        let waiting = self.waiting.drain(..).map(|(_, _, job)| job);
        self.running.drain(..).chain(waiting).collect()
    }

    /// Starts a step if none is in progress and there is work; returns its length in
    /// microseconds.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        if self.stepping || !self.up {
            return None;
        }
        while self.running.len() < self.batch && !self.waiting.is_empty() {
            let (_, _, job) = self.waiting.remove(0);
            self.prefill(&job);
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let adapters: BTreeSet<_> = self.running.iter().map(|job| job.key).collect();
        let ms = STEP_MS
            + REQUEST_MS * self.running.len() as f64
            + ADAPTER_MS * adapters.len() as f64
            + std::mem::take(&mut self.prefill_ms);
        let ms = ms * self.pace;
        self.stepping = true;
        self.busy_secs += ms / 1e3;
        Some((ms * 1e3) as u64)
    }

    /// Ends the step in progress: each request in the batch has one more token.
    pub(crate) fn end_step(&mut self) -> Step {
        self.stepping = false;
        let mut step = Step::default();
        for job in &mut self.running {
            job.left -= 1;
            step.tokens.push(job.id);
        }
        let ended = self.running.extract_if(.., |job| job.left == 0);
        step.ended = ended.map(|job| job.id).collect();
        step
    }

    fn prefill(&mut self, job: &Job) {
        let cached = self.cache.contains(&job.prefix);
        let part = if cached { CACHED_FRACTION } else { 1.0 };
        self.prefill_ms += PREFILL_MS * f64::from(job.prompt) * part;
        self.cache.retain(|p| *p != job.prefix);
        self.cache.push(job.prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.remove(0);
        }
    }
}
