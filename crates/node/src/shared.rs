//! State that all services of a node share: the text in force, known targets
//! and peers, outstanding calls and timers.

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

use crate::{crashes::Crashes, io::Output, msg::Msg, names::Names, services::Up};

/// The outbox of this node's services.
pub(crate) type Out = Outbox<Msg, Output>;

/// Time limit for small calls. Availability zones are a millisecond apart, so a
/// call that takes this long is lost.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Settings of a node. The embedding program checks them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub name: InstanceName,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Number of this run of the process; greater after every restart.
    pub incarnation: base::Incarnation,
    /// Address at which other instances reach this instance's peer listener.
    pub peer: SocketAddr,
    /// Addresses of the control instances' peer listeners.
    pub controls: BTreeMap<InstanceName, SocketAddr>,
    /// Seed of all random decisions.
    pub seed: Seed,
    /// How long new requests are still accepted after [`Input::Drain`].
    ///
    /// [`Input::Drain`]: crate::Input::Drain
    pub grace: Duration,
}

/// Why a call was made; returned with its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Sends a heartbeat.
    Heartbeat { serial: u64, control: InstanceName },
    /// Asks for the version in force at another process.
    Version { address: SocketAddr },
    /// Fetches a newer text.
    Text { address: SocketAddr },
    /// Checks that an owner with forwarded requests is alive.
    Ping { to: InstanceName },
    /// Claims the idempotency key of a marked request at the leader.
    Claim { ticket: base::Ticket },
    /// Reports the outcome of a claimed request to the leader; retried until
    /// it is acknowledged.
    Settle(Box<wire::call::Settle>),
    /// Asks a zone peer to confirm that this instance still owns an engine.
    Confirm {
        to: InstanceName,
        target: TargetName,
        round: u64,
    },
    /// Tells a peer which adapters are resident on an engine.
    Residents {
        to: InstanceName,
        target: TargetName,
    },
    /// Hands an engine over; the reply is ignored.
    Handover,
}

/// A target as the platform's list and the text in force describe it.
#[derive(Clone, Debug)]
pub(crate) struct TargetInfo {
    pub(crate) listed: platform::Target,
    pub(crate) address: SocketAddr,
    /// None if the text in force has no pool of that name.
    pub(crate) pool: Option<Pool>,
}

impl TargetInfo {
    /// Returns the engine's properties; none for a plain service's target.
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

/// Properties of an engine, from its pool in the text in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineInfo {
    /// Adapters that can be resident at once.
    pub(crate) slots: u32,
    /// Requests that it runs at once.
    pub(crate) batch: u32,
    /// Whether it refuses orders with an old fencing number.
    pub(crate) fencing: bool,
}

/// State that all services of one node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    /// Version of the text in force; zero before the first one.
    pub(crate) version: TextVersion,
    /// The text in force, parsed.
    pub(crate) model: Arc<Model>,
    /// Source of the text in force.
    pub(crate) raw: Arc<str>,
    /// Targets by number, from the platform's list and the text.
    pub(crate) targets: BTreeMap<TargetNo, TargetInfo>,
    /// The same targets, with the state that tells whether an observation of
    /// one (a report, the end of an order) is outdated.
    pub(crate) watched: member::Targets,
    /// Entry instances in the platform's list.
    pub(crate) listed: BTreeSet<InstanceName>,
    /// Peer listeners of the entry instances, from the platform's list and the
    /// leader's roster.
    pub(crate) peers: BTreeMap<InstanceName, SocketAddr>,
    /// The services that have come up.
    pub(crate) up: Up,
    /// The control instance that is probably the leader.
    pub(crate) leader: Option<InstanceName>,
    /// Whether this process is shutting down.
    pub(crate) draining: bool,
    /// Requests that crash targets.
    pub(crate) crashes: Crashes,
    /// Outstanding calls, by number, with the service that made each.
    calls: BTreeMap<u64, (Name, Purpose)>,
    next_call: u64,
    /// Next [`Msg::Wake`] of each service that asked for one.
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
            crashes: Crashes::default(),
            calls: BTreeMap::new(),
            next_call: 0,
            wakes: BTreeMap::new(),
        }
    }

    /// Makes a call; the service `from` receives its end as [`Msg::Replied`].
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

    /// Removes an outstanding call; returns the service that made it.
    pub(crate) fn take_call(&mut self, call: u64) -> Option<(Name, Purpose)> {
        self.calls.remove(&call)
    }

    /// Returns the control instance to call: the leader if it is known, else
    /// the one that `rotation`, counted up by the caller, selects.
    pub(crate) fn control(&self, rotation: u64) -> Option<(InstanceName, SocketAddr)> {
        let controls = &self.settings.controls;
        if let Some(leader) = &self.leader
            && let Some(address) = controls.get(leader)
        {
            return Some((leader.clone(), *address));
        }
        let count = u64::try_from(controls.len()).unwrap_or(u64::MAX).max(1);
        let nth = usize::try_from(rotation % count).unwrap_or(0);
        let found = controls.iter().nth(nth);
        found.map(|(name, address)| (name.clone(), *address))
    }

    /// Schedules [`Msg::Wake`] for the service `name` at `at`, unless it is
    /// scheduled earlier already.
    pub(crate) fn wake(&mut self, name: Name, at: Time) {
        let slot = self.wakes.entry(name).or_insert(at);
        *slot = at.min(*slot);
    }

    /// Removes and returns the services whose wake is due at `now`.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Name> {
        let due = self.wakes.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Name> = due.map(|(name, _)| *name).collect();
        for name in &due {
            self.wakes.remove(name);
        }
        due
    }

    /// Returns the time of the next wake.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.wakes.values().min().copied()
    }
}
