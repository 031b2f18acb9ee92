//! Limits that targets name: what entry instances report of them, and permits.

use base::{InstanceName, Time};
use wire::limit::{LimitReport, Permit, PermitRequest};

use super::ZoneOwner;
use crate::target_limit::LimitChange;

impl ZoneOwner {
    /// Takes over what an entry instance has heard of the limits of targets, and answers
    /// its request for a permit. Returns what has changed.
    pub fn limit_report(
        &mut self,
        now: Time,
        report: &LimitReport,
    ) -> (Option<Permit>, Vec<LimitChange>) {
        let mut report = report.clone();
        report.seen.retain(|seen| self.owns(now, &seen.target));
        let changes = self.limits.report(now, &report);
        for change in &changes {
            self.engine_changed(&change.target);
        }
        let want = report.want.as_ref();
        let permit = want.map(|want| self.permit(now, &report.instance, want));
        (permit, changes)
    }

    fn permit(&mut self, now: Time, instance: &InstanceName, want: &PermitRequest) -> Permit {
        if !self.owns(now, &want.target) {
            return Permit::NotOwner;
        }
        let entries = self.traffic.entries();
        self.limits.ask(now, instance, want, entries)
    }

    /// Returns whether a target is known and in a zone of this owner.
    fn owns(&self, now: Time, target: &str) -> bool {
        let listed = self.targets.get(target);
        listed.is_some_and(|listed| self.lease.fence(now, &listed.zone).is_some())
    }
}
