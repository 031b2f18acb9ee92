//! What goes to the holder of orders, and what it wants done.

use std::collections::BTreeMap;

use base::Ticket;
use gateway::holder::{self, Ended};
use telemetry::{event, exposed};
use wire::{call::Reply, fleet::Synced};

use super::{Job, Shell, Waiter};

impl Shell {
    pub(super) fn read_list(&self, zone: String) {
        let (list, jobs) = (self.outside.list.clone(), self.jobs.clone());
        let asked = self.clock.now();
        tokio::spawn(async move {
            match list(Some(zone.clone())).await {
                Some(list) => {
                    let zones = vec![zone];
                    let listed = holder::Input::Listed { asked, zones, list };
                    jobs.send(Job::Holder(listed)).ok();
                }
                None => event!(telemetry::Event::ListStale),
            }
        });
    }

    pub(super) fn hold(&mut self, input: holder::Input) {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        self.holder.handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: holder::Output) {
        let jobs = self.jobs.clone();
        match output {
            holder::Output::Order(order) => {
                let id = order.id.clone();
                let what = format!("{:?}", order.act);
                let expected = order.expected;
                let given = (self.outside.give)(order);
                tokio::spawn(async move {
                    let ended = given.await;
                    if !matches!(ended, Ended::Accepted | Ended::Done) {
                        event!(
                            telemetry::Event::LoadFailed,
                            engine = id,
                            order = what,
                            expected = expected,
                            how = format!("{ended:?}")
                        );
                    }
                    exposed().order(ended.as_str());
                    jobs.send(Job::Holder(holder::Input::Ended { id, ended }))
                        .ok();
                });
            }
            holder::Output::Report { id, addr } => {
                let asked = (self.outside.ask)(id.clone(), addr);
                tokio::spawn(async move {
                    let report = asked.await;
                    jobs.send(Job::Holder(holder::Input::Reported { id, report }))
                        .ok();
                });
            }
            holder::Output::Answer { ticket, synced } => self.answer(ticket, synced),
        }
    }

    fn answer(&mut self, ticket: Ticket, mut synced: Synced) {
        let Some(Waiter::Sync { to, edition }) = self.waiters.remove(&ticket) else {
            return;
        };
        let editions = self.control.state().editions();
        let newer = editions.newest().filter(|newest| newest.number > edition);
        synced.edition = newer.cloned();
        let versions = editions.versions().iter();
        synced.versions = Some(versions.map(|(a, v)| (a.clone(), *v)).collect());
        if let Some(members) = self.control.replica().members() {
            synced.controls = members.all().map(|id| id.instance.clone()).collect();
        }
        to.send(Reply::Sync(Box::new(synced))).ok();
    }

    pub(super) fn named_changed(&mut self) {
        let editions = self.control.state().editions();
        if let Some(newest) = editions.newest() {
            match (self.outside.decode)(&newest.body) {
                Ok(decoded) => self.holder.set_specs(decoded.table.engines()),
                Err(why) => event!(telemetry::Event::TextBroken, why = why),
            }
        }
        let versions: BTreeMap<_, _> = editions.versions().clone();
        self.hold(holder::Input::Versions(versions));
    }
}
