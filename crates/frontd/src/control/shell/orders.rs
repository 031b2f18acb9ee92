//! What goes to the holder of orders, and what it wants done.

use base::Ticket;
use gateway::holder::{self, Act, Ended, Order};
use telemetry::{event, prom_metrics};
use wire::{
    call::Reply,
    fleet::{Synced, Weights},
};

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

    /// Hands one input to the holder; what follows from it is due with [`Self::order`].
    pub(super) fn hold(&mut self, input: holder::Input) {
        self.holder.take(self.clock.now(), input);
    }

    /// Gives the orders and answers that follow from all that came together.
    ///
    /// Failure: each message of each entry instance was followed by a plan. The more
    /// adapters were missing the more messages came and the dearer each plan was, until
    /// answers of engines were read too late.
    pub(super) fn order(&mut self) {
        let mut outputs = Vec::new();
        self.holder.act(self.clock.now(), &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    /// Logs what was learned of the store, once a second at most and only while
    /// adapters wait for it.
    pub(super) fn note_store(&mut self) {
        let learned = self.holder.learned();
        if learned.waiting == 0 {
            return;
        }
        event!(
            telemetry::Event::StoreThrottled,
            waiting = learned.waiting,
            coming = learned.coming,
            idle = learned.idle,
            full = learned.full,
            load_ms = learned.load.as_millis(),
            loads = learned.loads,
            memory = learned.memory
        );
    }

    /// Logs which weights the engines hold, where these differ and that has changed.
    pub(super) fn note_weights(&mut self) {
        let held = self.holder.weights();
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

    fn carry_out(&mut self, output: holder::Output) {
        let jobs = self.jobs.clone();
        match output {
            holder::Output::Order(order) => {
                let given = (self.outside.give)(order.clone());
                tokio::spawn(async move {
                    let ended = given.await;
                    note_order(&order, ended);
                    prom_metrics().order(ended.as_str());
                    let id = order.id;
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
        let Some(Waiter::Sync { to, revision }) = self.waiters.remove(&ticket) else {
            return;
        };
        let editions = self.control.state().editions();
        synced.edition = editions.newest().map_or(0, |newest| newest.number);
        let told = self.revisions.since(revision);
        (synced.versions, synced.revision) = (told.versions, told.known);
        if let Some(members) = self.control.replica().members() {
            synced.controls = members.all().map(|id| id.instance.clone()).collect();
        }
        to.send(Reply::Sync(Box::new(synced))).ok();
    }

    pub(super) fn named_changed(&mut self) {
        self.take_newest();
        let versions = self.control.state().editions().versions().clone();
        self.revisions.take(&versions);
        self.hold(holder::Input::Versions(versions));
    }

    /// Takes the newest edition once: keeps it for entry instances, and reads what
    /// engines can hold.
    ///
    /// Failure: a configuration of four megabytes takes a control instance a tenth of
    /// a second to read, and versions of adapters are named ten times a second. Read
    /// for each of them, it left no time for heartbeats, and the leader was lost.
    fn take_newest(&mut self) {
        let newest = self.control.state().editions().newest();
        let taken = self.handout.newest();
        let Some(newest) = newest.filter(|newest| taken != Some(newest.number)) else {
            return;
        };
        self.handout.keep(self.clock.now(), newest);
        match (self.outside.decode)(&newest.body) {
            Ok(decoded) => self.holder.set_specs(decoded.table.engines()),
            Err(why) => event!(telemetry::Event::TextBroken, why = why),
        }
    }
}

/// Logs what came of an order, so that a refused request's adapter can be followed.
fn note_order(order: &Order, ended: Ended) {
    use telemetry::Event as Line;
    let (id, expected, how) = (&order.id, order.expected, ended.as_str());
    let taken = matches!(ended, Ended::Accepted | Ended::Done);
    match &order.act {
        Act::Load { adapter, .. } if taken => {
            event!(
                Line::AdapterLoaded,
                engine = id,
                adapter = adapter,
                expected = expected,
                how = how
            );
        }
        Act::Evict(adapter) if taken => {
            event!(
                Line::AdapterUnloaded,
                engine = id,
                adapter = adapter,
                expected = expected,
                how = how
            );
        }
        Act::LoadModel(_) if taken => {}
        act => event!(
            Line::LoadFailed,
            engine = id,
            order = format!("{act:?}"),
            expected = expected,
            how = how
        ),
    }
}
