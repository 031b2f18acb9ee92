//! Zones that no owner speaks for, and when an entry instance reads the platform's list
//! of them itself.
//!
//! Pattern: a source that many share is lost, and each of them turns to the next one at
//! the same moment. The platform allows so many calls a second for all instances; a
//! hundred of them that read all zones each second are refused, and learn nothing. Each
//! reads only what is silent, seldom, and at a time of its own.

use std::{collections::BTreeMap, time::Duration};

use base::{StableHash, Time};

/// A zone that no owner has spoken for during this time is read here.
const SILENT: Duration = Duration::from_millis(1_500);

/// Time between two reads. Targets that leave have to be left within four seconds.
const EVERY: Duration = Duration::from_millis(1_800);

/// What to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The lists of these zones.
    Zones(Vec<String>),
    /// The list of all zones: most of them are silent.
    All(Vec<String>),
}

/// Which zones are silent.
#[derive(Clone, Debug)]
pub struct Alone {
    heard: BTreeMap<String, Time>,
    next: Time,
}

impl Alone {
    /// Begins to listen to `zones`; `spread` differs between instances.
    #[must_use]
    pub fn new(now: Time, zones: &[String], spread: StableHash) -> Self {
        let heard = zones.iter().map(|zone| (zone.clone(), now));
        let micros = spread % EVERY.as_micros() as u64;
        Alone {
            heard: heard.collect(),
            next: now + Duration::from_micros(micros),
        }
    }

    /// Notes that owners speak for `zones`.
    pub fn heard(&mut self, now: Time, zones: &[String]) {
        for zone in zones {
            if let Some(at) = self.heard.get_mut(zone) {
                *at = now;
            }
        }
    }

    /// Returns what has to be read now.
    pub fn due(&mut self, now: Time) -> Option<Read> {
        if now < self.next {
            return None;
        }
        while self.next <= now {
            self.next = self.next + EVERY;
        }
        let silent = self.heard.iter();
        let silent = silent.filter(|(_, at)| now.since(**at) >= SILENT);
        let silent: Vec<_> = silent.map(|(zone, _)| zone.clone()).collect();
        match silent.len() {
            0 => None,
            few if few * 2 <= self.heard.len() => Some(Read::Zones(silent)),
            _ => Some(Read::All(silent)),
        }
    }
}
