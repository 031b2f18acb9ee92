//! What the users measure: load stalls and batch efficiency, and the loads
//! behind them.

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

/// Requests that wait at engines owned here, each until it is sent for the
/// first time.
#[derive(Debug, Default)]
pub(super) struct Waits {
    requests: BTreeMap<Ticket, Wait>,
    /// Loads under way.
    loads: BTreeSet<(TargetNo, AdapterKey)>,
}

#[derive(Debug)]
struct Wait {
    target: TargetNo,
    key: AdapterKey,
    class: Class,
    since: Time,
    /// When the engine held the adapter; none while it doesn't.
    held: Option<Time>,
}

/// How long a request waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waited {
    class: Class,
    /// For its adapter.
    stall: Duration,
    /// For a place beside that, if it got one.
    queued: Option<Duration>,
}

impl Waits {
    /// Notes a request; `listed` says whether the engine is known to hold its
    /// adapter. Engines are listed as holders from the begin of an awaited
    /// load on, so a load under way goes before that.
    pub(super) fn arrived(
        &mut self,
        now: Time,
        ticket: Ticket,
        (target, key): (TargetNo, AdapterKey),
        class: Class,
        listed: bool,
    ) {
        let loading = self.loads.contains(&(target, key));
        if listed && loading {
            base::hit!(joins_a_load);
        }
        let held = listed && !loading;
        let wait = Wait {
            target,
            key,
            class,
            since: now,
            held: held.then_some(now),
        };
        self.requests.insert(ticket, wait);
    }

    /// Notes that a load was ordered.
    pub(super) fn load_begun(&mut self, load: (TargetNo, AdapterKey)) {
        self.loads.insert(load);
    }

    /// Ends the stall of those that waited for this load, if it is `done`.
    pub(super) fn load_ended(&mut self, now: Time, load: (TargetNo, AdapterKey), done: bool) {
        self.loads.remove(&load);
        if !done {
            return;
        }
        for wait in self.requests.values_mut() {
            if (wait.target, wait.key) == load {
                wait.held.get_or_insert(now);
            }
        }
    }

    /// Ends the wait of a request that is sent for the first time.
    pub(super) fn sent(&mut self, now: Time, ticket: Ticket) -> Option<Waited> {
        let wait = self.requests.remove(&ticket)?;
        let held = wait.held.unwrap_or(now);
        Some(Waited {
            class: wait.class,
            stall: held.since(wait.since),
            queued: Some(now.since(held)),
        })
    }

    /// Ends the wait of a request that is given up. It counts as a stall, too:
    /// left out, the longest ones would be those that nobody sees.
    pub(super) fn refused(&mut self, now: Time, ticket: Ticket) -> Option<Waited> {
        let waited = self.sent(now, ticket)?;
        Some(Waited {
            queued: None,
            ..waited
        })
    }

    /// Forgets a request whose caller left, or that moves on.
    pub(super) fn left(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
    }
}

/// Reports how long a request waited.
pub(super) fn waited(waited: Option<Waited>, out: &mut Out) {
    let Some(waited) = waited else { return };
    let class = waited.class;
    out.emit(Output::Event(Event::Stalled(class, waited.stall)));
    if let Some(queued) = waited.queued {
        out.emit(Output::Event(Event::Queued(class, queued)));
    }
}

/// Reports how much of an engine's batch is in use.
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

/// Reports the end of an order to load.
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

/// Reports an unload.
pub(super) fn unloaded(shared: &Shared, target: TargetNo, key: AdapterKey, out: &mut Out) {
    let name = shared.names.target_name(target).clone();
    let resident = shared.names.resident(key);
    out.emit(Output::Event(Event::Unloaded(name, resident)));
}
