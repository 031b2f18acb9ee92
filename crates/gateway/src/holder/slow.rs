//! Which engines are slower than their neighbours.
//!
//! Pattern: outlier detection by latency, for a choice by least expected time. An engine
//! that works at a third of its speed answers, passes its health check, and makes
//! callers late. One entry instance sends it a request now and then and can't tell;
//! their words together do within a second. It is told to all as a factor, so that the
//! engine gets as much as it can serve in time, and fades once nothing shows it any more.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::fleet::Pace;

/// How long what was seen of an engine takes to count half.
const HALF: Duration = Duration::from_millis(700);

/// Fewest prompt tokens, faded, that say something of an engine: some two requests.
const TOKENS: f64 = 2_000.0;

/// How many engines have to be known before one of them is slower than the others.
const NEIGHBOURS: usize = 4;

/// Factor from which an engine is slow; queues before it make up for less.
const SLOW: f64 = 1.7;

/// The largest factor.
const MOST: f64 = 4.0;

/// Steps in which the factor is told, in hundredths: finer ones would be news all the time.
const STEP: u32 = 50;

/// How long an engine of which nothing is seen any more takes to be half as slow.
const FORGIVE: Duration = Duration::from_millis(1_500);

/// What was seen of engines.
#[derive(Debug, Default)]
pub(super) struct Slow {
    engines: BTreeMap<String, Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    tokens: f64,
    seconds: f64,
    at: Time,
    /// How much slower than its neighbours, at `rated`.
    factor: f64,
    rated: Time,
}

impl Slow {
    /// Takes the word of an entry instance.
    pub(super) fn seen(&mut self, now: Time, pace: &Pace) {
        let seen = self.engines.entry(pace.target.clone()).or_default();
        seen.fade(now);
        seen.tokens += pace.tokens as f64;
        seen.seconds += pace.took.as_secs_f64();
    }

    /// Compares engines; returns those whose factor is told anew.
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

    /// Returns how long an engine takes for what others do in a hundred units of time.
    pub(super) fn of(&self, id: &str) -> u32 {
        self.engines.get(id).map_or(100, Seen::told)
    }

    /// Returns the usual time for a token: the median of all engines.
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
