//! A simulated weight store: up to a limit, loads run at full speed; beyond it they share
//! the bandwidth evenly.

use base::{AdapterKey, TargetNo, Time};

/// Remaining seconds up to which a load counts as done; absorbs rounding errors.
const DONE_TOLERANCE: f64 = 1e-6;

/// A load in progress.
#[derive(Clone, Copy, Debug)]
struct Job {
    target: TargetNo,
    key: AdapterKey,
    /// Seconds that the load still takes at full speed.
    left: f64,
}

/// The simulated weight store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    jobs: Vec<Job>,
    /// Number of concurrent loads that run at full speed.
    parallel: f64,
    /// Seconds that one load takes at full speed.
    load_secs: f64,
    at: Time,
    /// Number of loads started.
    pub(crate) started: u64,
}

impl Store {
    /// Creates a store that serves `rate` loads per second, with up to `parallel` concurrent
    /// loads at full speed.
    pub(crate) fn new(rate: f64, parallel: u32) -> Self {
        let parallel = f64::from(parallel);
        Store {
            jobs: Vec::new(),
            parallel,
            load_secs: parallel / rate,
            at: Time::ZERO,
            started: 0,
        }
    }

    pub(crate) fn start(&mut self, now: Time, target: TargetNo, key: AdapterKey) {
        self.advance(now);
        self.started += 1;
        self.jobs.push(Job {
            target,
            key,
            left: self.load_secs,
        });
    }

    /// Drops the loads to an engine that went down.
    pub(crate) fn drop_target(&mut self, now: Time, target: TargetNo) {
        self.advance(now);
        self.jobs.retain(|job| job.target != target);
    }

    /// Counts the loads in progress to an engine.
    pub(crate) fn in_progress(&self, target: TargetNo) -> usize {
        self.jobs.iter().filter(|job| job.target == target).count()
    }

    /// Returns when the next load ends.
    pub(crate) fn next_at(&self) -> Option<Time> {
        let left = self
            .jobs
            .iter()
            .map(|job| job.left)
            .min_by(f64::total_cmp)?;
        let micros = (left.max(0.0) / self.speed() * 1e6).ceil() as u64;
        Some(Time(self.at.0 + micros))
    }

    /// Removes and returns the loads that have ended.
    pub(crate) fn take_done(&mut self, now: Time) -> Vec<(TargetNo, AdapterKey)> {
        self.advance(now);
        let done = self.jobs.extract_if(.., |job| job.left <= DONE_TOLERANCE);
        done.map(|job| (job.target, job.key)).collect()
    }

    /// Returns the highest number of loads that the store can complete in `secs` seconds.
    pub(crate) fn max_loads(&self, secs: f64) -> f64 {
        secs * self.parallel / self.min_load_secs()
    }

    /// Returns the shortest time in seconds that a load can take.
    pub(crate) fn min_load_secs(&self) -> f64 {
        self.load_secs - DONE_TOLERANCE
    }

    fn speed(&self) -> f64 {
        (self.parallel / self.jobs.len() as f64).min(1.0)
    }

    fn advance(&mut self, now: Time) {
        let done = now.since(self.at).as_secs_f64() * self.speed();
        for job in &mut self.jobs {
            job.left -= done;
        }
        self.at = now;
    }
}
