//! The platform's lists of targets, and how old those in use are.

use std::collections::BTreeMap;

use base::Time;
use wire::list::ListAge;

use super::{ListedTarget, ZoneOwner};

impl ZoneOwner {
    /// Replaces the targets of `zones`, unless a list was applied that was requested later.
    pub(super) fn listed(
        &mut self,
        now: Time,
        asked: Time,
        zones: &[String],
        list: Vec<ListedTarget>,
    ) {
        let newer = |zone| self.lists.get(zone).is_some_and(|at| *at > asked);
        if zones.iter().any(newer) {
            return;
        }
        self.lists
            .extend(zones.iter().map(|zone| (zone.clone(), asked)));
        let targets = std::mem::take(&mut self.targets).into_iter();
        let (before, mut targets): (BTreeMap<_, _>, BTreeMap<_, _>) =
            targets.partition(|(_, listed)| zones.contains(&listed.zone));
        for listed in list {
            if self.specs.contains_key(&listed.service) {
                let engine = self.engines.entry(listed.id.clone()).or_default();
                engine.listed(now, asked, &listed, &self.config);
            }
            let known = before.get(&listed.id);
            if known.is_some_and(|known| known.born != listed.born) {
                self.limits.end(now, &listed.id);
                self.rests.forget(&listed.id);
            }
            targets.insert(listed.id.clone(), listed);
        }
        self.limits.retain(|id| targets.contains_key(id));
        self.engines.retain(|id, _| targets.contains_key(id));
        self.rests.retain(|id| targets.contains_key(id));
        self.changed.extend(targets.keys().cloned());
        self.changed.extend(self.updates.ids());
        self.targets = targets;
        self.placement = None;
        self.plan_due = true;
    }

    /// Returns the owned zones whose lists have been read.
    ///
    /// Failure: an instance that has just become the owner of a zone knows none of its
    /// targets. Entry instances would drop all of them, and choose by no list at all.
    pub(super) fn listed_zones(&self, now: Time) -> Vec<String> {
        let mut zones = self.lease.zones(now);
        zones.retain(|zone| self.lists.contains_key(zone));
        zones
    }

    /// Returns how old the lists of the owned zones are.
    #[must_use]
    pub fn list_ages(&self, now: Time) -> Vec<ListAge> {
        let zones = self.listed_zones(now).into_iter();
        let ages = zones.map(|zone| ListAge {
            age: now.since(self.lists[&zone]),
            zone,
        });
        ages.collect()
    }
}
