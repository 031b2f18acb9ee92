//! The software versions of targets, as far as they are known for certain.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{SoftwareVersion, Time};

use super::{TargetState, View};
use crate::streams::ListedSoftware;

/// How long the software of a target isn't relied on after its process was seen to have
/// ended: it may start again under the same id with another version, which the platform's
/// list shows some seconds later.
const DOUBT: Duration = Duration::from_secs(4);

/// What is known of the software of targets, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownSoftware {
    versions: BTreeMap<String, Option<SoftwareVersion>>,
    /// The versions that services have had.
    listed: ListedSoftware,
    /// Targets whose process has ended, and when.
    ended: BTreeMap<String, Time>,
}

impl View {
    /// Takes over the software of targets; `None` where the platform's list names none.
    /// Returns the targets that run another version than was known.
    pub fn set_software(
        &mut self,
        told: impl IntoIterator<Item = (String, Option<SoftwareVersion>)>,
    ) -> Vec<(String, SoftwareVersion)> {
        let versions = &mut self.software.versions;
        let changed = told.into_iter().filter_map(|(id, software)| {
            let old = versions.insert(id.clone(), software.clone());
            let changed = old.is_some_and(|old| old != software);
            software.filter(|_| changed).map(|software| (id, software))
        });
        changed.collect()
    }

    /// Returns the software version that a target certainly runs.
    #[must_use]
    pub fn software(&self, now: Time, id: &str) -> Option<&SoftwareVersion> {
        let ended = self.software.ended.get(id);
        if ended.is_some_and(|at| now.since(*at) < DOUBT) {
            return None;
        }
        self.software.versions.get(id)?.as_ref()
    }

    /// Notes that the process of a target has ended.
    pub fn ended(&mut self, now: Time, id: &str) {
        self.forget_said(id);
        if self.targets.contains_key(id) {
            let at = self.software.ended.entry(id.to_owned()).or_insert(now);
            *at = now.max(*at);
        }
    }

    /// Returns whether the software of some target in `zones` has never been told.
    #[must_use]
    pub fn lacks_software(&self, zones: &[String]) -> bool {
        let mut targets = self.targets.values();
        targets.any(|known| zones.contains(&known.target.zone) && self.is_untold(known))
    }

    /// Returns whether the software of some target of `service` has never been told.
    #[must_use]
    pub fn awaits_software(&self, service: &str) -> bool {
        let mut targets = self.targets.values();
        targets.any(|known| known.target.service == service && self.is_untold(known))
    }

    /// Returns the software versions that targets of `service` have had while a stream may
    /// have lived; `None` stands for targets whose version isn't known.
    #[must_use]
    pub fn listed_software(&self, now: Time, service: &str) -> Vec<Option<SoftwareVersion>> {
        let mut listed = self.software.listed.of(now, service);
        let targets = self.targets.values().map(|known| &known.target);
        for target in targets.filter(|target| target.service == service) {
            let software = self.software.versions.get(&target.id).cloned().flatten();
            if !listed.contains(&software) {
                listed.push(software);
            }
        }
        listed
    }

    /// Returns the availability zones that have targets of `service`.
    #[must_use]
    pub fn zones_with(&self, service: &str) -> BTreeSet<String> {
        let targets = self.targets.values().map(|known| &known.target);
        let of_service = targets.filter(|target| target.service == service);
        of_service.map(|target| target.zone.clone()).collect()
    }

    /// Notes the versions that targets have, and forgets the software of those that are gone.
    pub fn expire_software(&mut self, now: Time) {
        let targets = &self.targets;
        for (id, software) in &self.software.versions {
            if let Some(known) = targets.get(id) {
                let listed = &mut self.software.listed;
                listed.note(now, &known.target.service, software.as_ref());
            }
        }
        self.software.listed.expire(now);
        self.software
            .versions
            .retain(|id, _| targets.contains_key(id));
        self.software.ended.retain(|_, at| now.since(*at) < DOUBT);
    }

    /// Returns whether a target certainly runs the software `wanted`, if any is wanted.
    pub(super) fn runs(
        &self,
        now: Time,
        known: &TargetState,
        wanted: Option<&SoftwareVersion>,
    ) -> bool {
        wanted.is_none() || self.software(now, &known.target.id) == wanted
    }

    fn is_untold(&self, known: &TargetState) -> bool {
        known.target.ready && !self.software.versions.contains_key(&known.target.id)
    }
}
