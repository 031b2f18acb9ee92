//! The software versions that targets have had: noted in the log before entry instances hear
//! of them, so that no later owner of a zone takes a version for the only one.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::Time;
use control::{Input, What};
use tokio::sync::oneshot;
use wire::{
    call::{Call, Reply},
    stream::ServiceSoftware,
};

use super::{Job, RENEW_TIMEOUT, Shell, Waiter};
use crate::names;

/// Age from which on an owner's list isn't relied on to show all targets: entry instances get
/// the list from elsewhere by then.
const LIST_MAX_AGE: Duration = Duration::from_secs(3);

impl Shell {
    /// Asks the leader to note the versions that are listed, if that is due.
    pub(super) fn note_software(&mut self) {
        let now = self.clock.now();
        let zones = self.zone_lease.zones(now);
        let owned = self.zone_owner.owned_targets(now);
        let listed: BTreeSet<_> = owned.map(|listed| listed.service_software()).collect();
        if zones.is_empty() || !self.streams.versions.ask(now, &zones, &listed) {
            return;
        }
        let listed: Vec<_> = listed.into_iter().collect();
        let jobs = self.jobs.clone();
        if self.control.leads(now) {
            let (to, reply) = oneshot::channel();
            self.software_report(listed, to);
            tokio::spawn(async move {
                if let Ok(Reply::Software(versions)) = reply.await {
                    jobs.send(noted(now, zones, versions)).ok();
                }
            });
            return;
        }
        let leader = self.leader();
        let address = leader.and_then(|leader| names::instance_address(&leader, self.port));
        let Some(address) = address else { return };
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            let call = Call::Software(listed);
            // A lost question is asked again.
            let reply = links.to(address).call(call, RENEW_TIMEOUT).await;
            if let Ok(Reply::Software(versions)) = reply {
                jobs.send(noted(now, zones, versions)).ok();
            }
        });
    }

    /// Answers a zone owner, as the leader: notes what it lists, if that is due.
    pub(super) fn software_report(
        &mut self,
        listed: Vec<ServiceSoftware>,
        to: oneshot::Sender<Reply>,
    ) {
        let now = self.clock.now();
        // Failure: this instance was frozen while it led, and doesn't know what another leader
        // has noted since.
        if !self.control.leads(now) {
            let leader = self.leader();
            to.send(Reply::Redirect { leader }).ok();
            return;
        }
        let at = self.control.state_clock(now);
        if self.control.state().software().is_due(at, &listed) {
            let ticket = self.wait(Waiter::Software(to));
            let what = What::Software(listed);
            self.input(Input::Publish { ticket, what });
            return;
        }
        to.send(self.software_in_log()).ok();
    }

    /// Returns the versions that the log has.
    pub(super) fn software_in_log(&self) -> Reply {
        let all = self.control.state().software().all();
        Reply::Software(all.cloned().collect())
    }

    /// Takes over what the leader has said of the log, asked at `asked`.
    pub(super) fn software_noted(
        &mut self,
        asked: Time,
        zones: Vec<String>,
        versions: Vec<ServiceSoftware>,
    ) {
        let owned = self.zone_lease.zones(self.clock.now());
        let zones = zones.into_iter().filter(|zone| owned.contains(zone));
        let versions = versions.into_iter().collect();
        let known = &mut self.streams.versions;
        known.noted(asked, zones.collect(), versions);
        self.software_listed();
    }

    /// Returns the zones all of whose versions this instance knows.
    pub(super) fn covered_zones(&self) -> Vec<String> {
        let now = self.clock.now();
        let lists = self.zone_owner.list_ages(now).into_iter();
        let lists = lists.filter(|list| list.age < LIST_MAX_AGE);
        let covered = lists.filter(|list| self.streams.versions.covers(&list.zone));
        let covered = covered.map(|list| list.zone);
        let owned = self.zone_lease.zones(now);
        covered.filter(|zone| owned.contains(zone)).collect()
    }
}

fn noted(asked: Time, zones: Vec<String>, versions: Vec<ServiceSoftware>) -> Job {
    Job::SoftwareNoted {
        asked,
        zones,
        versions,
    }
}
