//! Targets that have turned a request away and asked this instance for rest.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use base::Time;
use thiserror::Error;

/// A string is not a time of rest.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{raw}` is not a number of seconds")]
pub struct BadRest {
    raw: String,
}

/// The time for which a target wants nothing from this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rest(Duration);

impl Rest {
    /// Returns the time.
    #[must_use]
    pub fn time(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Rest {
    fn from(time: Duration) -> Self {
        Rest(time)
    }
}

impl fmt::Display for Rest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.as_secs_f64(), f)
    }
}

impl FromStr for Rest {
    type Err = BadRest;

    /// Reads a number of seconds that isn't negative, with or without a fraction; one that no
    /// duration holds is the longest there is.
    fn from_str(raw: &str) -> Result<Self, BadRest> {
        let bad = || BadRest {
            raw: raw.to_owned(),
        };
        let seconds: f64 = raw.trim().parse().map_err(|_| bad())?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(bad());
        }
        Ok(Rest(
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
        ))
    }
}

/// The targets that have asked one instance for rest.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    targets: BTreeMap<String, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    since: Time,
    until: Time,
    /// Requests sent there meanwhile.
    sent: u32,
}

/// A rest that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRest {
    /// The target, by id.
    pub target: String,
    /// How long it lasted.
    pub lasted: Duration,
    /// Requests that this instance has sent there meanwhile.
    pub sent: u32,
}

impl Rests {
    /// Notes that a target has asked for rest. Returns whether it wasn't resting before.
    pub fn asked(&mut self, now: Time, id: &str, rest: Rest) -> bool {
        let until = now + rest.time();
        let Some(known) = self.targets.get_mut(id) else {
            let known = Known {
                since: now,
                until,
                sent: 0,
            };
            self.targets.insert(id.to_owned(), known);
            return true;
        };
        known.until = known.until.max(until);
        false
    }

    /// Counts a request that is sent to a target.
    pub fn sent(&mut self, now: Time, id: &str) {
        if let Some(known) = self.targets.get_mut(id).filter(|known| now < known.until) {
            known.sent += 1;
        }
    }

    /// Removes and returns the rests that are over.
    pub fn take_ended(&mut self, now: Time) -> Vec<EndedRest> {
        let ended = self
            .targets
            .extract_if(.., |_, known| now >= known.until)
            .map(|(target, known)| EndedRest {
                target,
                lasted: known.until.since(known.since),
                sent: known.sent,
            });
        ended.collect()
    }
}
