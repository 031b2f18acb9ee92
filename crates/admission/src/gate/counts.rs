//! What callers offer at one entry instance, and what has ended.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::admission::{Ended, Offered};

use crate::Offerer;

/// What wasn't offered for this long is forgotten.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Counts of one service. `S` names control instances.
#[derive(Clone, Debug)]
pub(super) struct Counts<S> {
    offered: BTreeMap<Offerer, Counter<S>>,
    ended: Counter<S>,
    requests: Counter<S>,
    /// Units of requests that said how many, and their number.
    said: (u64, u64),
}

/// A count that grows, and what of it each control instance was told.
#[derive(Clone, Debug)]
pub(super) struct Counter<S> {
    weight: u64,
    units: u64,
    reported: BTreeMap<S, u64>,
    last: Time,
    /// Part of a request that may be let in beyond those that were.
    pub(super) credit: f64,
}

impl<S: Ord + Copy> Counts<S> {
    pub(super) fn new(now: Time) -> Self {
        Counts {
            offered: BTreeMap::new(),
            ended: Counter::new(now, 0.0),
            requests: Counter::new(now, 0.0),
            said: (0, 0),
        }
    }

    /// Returns the units that a request counts for: those that it says, or else the mean of
    /// the others.
    pub(super) fn units(&mut self, said: Option<u64>) -> u64 {
        if let Some(units) = said {
            self.said = (self.said.0 + units, self.said.1 + 1);
        }
        let mean = self.said.0.checked_div(self.said.1).unwrap_or(1);
        said.unwrap_or(mean).max(1)
    }

    /// Counts an offered request, and returns its counter, whose credit begins at `credit`.
    pub(super) fn offer(
        &mut self,
        now: Time,
        offerer: Offerer,
        (weight, units): (u64, u64),
        credit: f64,
    ) -> &mut Counter<S> {
        let counter = self.offered.entry(offerer);
        let counter = counter.or_insert_with(|| Counter::new(now, credit));
        counter.weight = weight;
        counter.add(now, units);
        counter
    }

    pub(super) fn end(&mut self, now: Time, units: u64) {
        self.ended.add(now, units);
        self.requests.add(now, 1);
    }

    /// Takes what `to` has not been told of; nothing of it is told if `late`.
    pub(super) fn take(
        &mut self,
        to: S,
        late: bool,
        service: &str,
    ) -> (Vec<Offered>, Option<Ended>) {
        let mut offered = Vec::new();
        for ((account, rank), counter) in &mut self.offered {
            let units = counter.take(to);
            if units > 0 && !late {
                offered.push(Offered {
                    service: service.to_owned(),
                    account: account.clone(),
                    rank: *rank,
                    weight: counter.weight,
                    units,
                });
            }
        }
        let (units, requests) = (self.ended.take(to), self.requests.take(to));
        let ended = (requests > 0 && !late).then(|| Ended {
            service: service.to_owned(),
            units,
            requests,
        });
        (offered, ended)
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.offered
            .retain(|_, counter| now.since(counter.last) < KEPT_FOR);
    }
}

impl<S: Ord + Copy> Counter<S> {
    fn new(now: Time, credit: f64) -> Self {
        Counter {
            weight: 0,
            units: 0,
            reported: BTreeMap::new(),
            last: now,
            credit,
        }
    }

    fn add(&mut self, now: Time, units: u64) {
        self.units += units;
        self.last = now;
    }

    fn take(&mut self, to: S) -> u64 {
        let before = self.reported.insert(to, self.units);
        self.units - before.unwrap_or(0)
    }
}
