//! Inputs and outputs of the zone owner.

use base::Ticket;
use gateway::zone_owner::{self, Action, Order, OrderOutcome};
use telemetry::{event, prom_metrics};
use wire::{
    call::Reply,
    fleet::{Synced, Weights},
    limit::{LimitReport, Permit},
    list::SyncedLists,
};

use super::{Detail, Job, Shell, Waiter};
use crate::limit_log;

impl Shell {
    /// Passes one input to the zone owner; what follows from it is done by
    /// [`Self::run_owner`].
    pub(super) fn owner_input(&mut self, input: zone_owner::Input) {
        let listed = matches!(input, zone_owner::Input::Listed { .. });
        self.zone_owner.apply(self.clock.now(), input);
        if listed {
            self.software_listed();
        }
    }

    /// Carries out the orders and answers that follow from all inputs of a batch.
    ///
    /// Failure: a plan was made for each message of each entry instance. The more
    /// adapters were missing, the more messages arrived and the more each plan cost,
    /// until answers of engines were read too late.
    pub(super) fn run_owner(&mut self) {
        let mut outputs = Vec::new();
        self.zone_owner.poll(self.clock.now(), &mut outputs);
        for output in outputs {
            self.execute(output);
        }
    }

    /// Passes what an entry instance has heard of limits to the zone owner, and returns the
    /// answer to its request for a permit.
    pub(super) fn limit_report(&mut self, report: &LimitReport) -> Option<Permit> {
        let (permit, changes) = self.zone_owner.limit_report(self.clock.now(), report);
        for change in changes {
            limit_log::log_change(&change, report.instance.as_str());
        }
        permit
    }

    /// Logs what was learned about the weight store while adapters wait for it; called
    /// once a second at most.
    pub(super) fn log_store(&mut self) {
        let learned = self.zone_owner.load_stats();
        if learned.waiting == 0 {
            return;
        }
        event!(
            telemetry::Event::StoreThrottled,
            waiting = learned.waiting,
            coming = learned.loading,
            idle = learned.available,
            full = learned.full,
            load_ms = learned.load.as_millis(),
            loads = learned.loads,
            memory = learned.memory
        );
    }

    /// Logs which weights the engines hold, if they differ and this has changed.
    pub(super) fn log_weights(&mut self) {
        let held = self.zone_owner.weights();
        if held == self.weights {
            return;
        }
        for (weights, engines) in &held {
            let other = |w: &Weights| w.model == weights.model && w != weights;
            if held.keys().any(other) {
                event!(
                    telemetry::Event::WeightsHeld,
                    model = weights.model,
                    version = weights.version,
                    engines = *engines
                );
            }
        }
        self.weights = held;
    }

    fn execute(&mut self, output: zone_owner::Output) {
        let jobs = self.jobs.clone();
        match output {
            zone_owner::Output::Order(order) => {
                let given = (self.platform.send_order)(order.clone());
                tokio::spawn(async move {
                    let ended = given.await;
                    log_order(&order, ended);
                    prom_metrics().order(ended.as_str());
                    let id = order.id;
                    jobs.send(Job::ZoneOwner(zone_owner::Input::OrderEnded {
                        id,
                        outcome: ended,
                    }))
                    .ok();
                });
            }
            zone_owner::Output::Report { id, addr } => {
                let asked = (self.platform.read_report)(id.clone(), addr);
                tokio::spawn(async move {
                    let report = asked.await;
                    jobs.send(Job::ZoneOwner(zone_owner::Input::Reported { id, report }))
                        .ok();
                });
            }
            zone_owner::Output::Answer { ticket, synced } => self.reply_sync(ticket, synced),
        }
    }

    fn reply_sync(&mut self, ticket: Ticket, mut synced: Synced) {
        let Some(Waiter::Sync {
            to,
            revision,
            verdict,
            usage,
            detail,
        }) = self.waiters.remove(&ticket)
        else {
            return;
        };
        let register = self.control.crash_register();
        synced.quarantine = register.since(self.clock.now(), verdict);
        let editions = self.control.state().editions();
        synced.edition = editions.newest().map_or(0, |newest| newest.number);
        let unknown = self.revisions.since(revision);
        (synced.versions, synced.revision) = (unknown.versions, unknown.known);
        if let Some(members) = self.control.replica().members() {
            synced.controls = members.all().map(|id| id.instance.clone()).collect();
        }
        let now = self.clock.now();
        let others = usage.map(|(instance, usage)| self.tally.others(now, &instance, &usage));
        let reply = match (detail, others) {
            (Detail::Nothing, Some(others)) => Reply::SyncUsage {
                synced: Box::new(synced),
                others,
            },
            (Detail::Nothing, None) => Reply::Sync(Box::new(synced)),
            (Detail::Lists | Detail::Starts, others) => {
                let lists = SyncedLists {
                    synced,
                    others: others.unwrap_or_default(),
                    ages: self.zone_owner.list_ages(now),
                    sharers: self.sharers.count(),
                };
                match detail {
                    Detail::Starts => Reply::SyncStarts(Box::new(lists.into())),
                    Detail::Nothing | Detail::Lists => Reply::SyncLists(Box::new(lists)),
                }
            }
        };
        to.send(reply).ok();
    }

    pub(super) fn editions_changed(&mut self) {
        self.cache_newest();
        let versions = self.control.state().editions().versions().clone();
        self.revisions.update(&versions);
        self.owner_input(zone_owner::Input::Versions(versions));
    }

    /// Takes a newest edition once: caches it for entry instances, and reads from it what
    /// engines can hold.
    ///
    /// Failure: a control instance needs a tenth of a second to read a configuration of
    /// four megabytes, and versions of adapters are set ten times a second. Reading the
    /// configuration for each of them left no time for heartbeats, and the leader was
    /// lost.
    fn cache_newest(&mut self) {
        let newest = self.control.state().editions().newest();
        let taken = self.editions.newest();
        let Some(newest) = newest.filter(|newest| taken != Some(newest.number)) else {
            return;
        };
        self.editions.insert(self.clock.now(), newest);
        match (self.platform.decode)(&newest.body) {
            Ok(decoded) => {
                self.zone_owner.set_specs(decoded.table.engines());
                self.zone_owner.set_tight(decoded.table.has_tight_goals());
            }
            Err(why) => event!(telemetry::Event::TextBroken, why = why),
        }
    }
}

/// Logs the outcome of an order, so that the log shows why an adapter was missing for a
/// refused request.
fn log_order(order: &Order, ended: OrderOutcome) {
    use telemetry::Event as Line;
    let (id, expected, how) = (&order.id, order.expected, ended.as_str());
    let taken = matches!(ended, OrderOutcome::Accepted | OrderOutcome::Done);
    match &order.action {
        Action::Load { adapter, .. } if taken => {
            event!(
                Line::AdapterLoaded,
                engine = id,
                adapter = adapter,
                expected = expected,
                how = how
            );
        }
        Action::Evict(adapter) if taken => {
            event!(
                Line::AdapterUnloaded,
                engine = id,
                adapter = adapter,
                expected = expected,
                how = how
            );
        }
        Action::LoadModel(_) if taken => {}
        act => event!(
            Line::LoadFailed,
            engine = id,
            order = format!("{act:?}"),
            expected = expected,
            how = how
        ),
    }
}
