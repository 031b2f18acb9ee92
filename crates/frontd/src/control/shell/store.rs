//! Tells the owners of other zones what this one uses of the weight store, where goals are
//! tight.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{InstanceName, Time};
use daemon::Links;
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
}

impl StoreLinks {
    /// Creates links from `name`, apart from those that carry the log.
    pub(super) fn new(name: InstanceName) -> Self {
        StoreLinks {
            links: Arc::new(Links::new(name)),
            paused: BTreeMap::new(),
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
        let owners: std::collections::BTreeSet<_> = owners.map(|owner| &owner.instance).collect();
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
                    let confirmed = Some(claim);
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
        let until = self.clock.now() + STORE_PAUSE;
        self.store.paused.insert(owner, until);
    }
}
