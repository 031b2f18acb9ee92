//! Which zones this instance gives orders in, and, as the leader, which instance
//! does in each zone.

use std::{collections::BTreeMap, sync::Arc};

use base::{InstanceName, Time};
use control::{Input, What};
use gateway::holder;
use telemetry::{event, prom_metrics};
use wire::call::{Call, Reply};

use super::{Job, RENEW_LIMIT, Shell, Waiter};
use crate::names;

impl Shell {
    /// Renews the right to give orders; as the leader, grants it to itself and
    /// gives zones without an owner to somebody.
    pub(super) fn renew(&mut self, now: Time) {
        let name = self.control.replica().id().instance.clone();
        if self.control.leads(now) {
            let zone = self.zone.clone();
            self.granter.renew(now, &name, &zone);
            let zones = self.owned_by(&name);
            self.renewed(now, zones);
            self.give_zones(now);
            return;
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(address) = names::address(&leader, self.port) else {
            return;
        };
        let call = Call::Renew {
            instance: name,
            zone: self.zone.clone(),
        };
        let (links, jobs) = (Arc::clone(&self.links), self.jobs.clone());
        tokio::spawn(async move {
            let reply = links.to(address).call(call, RENEW_LIMIT).await;
            // What is lost is asked for again before the tenure ends.
            if let Ok(Reply::Renewed(zones)) = reply {
                jobs.send(Job::Renewed { asked: now, zones }).ok();
            }
        });
    }

    /// Returns the zones that `instance` owns and that are not about to get
    /// another owner.
    ///
    /// Failure: an owner that was silent for long asks again just after its
    /// zone was given to another, before that is through the log. Renewing its
    /// right would make two owners.
    fn owned_by(&self, instance: &InstanceName) -> Vec<(String, u64)> {
        let own = self.control.state().zones().of(instance);
        let own = own.filter(|(zone, _)| !self.moving.contains(*zone));
        own.map(|(zone, fence)| (zone.to_owned(), fence)).collect()
    }

    pub(super) fn renewed(&mut self, asked: Time, zones: Vec<(String, u64)>) {
        let before = self.tenure.zones(self.clock.now());
        self.tenure.granted(asked, zones);
        let after = self.tenure.zones(self.clock.now());
        prom_metrics().zones(after.len());
        if before != after {
            event!(telemetry::Event::EngineTaken, zones = after.join(","));
            self.next_list = Time::ZERO;
        }
        let tenure = self.tenure.clone();
        self.hold(holder::Input::Tenure(tenure));
    }

    fn give_zones(&mut self, now: Time) {
        let owners = self.control.state().zones().all().iter();
        let owners = owners.map(|(zone, owner)| (zone.clone(), owner.instance.clone()));
        let owners: BTreeMap<_, _> = owners.collect();
        let due = self.granter.due(now, &self.zones, &owners, self.turns);
        for (zone, instance) in due {
            if !self.moving.insert(zone.clone()) {
                continue;
            }
            let ticket = self.wait(Waiter::Zone(zone.clone()));
            let what = What::OwnZone { zone, instance };
            self.input(Input::Name { ticket, what });
        }
    }

    pub(super) fn grant(&mut self, instance: &InstanceName, zone: &str) -> Reply {
        let now = self.clock.now();
        // Failure: this instance was frozen while it led, and another has
        // given the asker's zones away since.
        if !self.control.leads(now) {
            let leader = self.leader();
            return Reply::Elsewhere { leader };
        }
        self.granter.renew(now, instance, zone);
        Reply::Renewed(self.owned_by(instance))
    }
}
