//! Maintains the known targets and entry instances from the platform's list.
//!
//! The list lags behind, and the platform may be unavailable for long. The last
//! list stays in force meanwhile, and instances in the leader's roster are added
//! to it.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{Incarnation, TargetNo, Time, stable_hash};
use route::{RouterUpdate, Target};
use text::model::{Model, PoolKind};
use wire::platform::{self, List, State};

use crate::{
    io::Input,
    msg::{ALL, ENTRY, FLEET, Msg},
    shared::{Out, Shared, TargetInfo},
};

/// Concurrent requests of a target whose pool the text in force doesn't name:
/// it gets none.
const UNKNOWN_BATCH: u32 = 0;

/// State derived from the last list.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// Serial of the last list; none before the first one.
    serial: Option<u64>,
    /// Incarnations of the targets, from their reports.
    incarnations: BTreeMap<TargetNo, Incarnation>,
}

impl Fleet {
    pub(crate) fn handle(&mut self, shared: &mut Shared, _now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Input(Input::List(Some(list))) => self.apply_list(shared, list, out),
            Msg::Input(Input::List(None)) if self.serial.is_none() => broadcast(out),
            Msg::TextChanged => {
                let model = shared.model.clone();
                for info in shared.targets.values_mut() {
                    info.pool = model.pools.get(&info.listed.pool).cloned();
                }
                self.publish_all(shared, out);
                broadcast(out);
            }
            Msg::Incarnation(target, incarnation) => {
                self.incarnations.insert(target, incarnation);
                self.publish_target(shared, target, out);
            }
            _ => {}
        }
    }

    /// Applies a list, unless it is older than the last one.
    fn apply_list(&mut self, shared: &mut Shared, list: List, out: &mut Out) {
        let first = self.serial.is_none();
        // Guard: two answers of the platform may arrive out of order. Applying
        // the older one would make a target live again that is leaving.
        if self.serial.is_some_and(|serial| list.serial < serial) {
            base::hit!(older_list_ignored);
            return;
        }
        let same = self.serial == Some(list.serial);
        self.serial = Some(list.serial);
        if same && !first {
            return;
        }
        shared.watched.apply_list(&list);
        let model = shared.model.clone();
        self.remove_missing(shared, &list, out);
        for target in list.targets {
            let no = shared.names.target(&target.name);
            let Ok(address) = target.address.parse() else {
                continue;
            };
            let info = info(&model, target, address);
            shared.targets.insert(no, info);
            self.publish_target(shared, no, out);
        }
        let names = list.instances.iter().map(|instance| instance.name.clone());
        shared.listed = names.collect();
        for instance in list.instances {
            if let Ok(address) = instance.peer.parse::<SocketAddr>() {
                shared.peers.insert(instance.name, address);
            }
        }
        broadcast(out);
    }

    fn remove_missing(&mut self, shared: &mut Shared, list: &List, out: &mut Out) {
        let names: Vec<_> = list.targets.iter().map(|target| &target.name).collect();
        let gone = shared.targets.iter();
        let gone = gone.filter(|(_, info)| !names.contains(&&info.listed.name));
        let gone: Vec<TargetNo> = gone.map(|(no, _)| *no).collect();
        for no in gone {
            shared.targets.remove(&no);
            self.incarnations.remove(&no);
            out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Removed(no)));
        }
    }

    fn publish_all(&self, shared: &mut Shared, out: &mut Out) {
        let all: Vec<TargetNo> = shared.targets.keys().copied().collect();
        for no in all {
            self.publish_target(shared, no, out);
        }
    }

    /// Sends the router the properties of one target.
    fn publish_target(&self, shared: &mut Shared, no: TargetNo, out: &mut Out) {
        let Some(info) = shared.targets.get(&no) else {
            return;
        };
        if info.listed.state == State::Leaving {
            out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Leaving(no)));
            return;
        }
        let (batch, slots) = match info.pool.as_ref().map(|pool| &pool.kind) {
            Some(PoolKind::Engine { slots, batch, .. }) => (*batch, *slots),
            Some(PoolKind::Plain { at_once }) => (*at_once, 0),
            None => (UNKNOWN_BATCH, 0),
        };
        let (pool, zone) = (info.listed.pool.clone(), info.listed.zone.clone());
        let hash = stable_hash(&[info.listed.name.as_str().as_bytes()]);
        let target = Target {
            target: no,
            pool: shared.names.pool(&pool),
            zone: shared.names.zone(&zone),
            hash,
            incarnation: self.incarnations.get(&no).copied().unwrap_or_default(),
            batch,
            slots,
        };
        out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Target(target)));
    }
}

fn info(model: &Model, target: platform::Target, address: SocketAddr) -> TargetInfo {
    TargetInfo {
        pool: model.pools.get(&target.pool).cloned(),
        listed: target,
        address,
    }
}

fn broadcast(out: &mut Out) {
    for name in ALL.into_iter().filter(|name| *name != FLEET) {
        out.send(name, Msg::FleetChanged);
    }
}
