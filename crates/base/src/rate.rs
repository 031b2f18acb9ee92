//! A rate of requests, exact to a thousandth.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// A string is not a rate of requests.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{raw}` is not a number of requests a second")]
pub struct BadRequestRate {
    raw: String,
}

/// Requests a second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Returns the rate of so many thousandths of a request a second.
    #[must_use]
    pub const fn from_millis(thousandths: u32) -> Self {
        RequestRate(thousandths)
    }

    /// Returns the rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / MILLI
    }

    /// Returns the time in which one request is due at this rate, `longest` at most.
    #[must_use]
    pub fn interval(self, longest: Duration) -> Duration {
        let seconds = 1.0 / self.per_second().max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(longest.as_secs_f64()))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.per_second(), f)
    }
}

impl FromStr for RequestRate {
    type Err = BadRequestRate;

    /// Reads a decimal number that isn't negative; what is below a thousandth is cut off.
    fn from_str(raw: &str) -> Result<Self, BadRequestRate> {
        let bad = || BadRequestRate {
            raw: raw.to_owned(),
        };
        let number: f64 = raw.trim().parse().map_err(|_| bad())?;
        if !number.is_finite() || number < 0.0 {
            return Err(bad());
        }
        Ok(RequestRate((number * MILLI).min(f64::from(u32::MAX)) as u32))
    }
}
