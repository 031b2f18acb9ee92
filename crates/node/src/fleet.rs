//! Keeps the platform's list: which targets and instances there are.
//!
//! The list lags and may be missing for long. What it last said stays in
//! force, and what the leader says of instances is added to it.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{Incarnation, TargetNo, Time, stable_hash};
use route::{News, Target};
use text::model::{Model, PoolKind};
use wire::platform::{self, List, State};

use crate::{
    io::Input,
    msg::{ALL, ENTRY, FLEET, Msg},
    shared::{Out, Shared, TargetInfo},
};

/// Requests that a plain service's target is given at once when the text does
/// not know its pool.
const UNKNOWN_BATCH: u32 = 0;

/// The last list.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    serial: Option<u64>,
    lives: BTreeMap<TargetNo, Incarnation>,
}

impl Fleet {
    pub(crate) fn handle(&mut self, shared: &mut Shared, _now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Input(Input::List(Some(list))) => self.take(shared, list, out),
            Msg::Input(Input::List(None)) if self.serial.is_none() => tell_all(out),
            Msg::TextChanged => {
                let model = shared.model.clone();
                for info in shared.targets.values_mut() {
                    info.pool = model.pools.get(&info.listed.pool).cloned();
                }
                self.announce(shared, out);
                tell_all(out);
            }
            Msg::Life(target, life) => {
                self.lives.insert(target, life);
                self.announce_one(shared, target, out);
            }
            _ => {}
        }
    }

    /// Takes a list in, unless an older one than the last arrives late.
    fn take(&mut self, shared: &mut Shared, list: List, out: &mut Out) {
        let first = self.serial.is_none();
        // Guard: two answers of the platform may overtake each other. The
        // older one would bring back a target that is leaving.
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
        self.drop_missing(shared, &list, out);
        for target in list.targets {
            let no = shared.names.target(&target.name);
            let Ok(address) = target.address.parse() else {
                continue;
            };
            let info = info(&model, target, address);
            shared.targets.insert(no, info);
            self.announce_one(shared, no, out);
        }
        let names = list.instances.iter().map(|instance| instance.name.clone());
        shared.listed = names.collect();
        for instance in list.instances {
            if let Ok(address) = instance.peer.parse::<SocketAddr>() {
                shared.peers.insert(instance.name, address);
            }
        }
        tell_all(out);
    }

    fn drop_missing(&mut self, shared: &mut Shared, list: &List, out: &mut Out) {
        let names: Vec<_> = list.targets.iter().map(|target| &target.name).collect();
        let gone = shared.targets.iter();
        let gone = gone.filter(|(_, info)| !names.contains(&&info.listed.name));
        let gone: Vec<TargetNo> = gone.map(|(no, _)| *no).collect();
        for no in gone {
            shared.targets.remove(&no);
            self.lives.remove(&no);
            out.tell(ENTRY, Msg::News(News::Removed(no)));
        }
    }

    fn announce(&self, shared: &mut Shared, out: &mut Out) {
        let all: Vec<TargetNo> = shared.targets.keys().copied().collect();
        for no in all {
            self.announce_one(shared, no, out);
        }
    }

    /// Tells the router of one target.
    fn announce_one(&self, shared: &mut Shared, no: TargetNo, out: &mut Out) {
        let Some(info) = shared.targets.get(&no) else {
            return;
        };
        if info.listed.state == State::Leaving {
            out.tell(ENTRY, Msg::News(News::Leaving(no)));
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
            incarnation: self.lives.get(&no).copied().unwrap_or_default(),
            batch,
            slots,
        };
        out.tell(ENTRY, Msg::News(News::Target(target)));
    }
}

fn info(model: &Model, target: platform::Target, address: SocketAddr) -> TargetInfo {
    TargetInfo {
        pool: model.pools.get(&target.pool).cloned(),
        listed: target,
        address,
    }
}

fn tell_all(out: &mut Out) {
    for name in ALL.into_iter().filter(|name| *name != FLEET) {
        out.tell(name, Msg::FleetChanged);
    }
}
