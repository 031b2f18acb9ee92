//! Decides from whom else an entry instance gets the platform's list of targets while the
//! owner of a zone doesn't send it, or sends an old one.
//!
//! A target that leaves gets no requests once the bound of [`Timing::within`] has passed, so
//! what counts is how old the list is by which targets are chosen, and not when an owner was
//! heard from. Control instances are asked first, since they read one list for all that ask.
//! The platform limits the calls a second for all instances together, so an instance calls
//! it only where none of them has helped, and at a time of its own.

use std::{collections::BTreeMap, time::Duration};

use base::{StableHash, Time};

use crate::timing::LIST_TIMEOUT;

/// Age of a list from which on another control instance is asked for it, as a part of the
/// bound.
const ASK_PART: f64 = 0.35;

/// The same from which on an instance reads the list itself.
const READ_PART: f64 = 0.48;

/// Part of the bound by which the reads of different instances are spread.
const SPREAD_PART: f64 = 0.25;

/// Pause after a read that failed. It doubles with each further one.
pub const READ_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two reads that fail.
const READ_PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Ages of a list at which something is done about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Age from which on another control instance is asked.
    pub ask: Duration,
    /// Age from which on the platform is.
    pub read: Duration,
    /// Most by which an instance delays its own reads.
    pub spread: Duration,
}

impl Timing {
    /// Returns the ages for a deployment whose requests have to stop going to a leaving target
    /// within `bound`.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Timing {
            ask: bound.mul_f64(ASK_PART),
            read: bound.mul_f64(READ_PART),
            spread: bound.mul_f64(SPREAD_PART),
        }
    }
}

/// What has to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Due {
    /// Ask another control instance for the list of this zone.
    Ask(String),
    /// Read the lists of these zones.
    Read(Vec<String>),
    /// Read the list of all zones, as at least half of them are due.
    ReadAll(Vec<String>),
}

/// The age of each zone's list at an entry instance.
#[derive(Clone, Debug)]
pub struct ListFallback {
    timing: Timing,
    zones: BTreeMap<String, ZoneList>,
    /// Delay of this instance's reads.
    delay: Duration,
    /// No read is begun before this time.
    next_read: Time,
    /// Reads that have failed in a row.
    failed: u32,
}

#[derive(Clone, Copy, Debug)]
struct ZoneList {
    as_of: Time,
    /// The same of the last list that didn't come from the zone's owner.
    elsewhere: Option<Time>,
    /// When another control instance was last asked for it.
    asked: Option<Time>,
}

impl ListFallback {
    /// Starts with the lists of all `zones` read now. `spread` has to differ between
    /// instances, so that they read at different times.
    #[must_use]
    pub fn new(now: Time, zones: &[String], timing: Timing, spread: StableHash) -> Self {
        let list = ZoneList {
            as_of: now,
            elsewhere: None,
            asked: None,
        };
        let part = spread as f64 / StableHash::MAX as f64;
        ListFallback {
            timing,
            zones: zones.iter().map(|zone| (zone.clone(), list)).collect(),
            delay: timing.spread.mul_f64(part),
            next_read: now,
            failed: 0,
        }
    }

    /// Notes that a zone's owner has sent the list as it was at `as_of`. Returns whether a later
    /// one is known from elsewhere, which an owner whose reads fail would undo.
    pub fn sent(&mut self, zone: &str, as_of: Time) -> bool {
        let Some(list) = self.zones.get_mut(zone) else {
            return false;
        };
        list.as_of = list.as_of.max(as_of);
        list.elsewhere.is_some_and(|other| as_of < other)
    }

    /// Notes that the list of a zone as it was at `as_of` came from elsewhere. Returns whether
    /// that is later than what was known.
    pub fn found(&mut self, zone: &str, as_of: Time) -> bool {
        let Some(list) = self.zones.get_mut(zone) else {
            return false;
        };
        if as_of <= list.as_of {
            return false;
        }
        list.as_of = as_of;
        list.elsewhere = Some(as_of);
        true
    }

    /// Notes that this instance has read lists.
    pub fn read(&mut self) {
        self.failed = 0;
    }

    /// Notes that a read has failed.
    pub fn read_failed(&mut self, now: Time) {
        let pause = READ_PAUSE * 2_u32.saturating_pow(self.failed.min(8));
        self.next_read = now + pause.min(READ_PAUSE_MAX);
        self.failed += 1;
    }

    /// Returns the age of a zone's list.
    #[must_use]
    pub fn age(&self, now: Time, zone: &str) -> Option<Duration> {
        let list = self.zones.get(zone)?;
        Some(now.since(list.as_of))
    }

    /// Returns the age of each zone's list.
    pub fn ages(&self, now: Time) -> impl Iterator<Item = (&str, Duration)> {
        let zones = self.zones.iter();
        zones.map(move |(zone, list)| (zone.as_str(), now.since(list.as_of)))
    }

    /// Returns what has to be done now.
    pub fn due(&mut self, now: Time) -> Vec<Due> {
        let mut due = Vec::new();
        let timing = self.timing;
        for (zone, list) in &mut self.zones {
            let again = |at: Time| now.since(at) >= LIST_TIMEOUT;
            if now.since(list.as_of) >= timing.ask && list.asked.is_none_or(again) {
                list.asked = Some(now);
                due.push(Due::Ask(zone.clone()));
            }
        }
        due.extend(self.due_read(now));
        due
    }

    fn due_read(&mut self, now: Time) -> Option<Due> {
        let read_at = self.timing.read + self.delay;
        if now < self.next_read {
            return None;
        }
        let old = self.zones.iter();
        let old = old.filter(|(_, list)| now.since(list.as_of) >= read_at);
        let old: Vec<_> = old.map(|(zone, _)| zone.clone()).collect();
        if old.is_empty() {
            return None;
        }
        self.next_read = now + LIST_TIMEOUT;
        if old.len() * 2 < self.zones.len() {
            return Some(Due::Read(old));
        }
        Some(Due::ReadAll(self.zones.keys().cloned().collect()))
    }

    /// Returns when [`Self::due`] has to be called if nothing becomes known before.
    #[must_use]
    pub fn next_due(&self) -> Time {
        let read_at = self.timing.read + self.delay;
        let each = self.zones.values().map(|list| {
            let ask = list.as_of + self.timing.ask;
            let ask = list.asked.map_or(ask, |at| ask.max(at + LIST_TIMEOUT));
            ask.min(self.next_read.max(list.as_of + read_at))
        });
        each.min().unwrap_or(Time(u64::MAX))
    }
}
