//! Renews the zone lease of this instance and, on the leader, assigns zones to owners.

use std::{collections::BTreeMap, sync::Arc};

use base::{InstanceName, Time};
use control::{Input, What};
use gateway::zone_owner;
use telemetry::{event, prom_metrics};
use wire::call::{Call, Reply};

use super::{Job, RENEW_TIMEOUT, Shell, Waiter};
use crate::names;

impl Shell {
    /// Renews the zone lease. The leader grants it to itself and assigns zones that have
    /// no owner.
    pub(super) fn renew(&mut self, now: Time) {
        let name = self.control.replica().id().instance.clone();
        if self.control.leads(now) {
            let zone = self.zone.clone();
            self.granter.renew(now, &name, &zone);
            let zones = self.owned_by(&name);
            self.renewed(now, zones);
            self.assign_zones(now);
            return;
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(address) = names::instance_address(&leader, self.port) else {
            return;
        };
        let call = Call::Renew {
            instance: name,
            zone: self.zone.clone(),
        };
        let (links, jobs) = (Arc::clone(&self.links), self.jobs.clone());
        tokio::spawn(async move {
            let reply = links.to(address).call(call, RENEW_TIMEOUT).await;
            // A lost renewal is sent again before the lease ends.
            if let Ok(Reply::Renewed(zones)) = reply {
                jobs.send(Job::Renewed { asked: now, zones }).ok();
            }
        });
    }

    /// Returns the zones that `instance` owns and that are not about to get another
    /// owner.
    ///
    /// Failure: an owner that was unresponsive for long asks for a renewal just after its
    /// zone was assigned to another, before that is in the log. Renewing its lease would
    /// make two owners.
    fn owned_by(&self, instance: &InstanceName) -> Vec<(String, u64)> {
        let own = self.control.state().zones().of(instance);
        let own = own.filter(|(zone, _)| !self.granting.contains(*zone));
        own.map(|(zone, fence)| (zone.to_owned(), fence)).collect()
    }

    pub(super) fn renewed(&mut self, asked: Time, zones: Vec<(String, u64)>) {
        let before = self.zone_lease.zones(self.clock.now());
        self.zone_lease.granted(asked, zones);
        let after = self.zone_lease.zones(self.clock.now());
        self.streams.versions.owned(&before, &after);
        prom_metrics().zones(after.len());
        if before != after {
            event!(telemetry::Event::EngineTaken, zones = after.join(","));
            self.next_list = Time::ZERO;
        }
        let lease = self.zone_lease.clone();
        self.owner_input(zone_owner::Input::Lease(lease));
    }

    fn assign_zones(&mut self, now: Time) {
        let owners = self.control.state().zones().all().iter();
        let owners = owners.map(|(zone, owner)| (zone.clone(), owner.instance.clone()));
        let owners: BTreeMap<_, _> = owners.collect();
        let due = self
            .granter
            .due(now, &self.zones, &owners, self.takeover_delay);
        for (zone, instance) in due {
            if !self.granting.insert(zone.clone()) {
                continue;
            }
            let ticket = self.wait(Waiter::Zone(zone.clone()));
            let what = What::OwnZone { zone, instance };
            self.input(Input::Publish { ticket, what });
        }
    }

    pub(super) fn renew_for(&mut self, instance: &InstanceName, zone: &str) -> Reply {
        let now = self.clock.now();
        // Failure: this instance was frozen while it led, and another leader has assigned
        // the requester's zones to others since.
        if !self.control.leads(now) {
            let leader = self.leader();
            return Reply::Redirect { leader };
        }
        self.granter.renew(now, instance, zone);
        Reply::Renewed(self.owned_by(instance))
    }
}
