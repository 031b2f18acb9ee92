//! What all services of a node may read, and the few things they write
//! together: outstanding calls and timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{InstanceName, Seed, TargetName, TargetNo, TextVersion, Time, ZoneName};
use kernel::{Name, Outbox};
use text::model::{Model, Pool, PoolKind};
use wire::{call::Call, platform};

use crate::{io::Output, msg::Msg, names::Names, services::Up};

/// The outbox as the services of this node see it.
pub(crate) type Out = Outbox<Msg, Output>;

/// How long a small call may take; an availability zone is a millisecond
/// away, so a call that takes this long is lost.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Settings of a node, checked by whoever starts it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Which life of it.
    pub incarnation: base::Incarnation,
    /// Its peer listener, as others reach it.
    pub peer: SocketAddr,
    /// The control instances' peer listeners.
    pub controls: BTreeMap<InstanceName, SocketAddr>,
    /// Seed of all that is random.
    pub seed: Seed,
    /// How long work is still taken after a stop was asked for.
    pub grace: Duration,
}

/// What an outstanding call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A heartbeat.
    Beat { serial: u64, control: InstanceName },
    /// The version in force at another process.
    Version { address: SocketAddr },
    /// The newest text.
    Text { address: SocketAddr },
    /// A sign of life of an owner that requests wait at.
    Ping { to: InstanceName },
    /// A claim of a marked request.
    Claim { ticket: base::Ticket },
    /// What became of a claimed request, to be repeated until it is heard.
    Settle(Box<wire::call::Settle>),
    /// A zone-mate's word on ownership.
    Confirm {
        to: InstanceName,
        target: TargetName,
        round: u64,
    },
    /// News of residents.
    Residents {
        to: InstanceName,
        target: TargetName,
    },
    /// A handover; nothing depends on the reply.
    Handover,
}

/// A target as far as the list and the text tell.
#[derive(Clone, Debug)]
pub(crate) struct TargetInfo {
    pub(crate) listed: platform::Target,
    pub(crate) address: SocketAddr,
    /// Absent while the text in force doesn't know its pool.
    pub(crate) pool: Option<Pool>,
}

impl TargetInfo {
    /// Returns slots, batch size and whether orders are fenced, for an engine.
    pub(crate) fn engine(&self) -> Option<EngineInfo> {
        match &self.pool.as_ref()?.kind {
            PoolKind::Engine {
                slots,
                batch,
                fencing,
                ..
            } => Some(EngineInfo {
                slots: *slots,
                batch: *batch,
                fencing: *fencing,
            }),
            PoolKind::Plain { .. } => None,
        }
    }
}

/// What the text says of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineInfo {
    pub(crate) slots: u32,
    pub(crate) batch: u32,
    pub(crate) fencing: bool,
}

/// State that all services of one node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) version: TextVersion,
    pub(crate) model: Arc<Model>,
    /// The text that the model was read from.
    pub(crate) raw: Arc<str>,
    /// Targets by number, from the platform's list and the text.
    pub(crate) targets: BTreeMap<TargetNo, TargetInfo>,
    /// The same targets with the epochs of what is observed of them.
    pub(crate) watched: member::Targets,
    /// Entry instances that the platform lists.
    pub(crate) listed: BTreeSet<InstanceName>,
    /// Entry instances' peer listeners, from the list and the leader.
    pub(crate) peers: BTreeMap<InstanceName, SocketAddr>,
    /// The services that have come up.
    pub(crate) up: Up,
    /// The control instance believed to lead.
    pub(crate) leader: Option<InstanceName>,
    /// Whether this process is stopping.
    pub(crate) draining: bool,
    calls: BTreeMap<u64, (Name, Purpose)>,
    next_call: u64,
    wakes: BTreeMap<Name, Time>,
}

impl Shared {
    pub(crate) fn new(settings: Settings) -> Self {
        Shared {
            settings,
            names: Names::default(),
            version: TextVersion(0),
            model: Arc::default(),
            raw: Arc::from(""),
            targets: BTreeMap::new(),
            watched: member::Targets::default(),
            listed: BTreeSet::new(),
            peers: BTreeMap::new(),
            up: Up::default(),
            leader: None,
            draining: false,
            calls: BTreeMap::new(),
            next_call: 0,
            wakes: BTreeMap::new(),
        }
    }

    /// Makes a call; its end reaches the service `from` as [`Msg::Replied`].
    pub(crate) fn call(
        &mut self,
        from: Name,
        purpose: Purpose,
        address: SocketAddr,
        body: Call,
        timeout: Duration,
        out: &mut Out,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert(call, (from, purpose));
        out.emit(Output::Call {
            call,
            address,
            body,
            timeout,
        });
    }

    /// Takes the outstanding call numbered `call`.
    pub(crate) fn ended(&mut self, call: u64) -> Option<(Name, Purpose)> {
        self.calls.remove(&call)
    }

    /// Returns the address of the control instance to turn to: the leader
    /// where it is known, else one after the other.
    pub(crate) fn control(&self, turn: u64) -> Option<(InstanceName, SocketAddr)> {
        let controls = &self.settings.controls;
        if let Some(leader) = &self.leader
            && let Some(address) = controls.get(leader)
        {
            return Some((leader.clone(), *address));
        }
        let count = u64::try_from(controls.len()).unwrap_or(u64::MAX).max(1);
        let nth = usize::try_from(turn % count).unwrap_or(0);
        let found = controls.iter().nth(nth);
        found.map(|(name, address)| (name.clone(), *address))
    }

    /// Asks for [`Msg::Wake`] to the service `name` at `at`, unless it will be
    /// woken sooner.
    pub(crate) fn wake(&mut self, name: Name, at: Time) {
        let slot = self.wakes.entry(name).or_insert(at);
        *slot = at.min(*slot);
    }

    /// Takes the services to be woken by `now`.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Name> {
        let due = self.wakes.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Name> = due.map(|(name, _)| *name).collect();
        for name in &due {
            self.wakes.remove(name);
        }
        due
    }

    /// Returns when the next service is to be woken.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.wakes.values().min().copied()
    }
}
