//! Publishes the resident adapters and the load of owned engines to the other
//! entry instances, and applies what they publish about theirs.
//!
//! Messages carry changes only, and are numbered per engine under the owner's
//! fencing number. A receiver that finds a gap says so in its reply and is sent
//! the full state.

use std::net::SocketAddr;

use base::{AdapterKey, InstanceName, TargetName, TargetNo, Time};
use route::{Residents, RouterUpdate};
use wire::call::{self, Call, Reply};

use super::Engines;
use crate::{
    msg::{ENGINES, ENTRY, Msg},
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

/// A change of an engine's resident adapters and load; see `route::Residents`.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    /// Whether `added` is the full set of resident adapters.
    pub(super) full: bool,
    pub(super) added: Vec<AdapterKey>,
    pub(super) removed: Vec<AdapterKey>,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) worth: u32,
}

/// The last message applied about an engine that another instance owns.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Position {
    fence: u64,
    serial: u64,
}

impl Engines {
    /// Sends a change to this instance's own router and to all peers.
    pub(super) fn publish_residents(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        change: Change,
        out: &mut Out,
    ) {
        let name = shared.names.target_name(target).clone();
        let Some(fence) = self.fence(now, &name) else {
            return;
        };
        let update = Residents {
            target,
            fence,
            full: change.full,
            added: change.added.clone(),
            removed: change.removed.clone(),
            running: change.running,
            queued: change.queued,
            evict_cost: change.worth,
        };
        out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Residents(update)));
        self.record_published(target, &change);
        let serial = self.serials.entry(target).or_default();
        *serial += 1;
        let body = self.residents_message(shared, now, &name, target, &change);
        let Some(body) = body else {
            return;
        };
        for (to, address) in peers(shared) {
            send(shared, to, address, body.clone(), out);
        }
    }

    /// Sends the full state to a peer that has missed a change.
    pub(super) fn send_full(
        &mut self,
        shared: &mut Shared,
        now: Time,
        to: &InstanceName,
        target: &TargetName,
        out: &mut Out,
    ) {
        let no = shared.names.target(target);
        let Some(engine) = self.engines.get(&no) else {
            return;
        };
        let change = Change {
            full: true,
            added: engine.published.iter().copied().collect(),
            removed: Vec::new(),
            running: engine.running,
            queued: engine.queued,
            worth: engine.worth,
        };
        let Some(body) = self.residents_message(shared, now, target, no, &change) else {
            return;
        };
        if let Some(address) = shared.peers.get(to).copied() {
            send(shared, to.clone(), address, body, out);
        }
    }

    /// Applies what another owner published. Returns false if a change before
    /// it is missing, so that the owner sends the full state.
    pub(super) fn apply_residents(
        &mut self,
        shared: &mut Shared,
        now: Time,
        message: call::Residents,
        out: &mut Out,
    ) -> bool {
        let target = shared.names.target(&message.target);
        let last = self.remote.entry(target).or_default();
        // Guard: an owner that was replaced may go on publishing for a while,
        // and would add adapters to the directory that its successor has
        // unloaded. Messages with a lower fencing number are dropped.
        if message.fence.get() < last.fence {
            base::hit!(older_owner_ignored);
            return true;
        }
        let next = message.fence.get() == last.fence && message.serial == last.serial + 1;
        if !message.full && !next {
            base::hit!(gap_in_residents);
            return false;
        }
        *last = Position {
            fence: message.fence.get(),
            serial: message.serial,
        };
        let mut keys = |list: Vec<(base::AdapterName, base::Version)>| {
            let keys = list.into_iter().map(|(adapter, version)| AdapterKey {
                adapter: shared.names.adapter(&adapter),
                version,
            });
            keys.collect::<Vec<_>>()
        };
        let residents = Residents {
            target,
            fence: message.fence,
            full: message.full,
            added: keys(message.added),
            removed: keys(message.removed),
            running: message.in_flight,
            queued: message.queued,
            evict_cost: message.evict_cost,
        };
        self.publish_new_adapters(shared, now, out);
        out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Residents(residents)));
        true
    }

    fn record_published(&mut self, target: TargetNo, change: &Change) {
        let engine = self.engines.entry(target).or_default();
        if change.full {
            engine.published.clear();
        }
        for key in &change.removed {
            engine.published.remove(key);
        }
        engine.published.extend(change.added.iter().copied());
        engine.running = change.running;
        engine.queued = change.queued;
        engine.worth = change.worth;
    }

    /// Builds the message about a change; none if the engine is not owned.
    fn residents_message(
        &self,
        shared: &Shared,
        now: Time,
        name: &TargetName,
        target: TargetNo,
        change: &Change,
    ) -> Option<call::Residents> {
        let fence = self.fence(now, name)?;
        let named = |keys: &[AdapterKey]| {
            let residents = keys.iter().map(|key| shared.names.resident(*key));
            residents.map(|r| (r.adapter, r.version)).collect()
        };
        Some(call::Residents {
            owner: shared.settings.name.clone(),
            target: name.clone(),
            fence,
            serial: self.serials.get(&target).copied().unwrap_or(0),
            full: change.full,
            added: named(&change.added),
            removed: named(&change.removed),
            in_flight: change.running,
            queued: change.queued,
            evict_cost: change.worth,
        })
    }
}

fn send(
    shared: &mut Shared,
    to: InstanceName,
    address: SocketAddr,
    body: call::Residents,
    out: &mut Out,
) {
    let target = body.target.clone();
    let purpose = Purpose::Residents { to, target };
    let body = Call::Residents(body);
    shared.call(ENGINES, purpose, address, body, CALL_TIMEOUT, out);
}

fn peers(shared: &Shared) -> Vec<(InstanceName, SocketAddr)> {
    let me = &shared.settings.name;
    let others = shared.peers.iter().filter(|(name, _)| *name != me);
    others.map(|(name, at)| (name.clone(), *at)).collect()
}

/// Returns whether a peer asks for the full state.
pub(super) fn asks_for_full(reply: &Result<Reply, base::Verdict>) -> bool {
    matches!(reply, Ok(Reply::Confirm { granted: false }))
}
