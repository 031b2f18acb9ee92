//! Lets requests in at an entry instance, or refuses them.
//!
//! Pattern: callers ask for more than a service has room for, at all instances at once, and
//! refused ones come back. Each instance refuses the same part of each kind of request, by
//! counters that start at seeded numbers, and draws when each caller comes back.

mod counts;
mod pressed;
mod shortage;
mod wait;

use std::{collections::BTreeMap, time::Duration};

use base::{AccountName, InstanceName, Seed, Time, stable_hash};
use thiserror::Error;
use wire::admission::{AdmissionReport, AdmissionTold, Room};

use self::{
    counts::Counts,
    shortage::{Parts, Rates, RoomSum},
};

pub use self::shortage::{Change, Shortage};

/// A control instance that said nothing for this long is left out.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// The room of a zone that nothing was said of for this long is left out.
const ROOM_KEPT_FOR: Duration = Duration::from_secs(3);

/// Reports that come later than this after the one before tell nothing, as what was counted
/// since is no rate of the last second.
const LATE_REPORT: Duration = Duration::from_secs(1);

/// How long a refused request is known.
const REFUSED_KEPT_FOR: Duration = Duration::from_secs(10);

/// Most refused requests that are known.
const MAX_REFUSED: usize = 4_096;

/// A request that asks to be let in.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service that it is for.
    pub service: &'a str,
    /// The account that it is sent for, if any.
    pub account: Option<&'a AccountName>,
    /// Weight of the account among those of the service: what it may ask in a second.
    pub weight: u64,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Its units of work, if it says them.
    pub units: Option<u64>,
    /// Time that its caller has left.
    pub left: Duration,
}

/// A request isn't let in.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("the service has too little room: {part:.2} of such requests are let in")]
pub struct Refused {
    /// Time after which the caller should come back.
    pub again: Duration,
    /// Part of such requests that is let in.
    pub part: f64,
}

/// Lets requests in at one entry instance. `S` names control instances.
#[derive(Clone, Debug)]
pub struct Gate<S> {
    name: InstanceName,
    seed: Seed,
    draws: u64,
    counts: BTreeMap<String, Counts<S>>,
    reported: BTreeMap<S, Time>,
    sources: BTreeMap<S, (Time, AdmissionTold)>,
    rooms: BTreeMap<(String, String), (Time, Room)>,
    short: BTreeMap<String, Option<Parts>>,
    /// Refused requests, and when.
    refused: BTreeMap<u64, Time>,
}

impl<S: Ord + Copy> Gate<S> {
    /// Creates the gate of an instance that knows nothing. `seed` has to differ between
    /// instances.
    #[must_use]
    pub fn new(name: InstanceName, seed: Seed) -> Self {
        Gate {
            name,
            seed,
            draws: 0,
            counts: BTreeMap::new(),
            reported: BTreeMap::new(),
            sources: BTreeMap::new(),
            rooms: BTreeMap::new(),
            short: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Counts a request, and lets it in or not. `id` is asked for what is the same when the
    /// request comes back, if it would be refused. Returns the units that have to be told
    /// to [`Self::ended`].
    ///
    /// # Errors
    ///
    /// Fails if the request isn't let in.
    pub fn offer(
        &mut self,
        now: Time,
        ask: &Ask<'_>,
        id: impl FnOnce() -> u64,
    ) -> Result<u64, Refused> {
        let [credit, later, drawn] = [self.draw(), self.draw(), self.draw()];
        let offerer = (ask.account.cloned(), ask.rank);
        let counts = get_or_insert(&mut self.counts, ask.service, || Counts::new(now));
        let units = counts.units(ask.units);
        let counter = counts.offer(now, offerer.clone(), (ask.weight, units), credit);
        let Some(parts) = self.short.get_mut(ask.service).and_then(Option::as_mut) else {
            return Ok(units);
        };
        let part = parts.of(now, &offerer);
        counter.credit += part;
        if counter.credit < 1.0 {
            let id = id();
            if self.refused.remove(&id).is_some() {
                counter.credit += part;
            }
            if counter.credit < 1.0 {
                parts.refused += 1;
                let again = parts.again(ask.rank, ask.left, (later, drawn));
                if self.refused.len() < MAX_REFUSED {
                    self.refused.insert(id, now);
                }
                return Err(Refused { again, part });
            }
        }
        counter.credit -= 1.0;
        Ok(units)
    }

    /// Counts that a request that was let in has ended.
    pub fn ended(&mut self, now: Time, service: &str, units: u64) {
        if let Some(counts) = self.counts.get_mut(service) {
            counts.end(now, units);
        }
    }

    /// Takes the report to a control instance. It isn't sent again if it is lost.
    pub fn report(&mut self, now: Time, to: S) -> AdmissionReport {
        let last = self.reported.insert(to, now);
        let late = last.is_none_or(|at| now.since(at) > LATE_REPORT);
        let mut report = AdmissionReport {
            instance: self.name.clone(),
            offered: Vec::new(),
            ended: Vec::new(),
        };
        for (service, counts) in &mut self.counts {
            let (offered, ended) = counts.take(to, late, service);
            report.offered.extend(offered);
            report.ended.extend(ended);
        }
        report
    }

    /// Takes over what a control instance has told, and computes the parts anew.
    pub fn told(&mut self, now: Time, from: S, told: AdmissionTold) -> Vec<Change> {
        for room in &told.rooms {
            let place = (room.service.clone(), room.zone.clone());
            self.rooms.insert(place, (now, room.clone()));
        }
        self.sources.insert(from, (now, told));
        let mut changes = self.expire(now);
        let mut sums: BTreeMap<&str, RoomSum> = BTreeMap::new();
        for (_, room) in self.rooms.values() {
            let sum = sums.entry(&room.service).or_default();
            sum.slots += u64::from(room.slots);
            sum.running += u64::from(room.running);
            sum.queued += u64::from(room.queued);
        }
        for (service, room) in sums {
            let rates = rates(&self.sources, service);
            let parts = get_or_insert(&mut self.short, service, || None);
            changes.extend(shortage::update(now, service, parts, room, rates));
        }
        changes
    }

    /// Forgets what is old, and returns the services that count as short no more.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        self.sources
            .retain(|_, (at, _)| now.since(*at) <= HEARD_WITHIN);
        self.rooms
            .retain(|_, (at, _)| now.since(*at) <= ROOM_KEPT_FOR);
        self.refused
            .retain(|_, at| now.since(*at) <= REFUSED_KEPT_FOR);
        for counts in self.counts.values_mut() {
            counts.expire(now);
        }
        let old = self.short.iter_mut().filter_map(|(service, parts)| {
            let old = parts.as_ref().is_some_and(|parts| parts.forgotten(now));
            old.then(|| shortage::end(now, service, parts))?
        });
        old.collect()
    }

    /// Draws a number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(1);
        let drawn = stable_hash(&[&self.seed.0.to_le_bytes(), &self.draws.to_le_bytes()]);
        drawn as f64 / u64::MAX as f64
    }
}

/// Returns the rates of a service from the control instance that hears of most work.
fn rates<'a, S: Ord>(
    sources: &'a BTreeMap<S, (Time, AdmissionTold)>,
    service: &str,
) -> Option<Rates<'a>> {
    let told = sources.values().map(|(_, told)| told);
    let each = told.filter_map(|told| {
        let ended = told.ended.iter().find(|ended| ended.service == service)?;
        let offered = told.offered.chunk_by(|a, b| a.service == b.service);
        let offered = offered.into_iter().find(|of| of[0].service == service)?;
        Some(Rates { offered, ended })
    });
    each.max_by_key(|rates| rates.offered.iter().map(|of| of.units).sum::<u64>())
}

/// As the entry of a map, without a copy of the key where there is one.
fn get_or_insert<'a, V>(
    map: &'a mut BTreeMap<String, V>,
    key: &str,
    new: impl FnOnce() -> V,
) -> &'a mut V {
    if !map.contains_key(key) {
        map.insert(key.to_owned(), new());
    }
    map.get_mut(key).expect("it was inserted")
}
