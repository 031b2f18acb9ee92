//! Inputs and outputs of the zone owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{SoftwareVersion, Ticket, Time};
use wire::{
    fleet::{Resident, Sync, Synced, Target, TargetStart, Weights},
    stream::{ServiceSoftware, SoftwareWant, TargetSoftware},
};

use crate::zone_lease::ZoneLease;

/// A target as the platform's list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Platform-wide id; may stay the same over a restart.
    pub id: String,
    /// Start time as given by the platform, only compared; distinguishes incarnations
    /// under one id.
    pub born: u64,
    /// Name of its service.
    pub service: String,
    /// IP and port.
    pub addr: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software, if the list names one.
    pub software: Option<SoftwareVersion>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Models and adapters that it holds, if the list contains them.
    pub held: Option<Held>,
}

/// Models and adapters that an engine says it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Base models, with the version of their weights if the engine reports it.
    pub models: BTreeMap<String, Option<u32>>,
    /// Adapters that can be used, and their versions.
    pub adapters: BTreeMap<String, u32>,
}

/// An engine's answer to a report request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time of the engine, comparable to [`ListedTarget::born`]; 0 if not reported.
    pub born: u64,
    /// Number of orders it has accepted in this incarnation.
    pub seq: u64,
    /// Whether a base model is being loaded or dropped.
    pub busy: bool,
    /// Models and adapters that it holds.
    pub held: Held,
    /// Adapters that it is loading, and their versions.
    pub pending: BTreeMap<String, u32>,
    /// Base models of which it has a copy of its own, so that it loads them without the
    /// weight store.
    pub own_copies: BTreeSet<String>,
}

/// The action that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a base model.
    LoadModel(String),
    /// Load an adapter, in a given version if there is one.
    Load {
        /// The adapter.
        adapter: String,
        /// The version; the newest one if absent.
        version: Option<u32>,
    },
    /// Unload an adapter.
    Evict(String),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Id of the engine.
    pub id: String,
    /// IP address and port of the engine.
    pub addr: String,
    /// The action.
    pub action: Action,
    /// Number of orders that the engine must have accepted so far; otherwise it refuses
    /// this one.
    pub expected: u64,
    /// Fencing number of the zone lease.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executes it.
    Accepted,
    /// The engine was already in the requested state, or is now.
    Done,
    /// The engine's order count differs from the expected one, or the engine is busy.
    Conflict,
    /// It will not be executed.
    Refused,
    /// It will not be executed, and the engine wants nothing from this instance for so long.
    Resting(Duration),
    /// Unknown outcome: no answer arrived, and the order may still be executed seconds
    /// later.
    Unknown,
}

impl OrderOutcome {
    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::Done => "done",
            OrderOutcome::Conflict => "conflict",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Resting(_) => "resting",
            OrderOutcome::Unknown => "unknown",
        }
    }
}

/// An input of the zone owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The zone lease: where and until when this instance may give orders.
    Lease(ZoneLease),
    /// The platform's list of all targets of some zones.
    Listed {
        /// When the list was requested.
        asked: Time,
        /// The zones.
        zones: Vec<String>,
        /// All their targets.
        list: Vec<ListedTarget>,
    },
    /// Adapters that streams need to go on, at engines that run the software that began them.
    StreamWants(Vec<SoftwareWant>),
    /// Adapter versions set by operators.
    Versions(BTreeMap<String, u32>),
    /// An entry instance's exchange, answered by [`Output::Answer`].
    Sync(Ticket, Sync),
    /// The outcome of an order.
    OrderEnded {
        /// Id of the engine.
        id: String,
        /// The outcome.
        outcome: OrderOutcome,
    },
    /// A report request was answered or failed.
    Reported {
        /// Id of the engine.
        id: String,
        /// The report; `None` if the engine did not answer.
        report: Option<Report>,
    },
    /// Nothing but time has passed.
    Wake,
}

/// An output of the zone owner, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an order, and pass its outcome to [`Input::OrderEnded`].
    Order(Order),
    /// Request an engine's report, and pass the answer to [`Input::Reported`].
    Report {
        /// Id of the engine.
        id: String,
        /// IP address and port of the engine.
        addr: String,
    },
    /// Answer an entry instance.
    Answer {
        /// The ticket of its [`Input::Sync`].
        ticket: Ticket,
        /// The answer; the caller fills in edition, versions and members.
        synced: Synced,
    },
}

impl ListedTarget {
    /// Returns its service with the software that it runs.
    #[must_use]
    pub fn service_software(&self) -> ServiceSoftware {
        ServiceSoftware {
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }

    /// Returns the software that it runs.
    #[must_use]
    pub fn software(&self) -> TargetSoftware {
        TargetSoftware {
            target: self.id.clone(),
            software: self.software.clone(),
        }
    }

    /// Returns when it started.
    #[must_use]
    pub fn start(&self) -> TargetStart {
        TargetStart {
            target: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns the target with the base models, but without the adapters that it holds.
    #[must_use]
    pub fn outline(&self) -> Target {
        let held = self.held.as_ref().map(|held| Held {
            models: held.models.clone(),
            adapters: BTreeMap::new(),
        });
        let listed = ListedTarget {
            held,
            ..self.clone()
        };
        listed.target()
    }

    /// Returns the target as entry instances see it if no zone owner reports it.
    #[must_use]
    pub fn target(&self) -> Target {
        let held = self.held.iter();
        let models = held.clone().flat_map(|held| held.models.iter());
        let weights = models.clone().filter_map(|(model, version)| {
            let (model, version) = (model.clone(), (*version)?);
            Some(Weights { model, version })
        });
        let models = models.map(|(model, _)| (model, 0));
        let adapters = held.flat_map(|held| held.adapters.iter().map(|(a, v)| (a, *v)));
        let residents = models.chain(adapters).map(|(adapter, version)| Resident {
            adapter: adapter.clone(),
            version,
            ready_in: Duration::ZERO,
        });
        Target {
            id: self.id.clone(),
            service: self.service.clone(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            slots: self.slots,
            ready: self.ready,
            slowness: 0,
            weights: weights.collect(),
            residents: residents.collect(),
            limit: None,
        }
    }
}
