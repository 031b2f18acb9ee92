//! Detection of engines that are slower than the other engines.
//!
//! Pattern: outlier detection by latency, for a choice by least expected time. An engine
//! that works at a third of its speed answers, passes its health check, and makes callers
//! late. A single entry instance sends it too few requests to tell; the reports of all
//! together show it within a second. The result is published to all instances as a
//! factor, so that the engine gets as many requests as it can serve in time, and decays
//! once no more requests show it.
//!
//! Where goals are tight, the factor of every engine is published, also of faster ones, and
//! goes back to the engine's own long-term factor: engines of one service differ in speed.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::fleet::PromptTime;

/// Half-life of the samples of an engine.
const SAMPLE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Minimum decayed number of prompt tokens for an estimate of an engine's speed: some two
/// requests.
const MIN_TOKENS: f64 = 2_000.0;

/// Minimum number of engines with an estimate before any of them can be an outlier.
const MIN_ENGINES: usize = 4;

/// Factor from which an engine is slow; the choice by queue length makes up for smaller
/// differences.
const SLOW_FACTOR: f64 = 1.7;

/// Upper bound of the factor.
const MAX_FACTOR: f64 = 4.0;

/// Granularity of the published factor, in hundredths: finer steps would make target
/// updates all the time.
const FACTOR_STEP: u32 = 50;

/// Half-life of the factor's excess over 1 for an engine without recent samples.
const FACTOR_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Bounds of the factor where goals are tight.
const TIGHT_BOUNDS: (f64, f64) = (0.4, 4.0);

/// Granularity of the factor that is published where goals are tight, in hundredths.
const TIGHT_STEP: f64 = 5.0;

/// Relative difference from which a new factor is published where goals are tight.
const TIGHT_CHANGE: f64 = 0.17;

/// Half-life of the long-term factor: several times that of a spell in which an engine is
/// slow by chance.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(8);

/// Upper bound of the long-term factor: an engine that works again after a fault gets requests
/// that show it.
const USUAL_MAX: f64 = 2.0;

/// Speed samples of engines.
#[derive(Debug, Default)]
pub(super) struct Slowness {
    engines: BTreeMap<String, Samples>,
    tight: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    tokens: f64,
    seconds: f64,
    at: Time,
    /// How many times as long as the median engine it took, at `updated`.
    factor: f64,
    updated: Time,
    /// Long-term factor where goals are tight; zero if not known.
    usual: f64,
    /// The factor published where goals are tight, in hundredths; zero for none.
    shown: u32,
}

impl Slowness {
    /// Sets whether goals are tight.
    pub(super) fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
    }

    /// Adds a sample reported by an entry instance.
    pub(super) fn add_sample(&mut self, now: Time, pace: &PromptTime) {
        let samples = self.engines.entry(pace.target.clone()).or_default();
        samples.decay(now);
        samples.tokens += pace.tokens as f64;
        samples.seconds += pace.took.as_secs_f64();
    }

    /// Compares engines; returns those whose published factor has changed.
    pub(super) fn compare(&mut self, now: Time) -> Vec<String> {
        for samples in self.engines.values_mut() {
            samples.decay(now);
        }
        let median = self.median();
        let tight = self.tight;
        let mut changed = Vec::new();
        for (id, samples) in &mut self.engines {
            let before = samples.published(tight);
            if tight {
                samples.update_tight(now, median);
            } else {
                samples.update_factor(now, median);
            }
            if samples.published(tight) != before {
                changed.push(id.clone());
            }
        }
        let idle = |samples: &Samples| samples.published(tight) == 100 && samples.tokens < 1.0;
        self.engines.retain(|_, samples| !idle(samples));
        changed
    }

    /// Returns the published factor of an engine, in hundredths.
    pub(super) fn factor(&self, id: &str) -> u32 {
        let samples = self.engines.get(id);
        samples.map_or(100, |samples| samples.published(self.tight))
    }

    /// Returns the time that the median engine takes for a token, in seconds.
    fn median(&self) -> Option<f64> {
        let known = self
            .engines
            .values()
            .filter(|samples| samples.tokens >= MIN_TOKENS);
        let mut times: Vec<_> = known
            .map(|samples| samples.seconds / samples.tokens)
            .collect();
        if times.len() < MIN_ENGINES {
            return None;
        }
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

impl Samples {
    fn decay(&mut self, now: Time) {
        let part = 0.5_f64.powf(now.since(self.at).as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64());
        self.tokens *= part;
        self.seconds *= part;
        self.at = now;
    }

    fn update_factor(&mut self, now: Time, median: Option<f64>) {
        let half_lives = now.since(self.updated).as_secs_f64() / FACTOR_HALF_LIFE.as_secs_f64();
        let old = 1.0 + (self.factor - 1.0).max(0.0) * 0.5_f64.powf(half_lives);
        self.updated = now;
        let median = median.filter(|_| self.tokens >= MIN_TOKENS);
        self.factor = match median {
            Some(median) => (self.seconds / self.tokens / median).clamp(1.0, MAX_FACTOR),
            None => old,
        };
    }

    fn update_tight(&mut self, now: Time, median: Option<f64>) {
        let passed = now.since(self.updated).as_secs_f64();
        let left = |half_life: Duration| 0.5_f64.powf(passed / half_life.as_secs_f64());
        self.updated = now;
        let usual = if self.usual > 0.0 { self.usual } else { 1.0 };
        let old = if self.factor > 0.0 {
            self.factor
        } else {
            usual
        };
        let (low, high) = TIGHT_BOUNDS;
        match median.filter(|_| self.tokens >= MIN_TOKENS) {
            Some(median) => {
                self.factor = (self.seconds / self.tokens / median).clamp(low, high);
                let seen = self.factor.min(USUAL_MAX);
                self.usual = seen + (usual - seen) * left(USUAL_HALF_LIFE);
            }
            None => {
                self.factor = usual + (old - usual) * left(FACTOR_HALF_LIFE);
                self.usual = 1.0 + (usual - 1.0) * left(USUAL_HALF_LIFE);
            }
        }
        let shown = f64::from(self.published(true));
        if (self.factor * 100.0 / shown - 1.0).abs() >= TIGHT_CHANGE {
            self.shown = ((self.factor * 100.0 / TIGHT_STEP).round() * TIGHT_STEP) as u32;
        }
    }

    fn published(&self, tight: bool) -> u32 {
        if tight {
            return if self.shown > 0 { self.shown } else { 100 };
        }
        if self.factor < SLOW_FACTOR {
            return 100;
        }
        let hundredths = (self.factor * 100.0) as u32;
        hundredths / FACTOR_STEP * FACTOR_STEP
    }
}
