//! Decides when an entry instance reads the platform's target list itself, for zones
//! whose owner is not heard from.
//!
//! Pattern: a shared source fails, and all its users turn to the next one at the same
//! moment. The platform limits the calls a second for all instances together; a hundred
//! instances that read all zones each second would be refused and learn nothing. So each
//! one reads only zones not heard from, at long intervals, and at a time of its own.

use std::{collections::BTreeMap, time::Duration};

use base::{StableHash, Time};

/// A zone whose owner was not heard from within this time is read from the platform.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);

/// Time between two reads. Requests must stop going to leaving targets within four
/// seconds.
const READ_INTERVAL: Duration = Duration::from_millis(1_800);

/// The lists to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The lists of these zones.
    Zones(Vec<String>),
    /// The list of all zones, as at least half of them are not heard from; these are
    /// named.
    All(Vec<String>),
}

/// Zones by when their owners were last heard from.
#[derive(Clone, Debug)]
pub struct ListFallback {
    heard: BTreeMap<String, Time>,
    next: Time,
}

impl ListFallback {
    /// Starts with all `zones` heard from now. `spread` has to differ between instances,
    /// so that they read at different times.
    #[must_use]
    pub fn new(now: Time, zones: &[String], spread: StableHash) -> Self {
        let heard = zones.iter().map(|zone| (zone.clone(), now));
        let micros = spread % READ_INTERVAL.as_micros() as u64;
        ListFallback {
            heard: heard.collect(),
            next: now + Duration::from_micros(micros),
        }
    }

    /// Notes that the owners of `zones` were heard from.
    pub fn heard(&mut self, now: Time, zones: &[String]) {
        for zone in zones {
            if let Some(at) = self.heard.get_mut(zone) {
                *at = now;
            }
        }
    }

    /// Returns what has to be read now, if anything.
    pub fn due(&mut self, now: Time) -> Option<Read> {
        if now < self.next {
            return None;
        }
        while self.next <= now {
            self.next = self.next + READ_INTERVAL;
        }
        let unheard = self.heard.iter();
        let unheard = unheard.filter(|(_, at)| now.since(**at) >= HEARD_WITHIN);
        let unheard: Vec<_> = unheard.map(|(zone, _)| zone.clone()).collect();
        match unheard.len() {
            0 => None,
            few if few * 2 <= self.heard.len() => Some(Read::Zones(unheard)),
            _ => Some(Read::All(unheard)),
        }
    }
}
