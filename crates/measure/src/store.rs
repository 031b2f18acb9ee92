//! A fake of the weight store: few loads go at full speed, more share it.

use base::{AdapterKey, TargetNo, Time};

/// Seconds that may be missing when a load counts as done.
const DONE: f64 = 1e-6;

/// One load under way.
#[derive(Clone, Copy, Debug)]
struct Job {
    target: TargetNo,
    key: AdapterKey,
    /// Seconds at full speed still to go.
    left: f64,
}

/// The weight store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    jobs: Vec<Job>,
    /// Loads served at full speed at once.
    parallel: f64,
    /// Seconds that one load takes at full speed.
    full: f64,
    at: Time,
    /// Loads started.
    pub(crate) started: u64,
}

impl Store {
    /// Makes a store that serves `rate` loads a second, `parallel` of them at
    /// full speed at once.
    pub(crate) fn new(rate: f64, parallel: u32) -> Self {
        let parallel = f64::from(parallel);
        Store {
            jobs: Vec::new(),
            parallel,
            full: parallel / rate,
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
            left: self.full,
        });
    }

    /// Drops the loads of an engine that went down.
    pub(crate) fn drop_target(&mut self, now: Time, target: TargetNo) {
        self.advance(now);
        self.jobs.retain(|job| job.target != target);
    }

    /// Counts the loads under way to an engine.
    pub(crate) fn under_way(&self, target: TargetNo) -> usize {
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

    /// Takes out the loads that have ended.
    pub(crate) fn take_done(&mut self, now: Time) -> Vec<(TargetNo, AdapterKey)> {
        self.advance(now);
        let done = self.jobs.extract_if(.., |job| job.left <= DONE);
        done.map(|job| (job.target, job.key)).collect()
    }

    /// Returns the most loads that it can do in a time.
    pub(crate) fn most(&self, secs: f64) -> f64 {
        secs * self.parallel / self.least_secs()
    }

    /// Returns the least seconds that a load takes.
    pub(crate) fn least_secs(&self) -> f64 {
        self.full - DONE
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
