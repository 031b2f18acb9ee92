//! Detection of engines that are slower than the other engines.
//!
//! Pattern: outlier detection by latency, for a choice by least expected time. An engine
//! that works at a third of its speed answers, passes its health check, and makes callers
//! late. A single entry instance sends it too few requests to tell; the reports of all
//! together show it within a second. The result is published to all instances as a
//! factor, so that the engine gets as many requests as it can serve in time, and decays
//! once no more requests show it.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::fleet::Pace;

/// Half-life of the samples of an engine.
const HALF: Duration = Duration::from_millis(700);

/// Minimum decayed number of prompt tokens for an estimate of an engine's speed: some two
/// requests.
const TOKENS: f64 = 2_000.0;

/// Minimum number of engines with an estimate before any of them can be an outlier.
const NEIGHBOURS: usize = 4;

/// Factor from which an engine is slow; the choice by queue length makes up for smaller
/// differences.
const SLOW: f64 = 1.7;

/// Upper bound of the factor.
const MOST: f64 = 4.0;

/// Granularity of the published factor, in hundredths: finer steps would make target
/// updates all the time.
const STEP: u32 = 50;

/// Half-life of the factor's excess over 1 for an engine without recent samples.
const FORGIVE: Duration = Duration::from_millis(1_500);

/// Speed samples of engines.
#[derive(Debug, Default)]
pub(super) struct Slow {
    engines: BTreeMap<String, Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    tokens: f64,
    seconds: f64,
    at: Time,
    /// How many times as long as the median engine it took, at `rated`.
    factor: f64,
    rated: Time,
}

impl Slow {
    /// Adds a sample reported by an entry instance.
    pub(super) fn seen(&mut self, now: Time, pace: &Pace) {
        let seen = self.engines.entry(pace.target.clone()).or_default();
        seen.fade(now);
        seen.tokens += pace.tokens as f64;
        seen.seconds += pace.took.as_secs_f64();
    }

    /// Compares engines; returns those whose published factor has changed.
    pub(super) fn rate(&mut self, now: Time) -> Vec<String> {
        for seen in self.engines.values_mut() {
            seen.fade(now);
        }
        let usual = self.usual();
        let mut changed = Vec::new();
        for (id, seen) in &mut self.engines {
            let before = seen.told();
            seen.rate(now, usual);
            if seen.told() != before {
                changed.push(id.clone());
            }
        }
        let idle = |seen: &Seen| seen.told() == 100 && seen.tokens < 1.0;
        self.engines.retain(|_, seen| !idle(seen));
        changed
    }

    /// Returns the published factor of an engine, in hundredths.
    pub(super) fn of(&self, id: &str) -> u32 {
        self.engines.get(id).map_or(100, Seen::told)
    }

    /// Returns the time that the median engine takes for a token, in seconds.
    fn usual(&self) -> Option<f64> {
        let known = self.engines.values().filter(|seen| seen.tokens >= TOKENS);
        let mut times: Vec<_> = known.map(|seen| seen.seconds / seen.tokens).collect();
        if times.len() < NEIGHBOURS {
            return None;
        }
        let middle = times.len() / 2;
        let (_, usual, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*usual)
    }
}

impl Seen {
    fn fade(&mut self, now: Time) {
        let part = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF.as_secs_f64());
        self.tokens *= part;
        self.seconds *= part;
        self.at = now;
    }

    fn rate(&mut self, now: Time, usual: Option<f64>) {
        let faded = now.since(self.rated).as_secs_f64() / FORGIVE.as_secs_f64();
        let old = 1.0 + (self.factor - 1.0).max(0.0) * 0.5_f64.powf(faded);
        self.rated = now;
        let usual = usual.filter(|_| self.tokens >= TOKENS);
        self.factor = match usual {
            Some(usual) => (self.seconds / self.tokens / usual).clamp(1.0, MOST),
            None => old,
        };
    }

    fn told(&self) -> u32 {
        if self.factor < SLOW {
            return 100;
        }
        let hundredths = (self.factor * 100.0) as u32;
        hundredths / STEP * STEP
    }
}
