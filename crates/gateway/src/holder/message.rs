//! What goes into the holder of orders and what comes out.

use std::{collections::BTreeMap, time::Duration};

use base::{Ticket, Time};
use wire::fleet::{Resident, Sync, Synced, Target, Weights};

use crate::tenure::Tenure;

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Id; may be kept over a restart.
    pub id: String,
    /// When it started; tells two lives under one id apart.
    pub born: u64,
    /// Its service.
    pub service: String,
    /// IP and port.
    pub addr: String,
    /// Availability zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// What it holds, where it says so.
    pub held: Option<Held>,
}

/// What an engine says that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Base models, with the version of their weights where the engine says it.
    pub models: BTreeMap<String, Option<u32>>,
    /// Adapters that can be used, with their versions.
    pub adapters: BTreeMap<String, u32>,
}

/// What an engine reports when asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// When it started.
    pub born: u64,
    /// Orders it has accepted in this life.
    pub seq: u64,
    /// Whether a base model is being loaded or dropped.
    pub busy: bool,
    /// What it holds.
    pub held: Held,
    /// Adapters on their way to it.
    pub pending: BTreeMap<String, u32>,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Load a base model.
    LoadModel(String),
    /// Load an adapter, in a version where one is named.
    Load {
        /// The adapter.
        adapter: String,
        /// Its version; the newest if absent.
        version: Option<u32>,
    },
    /// Unload an adapter.
    Evict(String),
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub id: String,
    /// Where it is reached.
    pub addr: String,
    /// What to do.
    pub act: Act,
    /// Orders that it must have accepted so far, or it refuses.
    pub expected: u64,
    /// The holder's fencing number.
    pub fence: u64,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is being carried out.
    Accepted,
    /// It holds already, or is done.
    Done,
    /// The engine counts other orders than expected, or is busy.
    Conflict,
    /// It will not be carried out.
    Refused,
    /// Nobody knows: it may be carried out seconds later.
    Unknown,
}

impl Ended {
    /// Returns its name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Ended::Accepted => "accepted",
            Ended::Done => "done",
            Ended::Conflict => "conflict",
            Ended::Refused => "refused",
            Ended::Unknown => "unknown",
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Where this instance may give orders, and until when.
    Tenure(Tenure),
    /// The platform's list of the targets of some zones.
    Listed {
        /// When it was asked for.
        asked: Time,
        /// The zones.
        zones: Vec<String>,
        /// All their targets.
        list: Vec<Listed>,
    },
    /// Versions that operators named.
    Versions(BTreeMap<String, u32>),
    /// An entry instance asks; answered by [`Output::Answer`].
    Sync(Ticket, Sync),
    /// An order has ended.
    Ended {
        /// The engine.
        id: String,
        /// How.
        ended: Ended,
    },
    /// An engine has reported, or not.
    Reported {
        /// The engine.
        id: String,
        /// What it says; nothing if it didn't answer.
        report: Option<Report>,
    },
    /// Time has passed.
    Wake,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Give an order, and hand in [`Input::Ended`].
    Order(Order),
    /// Ask an engine for its report, and hand in [`Input::Reported`].
    Report {
        /// The engine.
        id: String,
        /// Where it is reached.
        addr: String,
    },
    /// Answer an entry instance.
    Answer {
        /// The ticket of its question.
        ticket: Ticket,
        /// The answer; edition, versions and members are the caller's to add.
        synced: Synced,
    },
}

impl Listed {
    /// Returns the target as entry instances know it without a holder.
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
        }
    }
}
