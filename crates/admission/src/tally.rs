//! What all entry instances report, added up at a control instance.

use std::{collections::BTreeMap, time::Duration};

use account::Rate;
use base::Time;
use wire::admission::{AdmissionReport, AdmissionTold, Ended, Offered, Room};

use crate::{Offerer, RATE_MEMORY, TOLD_FROM};

/// A tally that runs for less than this tells nothing: it has not heard from all entry
/// instances.
const START_TIME: Duration = Duration::from_millis(500);

/// What wasn't offered for this long is forgotten.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// Work offered and ended, in units a second.
#[derive(Clone, Debug)]
pub struct Tally {
    started: Time,
    services: BTreeMap<String, Service>,
}

#[derive(Clone, Debug)]
struct Service {
    offered: BTreeMap<Offerer, Counted>,
    units: Rate,
    requests: Rate,
    last: Time,
}

/// What one account offers at one rank.
#[derive(Clone, Copy, Debug)]
struct Counted {
    weight: u64,
    units: Rate,
    last: Time,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Tally {
            started: now,
            services: BTreeMap::new(),
        }
    }

    /// Adds the report of an entry instance.
    pub fn add(&mut self, now: Time, report: &AdmissionReport) {
        for offered in &report.offered {
            let service = self.service(now, &offered.service);
            let offerer = (offered.account.clone(), offered.rank);
            let counted = service.offered.entry(offerer).or_insert(Counted {
                weight: offered.weight,
                units: Rate::new(RATE_MEMORY),
                last: now,
            });
            (counted.weight, counted.last) = (offered.weight, now);
            counted.units.add(now, offered.units as f64);
        }
        for ended in &report.ended {
            let service = self.service(now, &ended.service);
            service.units.add(now, ended.units as f64);
            service.requests.add(now, ended.requests as f64);
        }
    }

    /// Returns what entry instances are told, with the `rooms` of the zones that this control
    /// instance owns.
    ///
    /// Nothing is told in the first half second, in which not all entry instances are heard
    /// from. Rates are told for services of which half of the places or more are taken in some
    /// zone.
    #[must_use]
    pub fn told(&self, now: Time, rooms: Vec<Room>) -> AdmissionTold {
        let age = now.since(self.started);
        let mut told = AdmissionTold::default();
        if age < START_TIME {
            return told;
        }
        // A rate that has just begun to be counted is too low by what its memory lacks.
        let scale = 1.0 / (1.0 - (-age.as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp());
        for (name, service) in &self.services {
            if rooms.iter().any(|room| room.service == *name && full(room)) {
                service.tell(now, scale, name, &mut told);
            }
        }
        told.rooms = rooms;
        told
    }

    /// Forgets what wasn't offered for long.
    pub fn expire(&mut self, now: Time) {
        self.services
            .retain(|_, service| now.since(service.last) < KEPT_FOR);
        for service in self.services.values_mut() {
            service
                .offered
                .retain(|_, counted| now.since(counted.last) < KEPT_FOR);
        }
    }

    fn service(&mut self, now: Time, name: &str) -> &mut Service {
        let service = self.services.entry(name.to_owned());
        let service = service.or_insert_with(|| Service {
            offered: BTreeMap::new(),
            units: Rate::new(RATE_MEMORY),
            requests: Rate::new(RATE_MEMORY),
            last: now,
        });
        service.last = now;
        service
    }
}

impl Service {
    fn tell(&self, now: Time, scale: f64, name: &str, told: &mut AdmissionTold) {
        let offered = self
            .offered
            .iter()
            .map(|((account, rank), counted)| Offered {
                service: name.to_owned(),
                account: account.clone(),
                rank: *rank,
                weight: counted.weight,
                units: (counted.units.at(now) * scale).round() as u64,
            });
        told.offered.extend(offered);
        told.ended.push(Ended {
            service: name.to_owned(),
            units: (self.units.at(now) * scale).round() as u64,
            requests: (self.requests.at(now) * scale * MILLI).round() as u64,
        });
    }
}

fn full(room: &Room) -> bool {
    f64::from(room.running) >= TOLD_FROM * f64::from(room.slots)
}
