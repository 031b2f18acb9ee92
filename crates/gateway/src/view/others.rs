//! Load that other instances put on targets, and how much of it is known.
//!
//! Pattern: a zone's owner is frozen, cut off or has just taken over. What it last said of
//! the load there grows old, or leaves out instances that it hasn't heard yet. Targets
//! that look empty would get the requests of all instances at once. Where too little is
//! known, a target counts as loaded as others of its service, and more where this instance
//! itself has requests there: all instances choose alike.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::{TargetState, View};

/// Age up to which a report of the others' load is used as it is: two exchanges.
const FRESH: Duration = Duration::from_millis(600);

/// Part of all instances from which on a report counts as complete.
const COMPLETE_PART: f64 = 0.8;

/// Weight of the newest report in the smoothed load, which follows some four exchanges.
const SMOOTHING_WEIGHT: f64 = 0.25;

/// What zone owners have said of the others' load.
#[derive(Clone, Debug, Default)]
pub(super) struct OthersLoad {
    zones: BTreeMap<String, Heard>,
    /// Requests of the others at each target, averaged over reports.
    smoothed: BTreeMap<String, f64>,
    /// Requests at a target, as a part of its slots, over all targets of each service when
    /// it was last known.
    typical: BTreeMap<String, f64>,
}

/// The last report of a zone.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    /// Number of instances that it covers.
    instances: u32,
}

impl OthersLoad {
    /// Returns the number of instances that the most complete report covers.
    fn instances(&self) -> u32 {
        let instances = self.zones.values().map(|heard| heard.instances);
        instances.max().unwrap_or(1).max(1)
    }

    /// Returns whether the load of a zone's targets is known.
    pub(super) fn is_known(&self, now: Time, zone: &str) -> bool {
        let all = f64::from(self.instances());
        self.zones.get(zone).is_some_and(|heard| {
            let complete = f64::from(heard.instances) >= COMPLETE_PART * all;
            complete && now.since(heard.at) <= FRESH
        })
    }

    /// Returns the requests of the others at a target, averaged over reports.
    pub(super) fn smoothed(&self, id: &str) -> Option<f64> {
        self.smoothed.get(id).copied()
    }

    /// Returns the probable number of requests at a target of which nothing is known but
    /// the `own` ones, if it is loaded as others of its service are.
    fn probable(&self, own: f64, service: &str, slots: f64) -> f64 {
        let typical = self.typical.get(service).copied().unwrap_or(0.0) * slots;
        let all = f64::from(self.instances());
        // The mean of a gamma distribution around the typical load after `own` requests
        // were seen at one of `all` instances.
        all * (1.0 + own) / (all / typical.max(1.0) + 1.0)
    }
}

impl View {
    /// Returns when the owner of `zone` last reported the load there.
    #[must_use]
    pub fn load_heard(&self, zone: &str) -> Option<Time> {
        self.load_known.zones.get(zone).map(|heard| heard.at)
    }

    /// Notes that the owner of `zones` has just reported the load there, from as many
    /// `instances` as it hears from. It follows [`Self::set_other_running`].
    pub fn heard_load(&mut self, now: Time, zones: &[String], instances: u32) {
        for zone in zones {
            let heard = Heard { at: now, instances };
            self.load_known.zones.insert(zone.clone(), heard);
        }
        let targets = self.targets.values();
        let in_zones: Vec<_> = targets
            .filter(|known| zones.contains(&known.target.zone))
            .collect();
        for known in in_zones {
            let id = &known.target.id;
            let reported = f64::from(self.others.get(id).copied().unwrap_or(0));
            let smoothed = &mut self.load_known.smoothed;
            match smoothed.get_mut(id) {
                Some(old) => *old += (reported - *old) * SMOOTHING_WEIGHT,
                None => {
                    smoothed.insert(id.clone(), reported);
                }
            }
        }
        let targets = &self.targets;
        self.load_known
            .smoothed
            .retain(|id, _| targets.contains_key(id));
        self.note_typical(now);
    }

    /// Updates the mean load of each service's targets whose load is known.
    fn note_typical(&mut self, now: Time) {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for known in self.targets.values() {
            let target = &known.target;
            if target.ready && self.load_known.is_known(now, &target.zone) {
                let (load, count) = sums.entry(&target.service).or_default();
                *load += self.load(known);
                *count += 1.0;
            }
        }
        let means = sums.into_iter();
        let means: Vec<_> = means
            .map(|(service, (load, count))| (service.to_owned(), load / count))
            .collect();
        self.load_known.typical.extend(means);
    }

    /// Returns the requests that probably run or wait at a target.
    pub(super) fn probable_running(&self, now: Time, known: &TargetState, brief: bool) -> f64 {
        let own: u32 = known.own.values().sum();
        let own = f64::from(own);
        let target = &known.target;
        let reported = f64::from(self.others.get(&target.id).copied().unwrap_or(0));
        if !self.load_known.is_known(now, &target.zone) {
            let slots = f64::from(target.slots.max(1));
            let probable = self.load_known.probable(own, &target.service, slots);
            return probable.max(own + reported);
        }
        // What runs for less than an exchange is over before its count arrives.
        let smoothed = self.load_known.smoothed(&target.id).filter(|_| brief);
        own + smoothed.unwrap_or(reported)
    }
}
