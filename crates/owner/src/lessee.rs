//! Decides what one entry instance may send to the engines of its zone at a given moment.

mod held;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{Fence, InstanceName, TargetName, Time, ZoneName};
use wire::{
    call::{Confirm, Handover, HeartbeatReply, Lease, Peer},
    engine::Resident,
};

use self::held::Held;
use crate::Config;

/// A confirmation is valid for at least this time per zone peer. Confirmations are
/// requested less often in a large zone, so that they don't saturate its links.
const CONFIRM_PER_PEER: Duration = Duration::from_millis(200);
/// Number of heartbeats whose sending time is remembered for a late reply.
const SENT_MAX: usize = 64;
/// Number of handovers kept for one engine before its lease arrives.
const EARLY_HANDOVERS_MAX: usize = 16;

/// What an instance may do to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ownership {
    /// The lease or the confirmation of all zone peers is valid: any order may be sent.
    Full {
        /// The fencing number for orders.
        fence: Fence,
    },
    /// The lease has ended, and another owner may have been assigned. Requests for
    /// resident adapters go on. An engine that checks fencing numbers may still get any
    /// order, any other engine only loads into a free slot.
    Restricted {
        /// The fencing number for orders.
        fence: Fence,
    },
    /// Not the owner: no new request and no order may be sent.
    #[default]
    None,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order<'a> {
    /// Load an adapter into a free slot.
    Load,
    /// Unload an adapter that no request of this instance uses.
    Unload(&'a Resident),
}

/// An input of [`Lessee::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A heartbeat is about to be sent. Must be handed in before its first byte is sent,
    /// since leases count from here.
    Sent {
        /// The heartbeat's serial number.
        serial: u64,
    },
    /// The leader's reply to a heartbeat.
    Reply(HeartbeatReply),
    /// A zone peer answered [`Output::Ask`].
    Confirmed {
        /// The zone peer.
        from: InstanceName,
        /// The engine in question.
        target: TargetName,
        /// The round given in [`Output::Ask`].
        round: u64,
        /// Whether it confirmed the ownership.
        granted: bool,
    },
    /// A former owner of an engine reports which adapters it still uses there.
    Handover(Handover),
    /// The adapters that requests of this instance still use on an engine that it no
    /// longer owns. To be handed in after [`Ownership::None`] is reported and after each
    /// change, until the set is empty.
    InUse {
        /// The engine.
        target: TargetName,
        /// Adapters in use by running requests.
        adapters: BTreeSet<Resident>,
    },
    /// An engine confirmed a load ordered by this instance.
    Loaded {
        /// The engine.
        target: TargetName,
        /// The fencing number sent with the order.
        fence: Fence,
        /// The loaded adapter.
        resident: Resident,
        /// Whether the adapter was not resident before. An engine reports if it was; in
        /// that case another owner may have loaded it and may be using it.
        fresh: bool,
    },
    /// An unload, permitted by [`Lessee::may_order`], is about to be sent.
    Unloading {
        /// The engine.
        target: TargetName,
        /// The adapter to unload.
        resident: Resident,
    },
    /// An engine restarted and lost all loaded adapters.
    Restarted {
        /// The engine.
        target: TargetName,
    },
    /// The instance is shutting down: it gives up all engines and accepts no others.
    Renounce,
    /// Time has passed.
    Wake,
}

/// An action that the caller of [`Lessee::handle`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a zone peer to confirm ownership of an engine; its answer is handed in as
    /// [`Input::Confirmed`].
    Ask {
        /// The zone peer.
        to: InstanceName,
        /// Number of the round, to be handed back with the answer.
        round: u64,
        /// The request.
        confirm: Confirm,
    },
    /// What this instance may do to an engine has changed.
    Changed {
        /// The engine.
        target: TargetName,
        /// What it may do now.
        ownership: Ownership,
    },
    /// Tell the new owner of an engine which adapters are still in use there.
    Handover {
        /// The new owner.
        to: InstanceName,
        /// The message.
        handover: Handover,
    },
    /// Call with [`Input::Wake`] at this time; replaces any earlier request.
    Wake(Time),
}

/// A promise to a zone peer not to take over an engine that it owns.
#[derive(Clone, Debug)]
struct Promise {
    /// The fencing number of the zone peer.
    fence: Fence,
    until: Time,
}

/// An engine that this instance no longer owns.
#[derive(Clone, Debug)]
struct Lost {
    /// The fencing number that this instance had.
    fence: Fence,
    /// Adapters that its requests still use; none until [`Input::InUse`] reports them.
    using: Option<BTreeSet<Resident>>,
    /// The owner that was told last, and the adapters it was told of.
    reported: Option<(InstanceName, BTreeSet<Resident>)>,
}

/// The leases of one entry instance on engines.
#[derive(Debug)]
pub struct Lessee {
    config: Config,
    name: InstanceName,
    zone: ZoneName,
    /// When this incarnation of the instance started.
    started: Time,
    /// Serial of the newest reply taken in.
    heard: u64,
    /// Log index up to which the table of instances and owners is known.
    roster: u64,
    /// Whether the instance is shutting down.
    renounced: bool,
    /// When recent heartbeats were sent, by serial.
    sent: BTreeMap<u64, Time>,
    /// All entry instances as last listed by the leader.
    peers: BTreeMap<InstanceName, Peer>,
    held: BTreeMap<TargetName, Held>,
    lost: BTreeMap<TargetName, Lost>,
    /// Promises given to zone peers.
    promises: BTreeMap<TargetName, Promise>,
    /// Fencing numbers of all leases in the newest reply, accepted or not.
    offered: BTreeMap<TargetName, Fence>,
    /// Engines given up since the last [`Output::Changed`].
    unreported: BTreeSet<TargetName>,
    /// Handovers that arrived before the lease, by the fencing number of their sender.
    early_handovers: BTreeMap<TargetName, BTreeMap<Fence, BTreeSet<Resident>>>,
    /// Number of the last round of requests for confirmation.
    round: u64,
}

impl Lessee {
    /// Creates the holder of an instance that starts at `now`.
    #[must_use]
    pub fn new(config: Config, name: InstanceName, zone: ZoneName, now: Time) -> Self {
        Lessee {
            config,
            name,
            zone,
            started: now,
            heard: 0,
            roster: 0,
            renounced: false,
            sent: BTreeMap::new(),
            peers: BTreeMap::new(),
            held: BTreeMap::new(),
            lost: BTreeMap::new(),
            promises: BTreeMap::new(),
            offered: BTreeMap::new(),
            unreported: BTreeSet::new(),
            early_handovers: BTreeMap::new(),
            round: 0,
        }
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Sent { serial } => self.note_sent(now, serial),
            Input::Reply(reply) => self.on_reply(now, reply),
            Input::Confirmed {
                from,
                target,
                round,
                granted,
            } => self.on_confirmed(from, &target, round, granted),
            Input::Handover(handover) => self.on_handover(handover),
            Input::InUse { target, adapters } => {
                if let Some(lost) = self.lost.get_mut(&target) {
                    lost.using = Some(adapters);
                }
            }
            Input::Loaded {
                target,
                fence,
                resident,
                fresh,
            } => self.on_loaded(&target, fence, resident, fresh),
            Input::Unloading { target, resident } => {
                if let Some(held) = self.held.get_mut(&target) {
                    held.loaded.remove(&resident);
                }
            }
            Input::Restarted { target } => {
                if let Some(held) = self.held.get_mut(&target) {
                    held.restarted();
                }
            }
            Input::Renounce => self.renounced = true,
            Input::Wake => {}
        }
        self.flush(now, out);
    }

    /// Answers a zone peer that asks to confirm its ownership of an engine. Returns
    /// whether it is confirmed, which is a promise not to take over the engine for the
    /// requested time.
    pub fn confirm(&mut self, now: Time, ask: &Confirm, out: &mut Vec<Output>) -> bool {
        let granted = self.may_confirm(ask);
        if granted {
            let until = now + self.config.margin.stretch(ask.lasts);
            let fence = ask.fence;
            let fresh = Promise { fence, until };
            let promise = self.promises.entry(ask.target.clone()).or_insert(fresh);
            promise.fence = fence;
            promise.until = promise.until.max(until);
            self.drop_older(ask);
        }
        self.flush(now, out);
        granted
    }

    /// Returns what this instance may do to `target` at `now`.
    #[must_use]
    pub fn ownership(&self, now: Time, target: &TargetName) -> Ownership {
        let Some(held) = self.held.get(target) else {
            return Ownership::None;
        };
        if self.renounced {
            return Ownership::None;
        }
        let fence = held.fence;
        // Guard: a process that was frozen resumes at an arbitrary point, before any of
        // its timers fires. So no stored state says whether the lease is valid; its end
        // is compared with the clock at each use.
        if held.is_valid(now, self.zone_peers(), self.config.leaderless) {
            Ownership::Full { fence }
        } else {
            base::hit!(engine_lease_lapsed);
            Ownership::Restricted { fence }
        }
    }

    /// Returns the fencing number for a request to `target` at `now`, for an adapter that
    /// is resident there; none if the request may not be sent.
    ///
    /// `fencing` says whether the engine refuses outdated fencing numbers. Such an engine
    /// must first have accepted one order of this owner: until then it accepts orders of
    /// a former owner, which could unload the adapter that the request uses. A load of an
    /// adapter that is resident already suffices; see [`Lessee::unfenced`].
    #[must_use]
    pub fn may_send(&self, now: Time, target: &TargetName, fencing: bool) -> Option<Fence> {
        let held = self.held.get(target)?;
        if fencing && held.unfenced() {
            base::hit!(unfenced_engine);
            return None;
        }
        match self.ownership(now, target) {
            Ownership::Full { fence } | Ownership::Restricted { fence } => Some(fence),
            Ownership::None => None,
        }
    }

    /// Returns the fencing number for `order` to `target`, or none if it may not be sent
    /// at `now`. To be called immediately before sending.
    #[must_use]
    pub fn may_order(
        &self,
        now: Time,
        target: &TargetName,
        order: Order<'_>,
        fencing: bool,
    ) -> Option<Fence> {
        let held = self.held.get(target)?;
        let (fence, full) = match self.ownership(now, target) {
            Ownership::Full { fence } => (fence, true),
            Ownership::Restricted { fence } => (fence, false),
            Ownership::None => return None,
        };
        let Order::Unload(resident) = order else {
            return Some(fence);
        };
        // Guard: an order sent at the very end of a lease arrives when the next owner has
        // taken over. So an unload is sent only if it can arrive before the lease ends.
        let full = full
            && held.is_valid(
                now + self.config.delivery,
                self.zone_peers(),
                self.config.leaderless,
            );
        // Guard: an instance that was replaced without knowing it would unload adapters
        // that the new owner's requests use. An engine that checks fencing numbers
        // refuses that order; any other engine is not sent it.
        if !full && (!fencing || held.unfenced()) {
            base::hit!(restricted_unload);
            return None;
        }
        // Guard: a former owner may still have requests running, or send more because it
        // doesn't know that it was replaced. Adapters that it may use are not unloaded.
        if held.pinned(resident) {
            base::hit!(inherited_adapter);
            return None;
        }
        Some(fence)
    }

    /// Returns whether a former owner may use `resident` on `target`.
    #[must_use]
    pub fn pinned(&self, target: &TargetName, resident: &Resident) -> bool {
        let held = self.held.get(target);
        held.is_some_and(|held| held.pinned(resident))
    }

    /// Returns the owned engines to which a former owner may still send orders. Those
    /// that check fencing numbers need one order of this owner before any request.
    pub fn unfenced(&self) -> impl Iterator<Item = &TargetName> {
        let open = self.held.iter().filter(|(_, held)| held.unfenced());
        open.map(|(target, _)| target)
    }

    /// Returns the owner of `target` and its fencing number, as far as known here.
    #[must_use]
    pub fn owner_of(&self, target: &TargetName) -> Option<(&InstanceName, Fence)> {
        let all = self.peers.values();
        let owners = all.filter_map(|peer| Some((&peer.instance, fence_of(peer, target)?)));
        owners.max_by_key(|(_, fence)| *fence)
    }

    /// Returns all entry instances as last listed by the leader.
    #[must_use]
    pub fn peers(&self) -> &BTreeMap<InstanceName, Peer> {
        &self.peers
    }

    /// Returns the zone peers: the other instances of this availability zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &InstanceName> {
        let peers = self.peers.values();
        let others = peers.filter(|peer| peer.zone == self.zone && peer.instance != self.name);
        others.map(|peer| &peer.instance)
    }

    /// Returns the number of zones that have instances, at least 1.
    #[must_use]
    pub fn zones(&self) -> usize {
        let zones: BTreeSet<_> = self.peers.values().map(|peer| &peer.zone).collect();
        zones.len().max(1)
    }

    /// Returns the roster for the next heartbeat: the log index up to which this instance
    /// knows the table of instances and owners.
    #[must_use]
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Returns the serial of the newest reply taken in, for the next heartbeat.
    #[must_use]
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// Returns the engines that are no longer owned but still in use, each with the
    /// fencing number that this instance had, for the next heartbeat.
    #[must_use]
    pub fn busy(&self) -> Vec<(TargetName, Fence)> {
        let busy = self.lost.iter().filter(|(_, lost)| lost.busy());
        busy.map(|(target, lost)| (target.clone(), lost.fence))
            .collect()
    }

    /// Returns whether the next heartbeat has to announce that this instance is shutting
    /// down.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.renounced
    }
}

impl Lost {
    fn busy(&self) -> bool {
        self.using.as_ref().is_none_or(|using| !using.is_empty())
    }
}

/// Returns how long a confirmation is valid in a zone with `zone_peers` zone peers.
fn confirm_time(config: &Config, zone_peers: usize) -> Duration {
    let zone_peers = u32::try_from(zone_peers).unwrap_or(u32::MAX);
    config
        .lease
        .max(CONFIRM_PER_PEER.saturating_mul(zone_peers))
}

fn fence_of(peer: &Peer, target: &TargetName) -> Option<Fence> {
    let owned = peer.owns.iter().find(|(name, _)| name == target);
    owned.map(|(_, fence)| *fence)
}
