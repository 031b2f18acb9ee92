//! How long targets say nothing amid an answer before another one is tried.
//!
//! Sound targets of some deployments say nothing for a second or two and go on. Where that has
//! been seen lately, more time is allowed, so that their runs aren't repeated in vain; elsewhere a
//! target that hangs is noticed soon.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

/// The patience without silences that ended by themselves. Events of a stream are some tens of
/// milliseconds apart.
pub const SHORTEST: Duration = Duration::from_millis(1_500);

/// The longest patience: callers leave after two seconds and some more without an event.
pub const LONGEST: Duration = Duration::from_millis(2_100);

/// How much more than the longest silence seen is allowed.
const MARGIN: f64 = 1.1;

/// Silences shorter than this change nothing.
const NOTED_FROM: Duration = Duration::from_millis(1_300);

/// How long a silence counts.
const MAX_AGE: Duration = Duration::from_mins(5);

/// The longest silences of the targets of each service that ended by themselves.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    longest: BTreeMap<String, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    length: Duration,
    at: Time,
}

impl Silences {
    /// Notes that a target of `service` has gone on after a silence of `length`.
    pub fn ended(&mut self, now: Time, service: &str, length: Duration) {
        if length < NOTED_FROM {
            return;
        }
        let held = self.longest.get(service);
        if held.is_some_and(|seen| seen.length > length && now.since(seen.at) < MAX_AGE) {
            return;
        }
        let seen = Seen { length, at: now };
        self.longest.insert(service.to_owned(), seen);
    }

    /// Returns how long a target of `service` may say nothing before another one is tried.
    #[must_use]
    pub fn patience(&self, now: Time, service: &str) -> Duration {
        match self.longest.get(service) {
            Some(seen) if now.since(seen.at) < MAX_AGE => {
                seen.length.mul_f64(MARGIN).clamp(SHORTEST, LONGEST)
            }
            _ => SHORTEST,
        }
    }
}
