//! Measures the load stalls and the batch efficiency of owned engines, and
//! reports their loads and unloads.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{AdapterKey, Class, TargetNo, Ticket, Time};

use crate::{
    io::{Event, OrderEnd, Output},
    shared::{Out, Shared},
};

/// The requests queued for engines owned here, each until it is first sent.
#[derive(Debug, Default)]
pub(super) struct Waits {
    requests: BTreeMap<Ticket, Wait>,
    /// Loads that were ordered and have not ended.
    loads: BTreeSet<(TargetNo, AdapterKey)>,
}

#[derive(Debug)]
struct Wait {
    target: TargetNo,
    key: AdapterKey,
    class: Class,
    since: Time,
    /// When the adapter became resident; none until it is.
    resident: Option<Time>,
}

/// Time that a request waited, by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waited {
    class: Class,
    /// Wait for the adapter to be loaded.
    stall: Duration,
    /// Wait for a place in the batch after that; none if it got no place.
    queued: Option<Duration>,
}

impl Waits {
    /// Records a request that enters a queue.
    ///
    /// `published` says whether its adapter is published as resident. That
    /// happens as soon as an awaited load begins, so an adapter that is still
    /// loading does not count as resident.
    pub(super) fn arrived(
        &mut self,
        now: Time,
        ticket: Ticket,
        (target, key): (TargetNo, AdapterKey),
        class: Class,
        published: bool,
    ) {
        let loading = self.loads.contains(&(target, key));
        if published && loading {
            base::hit!(joins_a_load);
        }
        let resident = published && !loading;
        let wait = Wait {
            target,
            key,
            class,
            since: now,
            resident: resident.then_some(now),
        };
        self.requests.insert(ticket, wait);
    }

    /// Records that a load was ordered.
    pub(super) fn load_begun(&mut self, load: (TargetNo, AdapterKey)) {
        self.loads.insert(load);
    }

    /// Records the end of a load; if it is `done`, the requests that waited for
    /// it are no longer stalled.
    pub(super) fn load_ended(&mut self, now: Time, load: (TargetNo, AdapterKey), done: bool) {
        self.loads.remove(&load);
        if !done {
            return;
        }
        for wait in self.requests.values_mut() {
            if (wait.target, wait.key) == load {
                wait.resident.get_or_insert(now);
            }
        }
    }

    /// Returns the wait of a request that is sent for the first time.
    pub(super) fn sent(&mut self, now: Time, ticket: Ticket) -> Option<Waited> {
        let wait = self.requests.remove(&ticket)?;
        let resident = wait.resident.unwrap_or(now);
        Some(Waited {
            class: wait.class,
            stall: resident.since(wait.since),
            queued: Some(now.since(resident)),
        })
    }

    /// Returns the wait of a request that is refused. It counts as a stall as
    /// well: otherwise the longest stalls would be missing from the metric.
    pub(super) fn refused(&mut self, now: Time, ticket: Ticket) -> Option<Waited> {
        let waited = self.sent(now, ticket)?;
        Some(Waited {
            queued: None,
            ..waited
        })
    }

    /// Removes a request whose caller left, or that goes to another engine.
    pub(super) fn left(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
    }
}

/// Emits the metrics of a request's wait.
pub(super) fn waited(waited: Option<Waited>, out: &mut Out) {
    let Some(waited) = waited else { return };
    let class = waited.class;
    out.emit(Output::Event(Event::Stalled(class, waited.stall)));
    if let Some(queued) = waited.queued {
        out.emit(Output::Event(Event::Queued(class, queued)));
    }
}

/// Emits the use of an engine's batch.
pub(super) fn batch(shared: &Shared, target: TargetNo, running: u32, out: &mut Out) {
    let Some(info) = shared.targets.get(&target) else {
        return;
    };
    if let Some(engine) = info.engine() {
        let (pool, places) = (info.listed.pool.clone(), engine.batch);
        out.emit(Output::Event(Event::Batch {
            pool,
            running,
            places,
        }));
    }
}

/// Emits the end of an order to load.
pub(super) fn load_ended(
    shared: &Shared,
    (target, key): (TargetNo, AdapterKey),
    end: OrderEnd,
    took: Duration,
    out: &mut Out,
) {
    let Some(info) = shared.targets.get(&target) else {
        return;
    };
    out.emit(Output::Event(Event::Loaded {
        target: info.listed.name.clone(),
        pool: info.listed.pool.clone(),
        resident: shared.names.resident(key),
        end,
        took,
    }));
}

/// Emits an unload.
pub(super) fn unloaded(shared: &Shared, target: TargetNo, key: AdapterKey, out: &mut Out) {
    let name = shared.names.target_name(target).clone();
    let resident = shared.names.resident(key);
    out.emit(Output::Event(Event::Unloaded(name, resident)));
}
