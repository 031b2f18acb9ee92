//! The limit of extra sends, as a part of requests.

use std::{collections::VecDeque, fmt, str::FromStr};

use base::{Time, value};
use thiserror::Error;

/// Units in one.
const UNITS: f64 = 100_000.0;

/// Length of the window over which requests and extra sends are counted, in seconds: long
/// enough for an instance with few requests to be allowed one, short enough that what is saved
/// up is little.
pub const WINDOW_SECONDS: u64 = 20;

/// A string is no limit of extra sends.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadHedgeLimit {
    /// It is no number.
    #[error("`{0}` is not a part of requests such as `2%` or `0.02`")]
    NotANumber(String),
    /// It is below zero or above one.
    #[error("`{0}` is not between 0 and 1 (0% and 100%); two in a hundred are `2%` or `0.02`")]
    OutOfRange(String),
}

value! {
    /// The extra sends that are allowed as a part of requests, in hundred-thousandths.
    pub struct HedgeLimit(u32);
}

impl HedgeLimit {
    /// Returns the limit as a fraction, from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / UNITS
    }

    /// Returns how many extra sends are allowed beside so many requests.
    #[must_use]
    pub fn of(self, requests: u64) -> u64 {
        requests.saturating_mul(u64::from(self.0)) / UNITS as u64
    }
}

impl fmt::Display for HedgeLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) * 100.0 / UNITS)
    }
}

impl FromStr for HedgeLimit {
    type Err = BadHedgeLimit;

    /// Reads a percentage (`2%`) or a fraction (`0.02`); what is below a thousandth of a percent
    /// is cut off.
    fn from_str(raw: &str) -> Result<Self, BadHedgeLimit> {
        let bad = || BadHedgeLimit::NotANumber(raw.to_owned());
        let (number, whole) = match raw.trim().strip_suffix('%') {
            Some(percent) => (percent.trim_end(), 100.0),
            None => (raw.trim(), 1.0),
        };
        let number: f64 = number.parse().map_err(|_| bad())?;
        if number.is_nan() {
            return Err(bad());
        }
        if !(0.0..=whole).contains(&number) {
            return Err(BadHedgeLimit::OutOfRange(raw.to_owned()));
        }
        // A tiny part more, as 0.29 times 100,000 is a little below 29,000.
        Ok(HedgeLimit((number / whole * UNITS + 1e-6) as u32))
    }
}

/// Requests and extra sends of the last [`WINDOW_SECONDS`], by second.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    seconds: VecDeque<Second>,
}

#[derive(Clone, Copy, Debug)]
struct Second {
    no: u64,
    requests: u64,
    hedges: u64,
}

impl Counts {
    /// Counts a caller's request.
    pub(super) fn request(&mut self, now: Time) {
        self.second(now).requests += 1;
    }

    /// Counts an extra send.
    pub(super) fn hedge(&mut self, now: Time) {
        self.second(now).hedges += 1;
    }

    /// Returns whether one more extra send is within `limit`.
    ///
    /// Requests count if their whole second is within the window, extra sends if any part of
    /// theirs is, so that it also holds for windows that begin within a second.
    pub(super) fn allow(&mut self, now: Time, limit: HedgeLimit) -> bool {
        let first = self.second(now).no.saturating_sub(WINDOW_SECONDS);
        let whole = self.seconds.iter().filter(|second| second.no > first);
        let requests: u64 = whole.map(|second| second.requests).sum();
        let hedges: u64 = self.seconds.iter().map(|second| second.hedges).sum();
        hedges < limit.of(requests)
    }

    fn second(&mut self, now: Time) -> &mut Second {
        let no = now.as_millis() / 1_000;
        let old = |second: &Second| second.no + WINDOW_SECONDS < no;
        while self.seconds.front().is_some_and(old) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|last| last.no < no) {
            self.seconds.push_back(Second {
                no,
                requests: 0,
                hedges: 0,
            });
        }
        self.seconds.back_mut().expect("was just added")
    }
}
