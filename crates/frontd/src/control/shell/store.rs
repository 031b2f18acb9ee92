//! Tells the owners of other zones what this one uses of the weight store, where goals are
//! tight.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{InstanceName, Time};
use daemon::Links;
use telemetry::{Event, event, prom_metrics};
use wire::{
    call::{Call, Reply},
    store::StoreUse,
};

use super::{Job, Shell};
use crate::names;

/// Time-out of a message to another owner. A later one says more than a late answer to it.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an owner that didn't answer is told nothing: it may run a build that can't read
/// these messages, and closes the connection for each.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Connections to the owners of other zones.
#[derive(Debug)]
pub(super) struct StoreLinks {
    links: Arc<Links>,
    /// Owners that didn't answer, and until when they are told nothing.
    paused: BTreeMap<InstanceName, Time>,
    /// Owners that haven't answered since.
    silent: BTreeSet<InstanceName>,
}

impl StoreLinks {
    /// Creates links from `name`, apart from those that carry the log.
    pub(super) fn new(name: InstanceName) -> Self {
        StoreLinks {
            links: Arc::new(Links::new(name)),
            paused: BTreeMap::new(),
            silent: BTreeSet::new(),
        }
    }
}

impl Shell {
    /// Tells the owners of the other zones what has changed.
    pub(super) fn tell_store(&mut self) {
        let now = self.clock.now();
        let name = self.control.replica().id().instance.clone();
        let Some(told) = self.zone_owner.tell_store(now, &name) else {
            return;
        };
        self.store.paused.retain(|_, until| *until > now);
        let owners = self.control.state().zones().all().values();
        let owners: BTreeSet<_> = owners.map(|owner| &owner.instance).collect();
        for owner in owners {
            let paused = self.store.paused.contains_key(owner);
            let address = names::instance_address(owner, self.port);
            let Some(address) = address.filter(|_| *owner != name && !paused) else {
                continue;
            };
            let (links, jobs) = (Arc::clone(&self.store.links), self.jobs.clone());
            let (owner, told) = (owner.clone(), told.clone());
            tokio::spawn(async move {
                let claim = told.claim;
                let call = Call::Store(told);
                let reply = links.to(address).call(call, STORE_TIMEOUT).await;
                let said = match reply {
                    Ok(Reply::Store(said)) => said,
                    _ => {
                        jobs.send(Job::StoreSilent(owner)).ok();
                        return;
                    }
                };
                if let Some(said) = said {
                    let confirmed = claim;
                    jobs.send(Job::StoreUse { said, confirmed }).ok();
                }
            });
        }
    }

    /// Takes over what another owner says, and returns what this one uses.
    pub(super) fn store_told(&mut self, said: &StoreUse) -> Option<StoreUse> {
        let now = self.clock.now();
        let name = self.control.replica().id().instance.clone();
        self.zone_owner.hear_store(now, said, None);
        self.zone_owner.store_use(now, &name)
    }

    /// Notes that an owner didn't answer.
    pub(super) fn store_silent(&mut self, owner: InstanceName) {
        if self.store.silent.insert(owner.clone()) {
            event!(Event::StoreUnheard, owner = owner.as_str());
        }
        let until = self.clock.now() + STORE_PAUSE;
        self.store.paused.insert(owner, until);
    }

    /// Takes over what another owner answers, which confirms a claim of this one.
    pub(super) fn store_answered(&mut self, said: &StoreUse, confirmed: u32) {
        self.store.silent.remove(&said.instance);
        let now = self.clock.now();
        self.zone_owner.hear_store(now, said, Some(confirmed));
    }

    /// Logs and counts what was done by need; called once a second at most.
    pub(super) fn log_by_need(&mut self) {
        let now = self.clock.now();
        let Some(stats) = self.zone_owner.take_store_stats(now) else {
            return;
        };
        let metrics = prom_metrics();
        metrics.copies("by_need", stats.by_need);
        metrics.copies("surplus", stats.surplus);
        metrics.store_loads("coming", stats.coming);
        metrics.store_loads("limit", stats.limit);
        metrics.store_loads("held_back", stats.held_back);
        metrics.store_loads("window", stats.window);
        if stats.by_need > 0 {
            event!(Event::CopiesByNeed, copies = stats.by_need);
        }
        if stats.surplus > 0 {
            event!(Event::SurplusLetGo, copies = stats.surplus);
        }
        if stats.held_back > 0 {
            event!(
                Event::LoadsWithheld,
                adapters = stats.held_back,
                copies = stats.short,
                coming = stats.coming,
                limit = stats.limit,
                window = stats.window
            );
        }
    }
}
