//! How many base models the weight store serves at once at full speed.

use std::time::Duration;

use base::Time;

use super::engine::StoreLoad;

/// Initial estimate of the concurrent loads over all zones.
const INITIAL: f64 = 2.0;

/// Initial estimate of the same for each engine, used where it gives more: stores are sized
/// for the number of engines that they serve.
const INITIAL_PER_ENGINE: f64 = 0.1;

/// Maximum age of what entry instances say of loads under other zone owners.
const HEARD_MAX_AGE: Duration = Duration::from_millis(500);

/// How long the highest of these numbers stands: entry instances hear of a load up to this
/// much later than others.
const HIGHEST_STANDS: Duration = Duration::from_millis(300);

/// Longest time that an owner leaves room to each one that goes before it: what two
/// exchanges need to show a load.
const TURN_MAX: Duration = Duration::from_millis(300);

/// The same in parts of a load's duration: where loads are short, leaving room idle costs
/// more than a few too many.
const TURNS_PER_LOAD: u32 = 8;

/// An owner goes last if it has begun a load within this many load times.
const RECENT_LOADS: u32 = 4;

/// Time by which the end of a load may be noticed late: the age of a report, and the interval
/// between two.
const NOTICED_LATE: Duration = Duration::from_millis(700);

/// A load that takes this many times as long as a single one shows that too many ran.
const TOO_MANY: f64 = 1.3;

/// Added to the limit for each load that ran among as many as allowed and took as long as a
/// single one.
const GROW: f64 = 0.25;

/// Upper bound of the limit.
const MAX: f64 = 64.0;

/// What decides when an owner may begin a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// Place of its zone among all zones.
    pub(super) rank: usize,
    /// Number of zones.
    pub(super) zones: usize,
    /// Time that a single load takes.
    pub(super) load: Duration,
}

/// Estimates how many base models load at full speed at the same time over all zones.
///
/// Pattern: additive increase, multiplicative decrease. Beyond the number that the store
/// serves at full speed, a load takes longer in proportion to how many run when it begins.
#[derive(Clone, Debug)]
pub(super) struct ModelEstimate {
    window: f64,
    learned: bool,
    /// Loads under other zone owners, and when that was heard.
    outside: Option<(Time, u32)>,
    /// Since when there has been room for one more load.
    room_since: Option<Time>,
    /// When this owner began its last load.
    begun: Option<Time>,
}

impl Default for ModelEstimate {
    fn default() -> Self {
        ModelEstimate {
            window: INITIAL,
            learned: false,
            outside: None,
            room_since: None,
            begun: None,
        }
    }
}

impl ModelEstimate {
    /// Returns how many loads may run at once over all zones; at least one.
    pub(super) fn window(&self) -> usize {
        self.window as usize
    }

    /// Raises the limit to what is likely for a number of engines, unless it has been learned.
    pub(super) fn raise_window(&mut self, engines: usize) {
        if !self.learned {
            self.window = self.window.max(engines as f64 * INITIAL_PER_ENGINE);
        }
    }

    /// Notes how many loads run under other zone owners by the word of an entry instance.
    pub(super) fn heard(&mut self, now: Time, count: u32) {
        let lower = |(at, before): (Time, u32)| count < before && now.since(at) < HIGHEST_STANDS;
        if !self.outside.is_some_and(lower) {
            self.outside = Some((now, count));
        }
    }

    /// Returns the number of loads under other zone owners, if it is known.
    pub(super) fn outside(&self, now: Time) -> Option<usize> {
        let heard = self.outside;
        let heard = heard.filter(|(at, _)| now.since(*at) < HEARD_MAX_AGE);
        heard.map(|(_, count)| count as usize)
    }

    /// Returns from when on one more load may begin while `room` may, or `None` without room.
    ///
    /// Failure: the owners of all zones saw the only load end at the same time, and each
    /// began one: all four took four times as long.
    pub(super) fn turn(&mut self, now: Time, room: usize, turn: &Turn) -> Option<Time> {
        if room == 0 {
            self.room_since = None;
            return None;
        }
        let since = *self.room_since.get_or_insert(now);
        if room >= turn.zones || self.outside(now).is_none() {
            return Some(since);
        }
        let recent = |at: Time| now.since(at) < turn.load * RECENT_LOADS;
        let last = self.begun.is_some_and(recent);
        let before = turn.rank % turn.zones + if last { turn.zones } else { 0 };
        let each = TURN_MAX.min(turn.load / TURNS_PER_LOAD);
        Some(since + each * u32::try_from(before).unwrap_or(u32::MAX))
    }

    /// Notes that this owner has begun a load.
    pub(super) fn began(&mut self, now: Time) {
        self.begun = Some(now);
        self.room_since = None;
    }

    /// Notes a load that has ended; `single` is the time that one alone takes.
    pub(super) fn ended(&mut self, load: &StoreLoad, single: Duration) {
        let took = load.took.saturating_sub(NOTICED_LATE);
        let ratio = took.as_secs_f64() / single.as_secs_f64().max(0.001);
        let together = load.together as f64;
        if ratio > TOO_MANY {
            self.learned = true;
            self.window = self.window.min(together / ratio).max(1.0);
        } else if load.together >= self.window() {
            self.window = (self.window + GROW).min(MAX);
        }
    }
}
