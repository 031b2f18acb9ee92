//! Calls of other instances.

use control::Input;
use gateway::zone_owner;
use tokio::sync::oneshot;
use wire::{
    account::Usage,
    call::{Call, Reply},
    fleet::Sync,
    quarantine::CrashReport,
};

use super::{Detail, Shell, Waiter, lists::Asker};

impl Shell {
    pub(super) fn call(&mut self, call: Call, to: oneshot::Sender<Reply>) {
        match call {
            Call::Sync(sync) => self.sync(*sync, None, Detail::Nothing, to),
            Call::SyncUsage { sync, usage } => {
                self.sync(*sync, Some(usage), Detail::Nothing, to);
            }
            Call::SyncLists { sync, usage } => {
                let usage = (!usage.accounts.is_empty()).then_some(usage);
                self.sync(*sync, usage, Detail::Lists, to);
            }
            Call::SyncStarts { sync, usage } => {
                let usage = (!usage.accounts.is_empty()).then_some(usage);
                self.sync(*sync, usage, Detail::Starts, to);
            }
            Call::ZoneList(zone) => self.zone_list(zone, Asker { to, starts: false }),
            Call::ZoneStarts(zone) => self.zone_list(zone, Asker { to, starts: true }),
            Call::Edition { number, from } => {
                let part = self.editions.part(self.clock.now(), number, from);
                to.send(Reply::Edition(part)).ok();
            }
            Call::Limits(report) => {
                let permit = self.limit_report(&report);
                to.send(Reply::Limits(permit)).ok();
            }
            Call::Entries(report) => {
                let helpers = self.roster.report(self.clock.now(), &report);
                to.send(Reply::Entries(helpers)).ok();
            }
            Call::Streams(sync) => {
                to.send(self.stream_sync(sync)).ok();
            }
            Call::Retries(report) => {
                let answer = self.broker.report(self.clock.now(), &report);
                to.send(Reply::Retries(answer)).ok();
            }
            Call::Rests(report) => {
                self.zone_owner.rest_report(self.clock.now(), &report);
                to.send(Reply::Done).ok();
            }
            Call::Admission(report) => {
                to.send(Reply::Admission(self.admission_report(&report)))
                    .ok();
            }
            Call::Software(listed) => self.software_report(listed, to),
            Call::FindStream(asked) => {
                to.send(self.find_stream(&asked)).ok();
            }
            Call::Renew { instance, zone } => {
                to.send(self.renew_for(&instance, &zone)).ok();
            }
            call => {
                let ticket = self.wait(Waiter::Call(to));
                self.input(Input::Call { ticket, call });
            }
        }
    }

    fn sync(
        &mut self,
        sync: Sync,
        usage: Option<Usage>,
        detail: Detail,
        to: oneshot::Sender<Reply>,
    ) {
        let report = CrashReport::clone(&sync.crashes);
        for run in &report.runs {
            self.target_ended(&run.target, run.ago);
        }
        if !(report.runs.is_empty() && report.answered.is_empty()) {
            self.input(Input::Crashes(report));
        }
        let now = self.clock.now();
        if let Some(instance) = &sync.instance {
            self.sharers.heard(now, instance);
        }
        let usage = sync.instance.clone().zip(usage);
        match (&sync.instance, &usage) {
            (_, Some((instance, usage))) => self.tally.add(now, instance, usage),
            (Some(instance), None) => self.tally.heard(now, instance),
            (None, None) => {}
        }
        let ticket = self.wait(Waiter::Sync {
            to,
            revision: sync.revision,
            verdict: sync.crashes.known,
            usage,
            detail,
        });
        self.owner_input(zone_owner::Input::Sync(ticket, sync));
    }
}
