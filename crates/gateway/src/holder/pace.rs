//! How long loads from the store take, and how many of them run at full speed.
//!
//! Pattern: a store of unknown speed, shared by holders that don't hear each
//! other in time. Up to some number of loads at once each takes the same time;
//! beyond it all become slower, and nothing more is loaded for it. Whoever is
//! told too short a time sends its request too early and is refused, which
//! costs a repeat from the budget of all. So the holder takes the word of those
//! that were told: the number at once grows by steps and shrinks by a part, as
//! congestion windows do, and the time follows the loads that were late. How long
//! a load takes while few run isn't known either: only what goes beyond that is a
//! sign of too many.

use std::time::Duration;

use base::Time;

/// Added to the expected time when loads took longer, in seconds: a tenth of
/// what a load takes.
const STEP: f64 = 0.025;

/// Part by which an expected time above the usual one falls with each load that
/// was done in time. Most of what is added while too many run at once has to go
/// with them, or places count as taken for long after they can be used.
const EXCESS_FALL: f64 = 0.04;

/// Taken off the expected time for each load that was done in time, in seconds.
/// With [`STEP`] about one load in forty is late once nothing else changes.
const FALL: f64 = 0.000_6;

/// Bounds of the expected time, in parts of the time that was expected first.
const TIMES: (f64, f64) = (0.1, 8.0);

/// Part of the number at once that is kept when a load took longer.
const SHRINK: f64 = 0.85;

/// The same for the first time, when the number is only what was expected.
const SHRINK_FIRST: f64 = 0.5;

/// Added to the number at once for each load that was done in time; a window
/// of eight loads of a quarter of a second grows by one in about two seconds.
const GROW: f64 = 0.03;

/// Weight of the newest load in the part of late ones; some seven make up its mind.
const NEWEST: f64 = 0.15;

/// Part of late loads from which too many run at once. Beyond what the store
/// serves at full speed all are late; single ones have other causes.
const CROWDED: f64 = 0.3;

/// How far the expected time has to be above the usual one before late loads are
/// taken for a sign that too many run at once. A store with too many takes longer for
/// each, in proportion, and brings as many as before: a few too many cost little.
const LONGER: f64 = 1.15;

/// Weight of the newest load in the usual time. It is less than [`EXCESS_FALL`], so that
/// little of what was added while too many ran is learned.
const USUAL_NEWEST: f64 = 0.02;

/// Part of the way to the expected time that the usual one goes when the number
/// shrinks again and no load was in time since: it wasn't the number, then.
const USUAL_SHRUNK: f64 = 0.2;

/// Fewest and most loads at once that are tried, for each zone.
const WINDOW_EACH: (f64, f64) = (1.0, 64.0);

/// What a holder has learned of the store.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    first: f64,
    time: f64,
    /// The time that loads take while few enough run.
    usual: f64,
    window: f64,
    /// Part of the loads that were late, fading.
    late: f64,
    /// When the expected time was last raised, and from what.
    noted: Time,
    before: f64,
    /// When the number at once last shrank, and whether a load since was in time.
    shrunk: Time,
    helped: bool,
    zones: f64,
}

impl Pace {
    /// Expects loads to take `time`, and `window` of them to run at full speed
    /// over all `zones`.
    pub(super) fn new(time: Duration, window: usize, zones: usize) -> Self {
        Pace {
            first: time.as_secs_f64(),
            time: time.as_secs_f64(),
            usual: time.as_secs_f64(),
            window: window as f64,
            late: 0.0,
            noted: Time::ZERO,
            before: time.as_secs_f64(),
            shrunk: Time::ZERO,
            helped: false,
            zones: zones.max(1) as f64,
        }
    }

    /// Returns the time that a load is expected to take.
    pub(super) fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time)
    }

    /// Returns how many loads run at full speed over all zones.
    pub(super) fn window(&self) -> f64 {
        self.window
    }

    /// Expects at least so many loads at full speed, until the first one took
    /// longer than told.
    pub(super) fn at_least(&mut self, window: f64) {
        if self.shrunk == Time::ZERO {
            self.window = self.window.max(window);
        }
    }

    /// Notes a load that was done when it was said to be.
    pub(super) fn in_time(&mut self, ordered: Time) {
        if ordered >= self.shrunk {
            self.late -= self.late * NEWEST;
            self.helped = true;
        }
        let excess = (self.time - self.usual).max(0.0);
        self.time = (self.time - FALL - EXCESS_FALL * excess).max(self.first * TIMES.0);
        self.learn_usual();
        self.window = (self.window + GROW).min(self.zones * WINDOW_EACH.1);
    }

    /// Notes a load that took longer than was said. Loads that run at the same
    /// time suffer from the same cause and count once.
    ///
    /// Failure: loads take a little longer than first guessed, however few run. The
    /// expected time fell back to the guess, so every other load was late and the
    /// number at once shrank to almost nothing: the store stood idle while adapters
    /// that were asked for all day were never loaded. So lateness counts only once
    /// loads take longer than usual, and the usual time is learned.
    ///
    /// Failure: loads that were ordered before the number shrank end after it. Taken
    /// for a sign that it is still too high, they shrank it three times for one cause.
    pub(super) fn late(&mut self, now: Time, ordered: Time) {
        if ordered >= self.shrunk {
            self.late += (1.0 - self.late) * NEWEST;
        }
        // What it was told counts, not what has been learned since.
        let told = if ordered <= self.noted {
            self.before
        } else {
            self.time
        };
        let crowded = self.late >= CROWDED && told >= self.usual * LONGER;
        if now.since(self.noted) >= self.time() {
            self.noted = now;
            self.before = self.time;
            self.time = (self.time + STEP).min(self.first * TIMES.1);
        }
        if !crowded || now.since(self.shrunk) < self.time() {
            return;
        }
        base::hit!(store_slower);
        let part = if self.shrunk == Time::ZERO {
            SHRINK_FIRST
        } else {
            SHRINK
        };
        self.shrunk = now;
        self.late = 0.0;
        self.window = (self.window * part).max(self.zones * WINDOW_EACH.0);
        if !std::mem::take(&mut self.helped) {
            self.usual += (self.time - self.usual) * USUAL_SHRUNK;
        }
        // Each load takes longer in proportion to how many run.
        self.time = (self.time * part).max(self.usual);
    }

    /// Learns how long loads usually take, from those in time while few are late:
    /// while many are, too many may run at once.
    fn learn_usual(&mut self) {
        if self.late < CROWDED {
            self.usual += (self.time - self.usual) * USUAL_NEWEST;
        }
    }
}

/// Adapters that an engine is taken to have in its memory at first, beside those
/// it holds.
const MEMORY: f64 = 128.0;

/// Fewest adapters that an engine is taken to have in memory.
const MEMORY_LEAST: f64 = 4.0;

/// Part of the way to a disproof that is gone at once; two or three make up
/// their mind.
const DISPROOF: f64 = 0.5;

/// Added for each proof in the deeper half of what is believed.
const PROOF: f64 = 0.5;

/// How many dropped adapters an engine still has in its memory, from where they
/// load without the store in a tenth of the time.
///
/// Pattern: a cache of unknown size. A load that was expected from memory and
/// took as long as one from the store tells that the size is smaller than the
/// adapters dropped since; one that was quick tells that it is larger.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    size: f64,
}

impl Default for Memory {
    fn default() -> Self {
        Memory { size: MEMORY }
    }
}

impl Memory {
    /// Returns how many dropped adapters an engine is taken to have in memory.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Notes that an adapter after which `depth` others were dropped was there,
    /// or wasn't.
    pub(super) fn seen(&mut self, depth: usize, there: bool) {
        let depth = depth as f64;
        if there && depth >= self.size / 2.0 {
            self.size += PROOF;
        }
        if !there && depth < self.size {
            base::hit!(memory_smaller);
            self.size = (self.size - (self.size - depth) * DISPROOF).max(MEMORY_LEAST);
        }
    }
}
