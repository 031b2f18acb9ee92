//! A fake entry instance around the production [`Lessee`].

use std::collections::{BTreeMap, BTreeSet};

use base::{ChangeId, Fence, Incarnation, TargetName, TextVersion, Time};
use member::Targets;
use owner::{Config, Lessee};
use wire::{call::Heartbeat, engine::Resident};

/// An entry instance's view of one engine.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Adapters known to be loaded.
    pub(crate) resident: BTreeSet<String>,
    /// Requests admitted and not finished, with their adapter and start.
    pub(crate) running: BTreeMap<u64, (String, Time)>,
    /// Orders sent and not answered.
    pub(crate) orders: BTreeSet<u64>,
    /// Loads sent and not answered; these adapters are not unloaded meanwhile.
    pub(crate) loading: BTreeMap<String, Time>,
    /// Unloads sent and not answered; these adapters get no new requests.
    pub(crate) unloading: BTreeMap<String, Time>,
}

/// A marked request in progress: an at-most-once request with an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Marked {
    pub(crate) key: u8,
    pub(crate) attempt: u64,
    /// Claims sent so far.
    pub(crate) tries: u32,
    /// Whether the claim was granted.
    pub(crate) sent: bool,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: u64,
    pub(crate) lessee: Lessee,
    pub(crate) targets: Targets,
    pub(crate) views: BTreeMap<TargetName, View>,
    pub(crate) engines: Vec<TargetName>,
    pub(crate) text: TextVersion,
    /// The control instance that last answered as leader.
    pub(crate) leader: Option<String>,
    /// Number of the last heartbeat.
    pub(crate) serial: u64,
    /// Whether the next heartbeat lists the engines.
    pub(crate) list_engines: bool,
    pub(crate) marked: BTreeMap<u64, Marked>,
    pub(crate) attempts: u64,
    pub(crate) slots: usize,
}

impl Entry {
    pub(crate) fn new(name: &str, zone: &str, incarnation: u64, now: Time) -> Self {
        let config = Config::default();
        Entry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            lessee: Lessee::new(config, name.parse().unwrap(), zone.parse().unwrap(), now),
            targets: Targets::default(),
            views: BTreeMap::new(),
            engines: Vec::new(),
            text: TextVersion(0),
            leader: None,
            serial: 0,
            list_engines: true,
            marked: BTreeMap::new(),
            attempts: 0,
            slots: 0,
        }
    }

    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.serial += 1;
        let list_engines = std::mem::take(&mut self.list_engines);
        Heartbeat {
            instance: self.name.parse().unwrap(),
            zone: self.zone.parse().unwrap(),
            incarnation: Incarnation(self.incarnation),
            peer: format!("10.0.0.{}", self.name),
            text: self.text,
            leaving: self.lessee.leaving(),
            serial: self.serial,
            heard: self.lessee.heard(),
            roster: self.lessee.roster(),
            engines: list_engines.then(|| self.engines.clone()),
            busy: self.lessee.busy(),
            shares: Vec::new(),
            crashes: Default::default(),
            loads: 1,
        }
    }

    /// Returns the adapters that this instance's requests use at an engine.
    pub(crate) fn in_use(&self, target: &TargetName) -> BTreeSet<Resident> {
        let view = self.views.get(target);
        let running = view.into_iter().flat_map(|view| view.running.values());
        running.map(|(adapter, _)| resident(adapter)).collect()
    }

    /// Drops requests and orders older than `age_ms`, whose connections are closed by then.
    pub(crate) fn expire(&mut self, now: Time, age_ms: u64) {
        for view in self.views.values_mut() {
            view.loading
                .retain(|_, since| now.since(*since).as_millis() < u128::from(age_ms));
            view.unloading
                .retain(|_, since| now.since(*since).as_millis() < u128::from(age_ms));
            view.running
                .retain(|_, (_, since)| now.since(*since).as_millis() < u128::from(age_ms));
        }
    }

    pub(crate) fn view(&mut self, target: &TargetName) -> &mut View {
        self.views.entry(target.clone()).or_default()
    }
}

pub(crate) fn resident(adapter: &str) -> Resident {
    format!("{adapter}@1").parse().unwrap()
}

pub(crate) fn change(name: &str) -> ChangeId {
    name.parse().unwrap()
}

/// A permission to send to a target, checked at `at` and used in a later step.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    pub(crate) target: TargetName,
    pub(crate) fence: Fence,
    pub(crate) at: Time,
}
