//! Engines that have asked entry instances for rest.
//!
//! An engine may ask one instance and take requests of all others. Only where half of the
//! instances or more have been asked do its copies of adapters count no longer.

use std::collections::{BTreeMap, BTreeSet};

use base::{InstanceName, Time};
use wire::rest::RestReport;

use super::ZoneOwner;

/// Until when engines rest, by entry instance.
#[derive(Debug, Default)]
pub(super) struct RestingEngines {
    until: BTreeMap<String, BTreeMap<InstanceName, Time>>,
    closed: BTreeSet<String>,
}

impl RestingEngines {
    /// Returns whether half of the entry instances or more may send an engine nothing.
    pub(super) fn is_closed(&self, id: &str) -> bool {
        self.closed.contains(id)
    }

    /// Forgets what an engine has asked for, as it has started anew.
    pub(super) fn forget(&mut self, id: &str) {
        self.until.remove(id);
    }

    /// Forgets the engines that `keep` doesn't name.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.until.retain(|id, _| keep(id));
    }

    /// Forgets rests that are over. Returns the engines that are closed from now on, or no
    /// longer, of `entries` entry instances.
    fn update(&mut self, now: Time, entries: usize) -> Vec<String> {
        self.until.retain(|_, instances| {
            instances.retain(|_, until| now < *until);
            !instances.is_empty()
        });
        let asked = self.until.iter();
        let asked = asked.filter(|(_, instances)| 2 * instances.len() >= entries);
        let closed: BTreeSet<_> = asked.map(|(id, _)| id.clone()).collect();
        let changed = closed.symmetric_difference(&self.closed).cloned().collect();
        self.closed = closed;
        changed
    }
}

impl ZoneOwner {
    /// Takes over which engines have asked an entry instance for rest.
    pub fn rest_report(&mut self, now: Time, report: &RestReport) {
        for resting in &report.resting {
            if !self.engines.contains_key(&resting.target) {
                continue;
            }
            let engine = self.rests.until.entry(resting.target.clone()).or_default();
            let until = engine.entry(report.instance.clone()).or_insert(now);
            *until = (*until).max(now + resting.left.min(rest::LONGEST));
        }
        self.update_rests(now);
    }

    /// Notes rests that are over.
    pub(super) fn update_rests(&mut self, now: Time) {
        if self.rests.until.is_empty() && self.rests.closed.is_empty() {
            return;
        }
        let entries = self.traffic.entries().max(1);
        for id in self.rests.update(now, entries) {
            self.engine_changed(&id);
        }
    }
}
