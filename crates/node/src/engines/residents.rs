//! Tells the other entry instances what the owned engines hold, and hears it
//! from them.
//!
//! Only changes travel. Each message carries a serial under the owner's
//! fencing number; whoever finds a hole says so in its reply and gets all.

use std::net::SocketAddr;

use base::{AdapterKey, InstanceName, TargetName, TargetNo, Time};
use route::{News, Residents};
use wire::call::{self, Call, Reply};

use super::Engines;
use crate::{
    msg::{ENGINES, ENTRY, Msg},
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

/// What changed at an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    pub(super) whole: bool,
    pub(super) added: Vec<AdapterKey>,
    pub(super) removed: Vec<AdapterKey>,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) worth: u32,
}

/// What this instance has heard of another owner's engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Heard {
    fence: u64,
    serial: u64,
}

impl Engines {
    /// Tells this instance's own router and all peers.
    pub(super) fn tell_residents(
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
        let news = Residents {
            target,
            fence,
            whole: change.whole,
            added: change.added.clone(),
            removed: change.removed.clone(),
            running: change.running,
            queued: change.queued,
            worth: change.worth,
        };
        out.send(ENTRY, Msg::News(News::Residents(news)));
        self.remember(target, &change);
        let serial = self.serials.entry(target).or_default();
        *serial += 1;
        let body = self.residents(shared, now, &name, target, &change);
        let Some(body) = body else {
            return;
        };
        for (to, address) in peers(shared) {
            tell(shared, to, address, body.clone(), out);
        }
    }

    /// Sends everything to a peer that has missed something.
    pub(super) fn tell_whole(
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
            whole: true,
            added: engine.listed.iter().copied().collect(),
            removed: Vec::new(),
            running: engine.running,
            queued: engine.queued,
            worth: engine.worth,
        };
        let Some(body) = self.residents(shared, now, target, no, &change) else {
            return;
        };
        if let Some(address) = shared.peers.get(to).copied() {
            tell(shared, to.clone(), address, body, out);
        }
    }

    /// Takes in what another owner says; false asks for everything.
    pub(super) fn hear_residents(
        &mut self,
        shared: &mut Shared,
        now: Time,
        news: call::Residents,
        out: &mut Out,
    ) -> bool {
        let target = shared.names.target(&news.target);
        let heard = self.others.entry(target).or_default();
        // Guard: an owner that was replaced may go on telling for a while; its
        // news would put adapters into the directory that its successor has
        // unloaded. A lower fencing number is dropped.
        if news.fence.get() < heard.fence {
            base::hit!(older_owner_ignored);
            return true;
        }
        let next = news.fence.get() == heard.fence && news.serial == heard.serial + 1;
        if !news.whole && !next {
            base::hit!(hole_in_residents);
            return false;
        }
        *heard = Heard {
            fence: news.fence.get(),
            serial: news.serial,
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
            fence: news.fence,
            whole: news.whole,
            added: keys(news.added),
            removed: keys(news.removed),
            running: news.in_flight,
            queued: news.queued,
            worth: news.worth,
        };
        self.teach(shared, now, out);
        out.send(ENTRY, Msg::News(News::Residents(residents)));
        true
    }

    fn remember(&mut self, target: TargetNo, change: &Change) {
        let engine = self.engines.entry(target).or_default();
        if change.whole {
            engine.listed.clear();
        }
        for key in &change.removed {
            engine.listed.remove(key);
        }
        engine.listed.extend(change.added.iter().copied());
        engine.running = change.running;
        engine.queued = change.queued;
        engine.worth = change.worth;
    }

    fn residents(
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
            whole: change.whole,
            added: named(&change.added),
            removed: named(&change.removed),
            in_flight: change.running,
            queued: change.queued,
            worth: change.worth,
        })
    }
}

fn tell(
    shared: &mut Shared,
    to: InstanceName,
    address: SocketAddr,
    body: call::Residents,
    out: &mut Out,
) {
    let target = body.target.clone();
    let purpose = Purpose::Residents { to, target };
    let body = Call::Residents(body);
    shared.call(ENGINES, purpose, address, body, CALL_LIMIT, out);
}

fn peers(shared: &Shared) -> Vec<(InstanceName, SocketAddr)> {
    let me = &shared.settings.name;
    let others = shared.peers.iter().filter(|(name, _)| *name != me);
    others.map(|(name, at)| (name.clone(), *at)).collect()
}

/// Tells whether the reply asks for everything.
pub(super) fn asks_for_all(reply: &Result<Reply, base::Verdict>) -> bool {
    matches!(reply, Ok(Reply::Confirm { granted: false }))
}
