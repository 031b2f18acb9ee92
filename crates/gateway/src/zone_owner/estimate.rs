//! Estimates of how long loads from the store take, how many of them the store serves at
//! full speed, and how many evicted adapters engines keep in host memory.
//!
//! Pattern: a store of unknown speed is shared by zone owners that learn of each other's
//! loads too late. Up to some number of concurrent loads each takes the same time; beyond
//! it every load becomes slower, and no more are completed. An entry instance that is
//! told too short a load time sends its request too early and is refused, which costs a
//! retry from the budget shared by all. So the zone owner learns from the outcome of
//! first requests: as in congestion control, the limit of concurrent loads grows
//! additively and shrinks multiplicatively, and the expected time follows loads that were
//! late. How long a load takes while few run isn't known either; only times longer than
//! that are a sign of too many loads.
//!
//! Where goals are tight, a late load raises the expected time to a little more than was
//! expected of that load, however many are late with it.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Added to the expected time when a load was late, in seconds: a tenth of what a load
/// takes.
const LATE_STEP: f64 = 0.025;

/// Factor by which the excess of the expected time over the usual one falls with each
/// load in time. Most of what is added while too many loads run has to be removed with
/// them, or slots count as taken long after they can be used.
const EXCESS_DECAY: f64 = 0.04;

/// Subtracted from the expected time for each load in time, in seconds. Together with
/// [`LATE_STEP`] it makes about one load in forty late in a steady state.
const IN_TIME_STEP: f64 = 0.000_6;

/// What a load is expected to take at least after one that was late, more than was expected of
/// that one, in seconds; where goals are tight.
///
/// Failure: loads took 288 ms where 250 were expected. The rise was limited to one step for
/// each load time, and dozens of loads in time between them undid it. With a step for each
/// late load, all that had been ordered before the first was known to be late raised it
/// again, to 1,000 ms, and callers waited for as long.
const TIGHT_LATE_STEP: f64 = 0.02;

/// Number of expected times that are remembered: one for each load of some seconds.
const MAX_EXPECTED: usize = 256;

/// [`IN_TIME_STEP`] where goals are tight.
const TIGHT_IN_TIME_STEP: f64 = 0.000_5;

/// Bounds of the expected time, relative to the initial estimate.
const TIME_BOUNDS: (f64, f64) = (0.1, 8.0);

/// Factor by which the limit of concurrent loads shrinks when loads are late.
const SHRINK: f64 = 0.85;

/// The same when it shrinks for the first time and is only an initial estimate.
const FIRST_SHRINK: f64 = 0.5;

/// Added to the limit of concurrent loads for each load in time: a limit of eight loads
/// of a quarter of a second grows by one in about two seconds.
const GROW: f64 = 0.03;

/// Weight of the newest load in the fraction of late loads, which is thus an average over
/// about seven loads.
const LATE_WEIGHT: f64 = 0.15;

/// Fraction of late loads from which too many run at once. Beyond what the store serves
/// at full speed all loads are late; single late ones have other causes.
const TOO_MANY_LATE: f64 = 0.3;

/// How far the expected time has to exceed the usual one before late loads count as a
/// sign of too many. A store with too many loads takes longer for each, in proportion,
/// and completes as many as before, so a few too many cost little.
const TOO_MANY_TIME: f64 = 1.15;

/// Weight of the newest load in the usual time. It is less than [`EXCESS_DECAY`], so that
/// little of the time added while too many loads ran enters the usual time.
const USUAL_WEIGHT: f64 = 0.02;

/// Fraction by which the usual time moves towards the expected one when the limit shrinks
/// again although no load has been in time since it last shrank: the limit was not the
/// cause then.
const USUAL_CATCH_UP: f64 = 0.2;

/// Lower and upper bound of the limit of concurrent loads, per zone.
const WINDOW_BOUNDS: (f64, f64) = (1.0, 64.0);

/// Estimates of the weight store's speed.
#[derive(Clone, Debug)]
pub(super) struct StoreEstimate {
    initial: f64,
    time: f64,
    /// Duration of loads while few run, in seconds.
    usual: f64,
    window: f64,
    /// Fraction of late loads, a moving average.
    late: f64,
    /// When the expected time was last raised, and its value before.
    raised: Time,
    time_before: f64,
    /// When the limit last shrank, and whether a load ordered since was in time.
    shrunk: Time,
    in_time_since: bool,
    zones: f64,
    /// Whether goals are tight.
    tight: bool,
    /// Where goals are tight: times that were expected, and from when on.
    expected: VecDeque<(Time, f64)>,
}

impl StoreEstimate {
    /// Creates estimates with loads that take `time` and run at full speed up to a limit
    /// of `window` over all `zones`.
    pub(super) fn new(time: Duration, window: usize, zones: usize) -> Self {
        StoreEstimate {
            initial: time.as_secs_f64(),
            time: time.as_secs_f64(),
            usual: time.as_secs_f64(),
            window: window as f64,
            late: 0.0,
            raised: Time::ZERO,
            time_before: time.as_secs_f64(),
            shrunk: Time::ZERO,
            in_time_since: false,
            zones: zones.max(1) as f64,
            tight: false,
            expected: VecDeque::new(),
        }
    }

    /// Sets whether goals are tight.
    pub(super) fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
    }

    /// Returns the expected duration of a load.
    pub(super) fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time)
    }

    /// Returns how many concurrent loads run at full speed over all zones.
    pub(super) fn window(&self) -> f64 {
        self.window
    }

    /// Raises the limit to at least `window`, unless it has already shrunk since loads
    /// took longer than announced.
    pub(super) fn raise_window(&mut self, window: f64) {
        if self.shrunk == Time::ZERO {
            self.window = self.window.max(window);
        }
    }

    /// Notes a load that was complete at the announced time.
    pub(super) fn in_time(&mut self, now: Time, ordered: Time) {
        if ordered >= self.shrunk {
            self.late -= self.late * LATE_WEIGHT;
            self.in_time_since = true;
        }
        let excess = (self.time - self.usual).max(0.0);
        self.time = (self.time - self.in_time_step() - EXCESS_DECAY * excess)
            .max(self.initial * TIME_BOUNDS.0);
        self.learn_usual();
        self.note_expected(now);
        self.window = (self.window + GROW).min(self.zones * WINDOW_BOUNDS.1);
    }

    /// Notes a load that took longer than announced. Loads that run at the same time
    /// suffer from the same cause and count once.
    ///
    /// Failure: loads take a little longer than the initial estimate, however few run.
    /// The expected time fell back to the estimate, so every other load was late and the
    /// limit of concurrent loads shrank to almost nothing: the store was idle while
    /// adapters that were requested all day were never loaded. So late loads count only
    /// once loads take longer than usual, and the usual time is learned.
    ///
    /// Failure: loads that were ordered before the limit shrank end after it. Taken as a
    /// sign that it is still too high, they shrank it three times for one cause.
    pub(super) fn late(&mut self, now: Time, ordered: Time) {
        if ordered >= self.shrunk {
            self.late += (1.0 - self.late) * LATE_WEIGHT;
        }
        // Compares with the time that was expected when the load was ordered, not with
        // later estimates.
        let announced = self.announced(ordered);
        let too_many = self.late >= TOO_MANY_LATE && announced >= self.usual * TOO_MANY_TIME;
        self.raise(now, announced);
        if !too_many || now.since(self.shrunk) < self.time() {
            return;
        }
        base::hit!(store_slower);
        let factor = if self.shrunk == Time::ZERO && !self.tight {
            FIRST_SHRINK
        } else {
            SHRINK
        };
        self.shrunk = now;
        self.late = 0.0;
        self.window = (self.window * factor).max(self.zones * WINDOW_BOUNDS.0);
        if !std::mem::take(&mut self.in_time_since) {
            self.usual += (self.time - self.usual) * USUAL_CATCH_UP;
        }
        // The duration of a load is proportional to the number that run.
        self.time = (self.time * factor).max(self.usual);
    }

    /// Raises the expected time after a late load for which `announced` was expected.
    fn raise(&mut self, now: Time, announced: f64) {
        if self.tight {
            let least = announced + TIGHT_LATE_STEP;
            self.time = self.time.max(least).min(self.initial * TIME_BOUNDS.1);
            self.note_expected(now);
            return;
        }
        if now.since(self.raised) >= self.time() {
            self.raised = now;
            self.time_before = self.time;
            self.time = (self.time + LATE_STEP).min(self.initial * TIME_BOUNDS.1);
        }
    }

    /// Returns the time that was expected of a load when it was ordered.
    fn announced(&self, ordered: Time) -> f64 {
        if self.tight {
            let then = self.expected.iter().rev().find(|(at, _)| *at <= ordered);
            return then.map_or(self.initial, |(_, time)| *time);
        }
        if ordered <= self.raised {
            self.time_before
        } else {
            self.time
        }
    }

    /// Remembers the time that is expected from now on.
    fn note_expected(&mut self, now: Time) {
        if !self.tight {
            return;
        }
        self.expected.push_back((now, self.time));
        if self.expected.len() > MAX_EXPECTED {
            self.expected.pop_front();
        }
    }

    fn in_time_step(&self) -> f64 {
        if self.tight {
            TIGHT_IN_TIME_STEP
        } else {
            IN_TIME_STEP
        }
    }

    /// Updates the usual time from loads in time, unless so many are late that too many
    /// may run at once.
    fn learn_usual(&mut self) {
        if self.tight || self.late < TOO_MANY_LATE {
            self.usual += (self.time - self.usual) * USUAL_WEIGHT;
        }
    }
}

/// Initial estimate of the number of evicted adapters that an engine keeps in host
/// memory, besides those it holds.
const INITIAL_MEMORY: f64 = 128.0;

/// Lower bound of that estimate.
const MIN_MEMORY: f64 = 4.0;

/// Fraction by which the estimate moves at once towards the depth of an adapter that was
/// expected in memory and not there; it takes two or three of them to reach it.
const MISS_WEIGHT: f64 = 0.5;

/// Added for each adapter found in memory at a depth of at least half the estimate.
const HIT_STEP: f64 = 0.5;

/// Estimates how many evicted adapters an engine keeps in host memory, from where they
/// load in a tenth of the time and without the store.
///
/// Pattern: a cache of unknown size. A load that was expected from memory and took as
/// long as one from the store shows that fewer adapters are kept than were evicted since;
/// one that was quick shows that at least as many are kept.
#[derive(Clone, Debug)]
pub(super) struct MemoryEstimate {
    size: f64,
}

impl Default for MemoryEstimate {
    fn default() -> Self {
        MemoryEstimate {
            size: INITIAL_MEMORY,
        }
    }
}

impl MemoryEstimate {
    /// Returns how many evicted adapters an engine is assumed to keep in host memory.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Notes whether an adapter was still in host memory after `depth` others had been
    /// evicted.
    pub(super) fn observe(&mut self, depth: usize, found: bool) {
        let depth = depth as f64;
        if found && depth >= self.size / 2.0 {
            self.size += HIT_STEP;
        }
        if !found && depth < self.size {
            base::hit!(memory_smaller);
            self.size = (self.size - (self.size - depth) * MISS_WEIGHT).max(MIN_MEMORY);
        }
    }
}
