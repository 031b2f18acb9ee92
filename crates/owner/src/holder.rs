//! What one entry instance may do to the engines of its zone, at this moment.

mod own;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{Fence, InstanceName, TargetName, Time, ZoneName};
use wire::{
    call::{BeatReply, Confirm, Handover, Lease, Peer},
    engine::Resident,
};

use self::own::Held;
use crate::Config;

/// Time per zone-mate that a confirmation lasts at least: rounds are rarer in
/// a large zone, so that they don't fill its links.
const CONFIRM_EACH: Duration = Duration::from_millis(200);
/// Beats whose sending time is remembered for a late reply.
const BEATS_MAX: usize = 64;
/// Handovers kept for one engine before its lease arrives.
const EARLY_MAX: usize = 16;

/// How far an instance is in charge of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Own {
    /// In charge: any order.
    Full {
        /// The fencing number for orders.
        fence: Fence,
    },
    /// Perhaps replaced: requests on what is resident go on. An engine that
    /// checks fencing numbers may be ordered; another only loaded into a free
    /// slot.
    Restricted {
        /// The fencing number for orders.
        fence: Fence,
    },
    /// Not in charge: no new request and no order.
    #[default]
    None,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order<'a> {
    /// Load an adapter into a free slot.
    Load,
    /// Unload an adapter that none of this instance's own requests uses.
    Unload(&'a Resident),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A beat is about to be sent: hand this in before the first byte leaves.
    Sent {
        /// Its serial.
        serial: u64,
    },
    /// The leader answered a beat.
    Reply(BeatReply),
    /// A zone-mate answered [`Output::Ask`].
    Confirmed {
        /// Who.
        from: InstanceName,
        /// Which engine it was asked for.
        target: TargetName,
        /// The round of the question.
        round: u64,
        /// Its answer.
        granted: bool,
    },
    /// Another owner hands an engine over, or says what it still uses there.
    Handover(Handover),
    /// What this instance's own requests still use at an engine that it lost.
    /// To be handed in after [`Own::None`] and after each change, until empty.
    Using {
        /// The engine.
        target: TargetName,
        /// Adapters in use by running requests.
        adapters: BTreeSet<Resident>,
    },
    /// An engine confirmed a load ordered by this instance.
    Loaded {
        /// The engine.
        target: TargetName,
        /// The fencing number of the order.
        fence: Fence,
        /// What was loaded.
        resident: Resident,
        /// Whether the engine didn't hold it before. An engine says so when it
        /// does: then another owner may have loaded it, and may use it.
        fresh: bool,
    },
    /// An unload is about to be sent, after [`Holder::may_order`].
    Unloading {
        /// The engine.
        target: TargetName,
        /// What is unloaded.
        resident: Resident,
    },
    /// An engine restarted: it holds nothing that was loaded before.
    Restarted {
        /// The engine.
        target: TargetName,
    },
    /// The instance is about to stop: gives up all engines, takes none.
    Renounce,
    /// Time has passed.
    Wake,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a zone-mate to confirm ownership; answer by [`Input::Confirmed`].
    Ask {
        /// Whom.
        to: InstanceName,
        /// The round to hand back.
        round: u64,
        /// The question.
        confirm: Confirm,
    },
    /// Ownership of an engine changed.
    Changed {
        /// The engine.
        target: TargetName,
        /// How far this instance is in charge now.
        own: Own,
    },
    /// Tell the new owner of an engine what is still in use there.
    Handover {
        /// The new owner.
        to: InstanceName,
        /// The message.
        handover: Handover,
    },
    /// Call with [`Input::Wake`] at this moment; replaces the last one.
    Wake(Time),
}

/// A promise not to take an engine.
#[derive(Clone, Debug)]
struct Promise {
    fence: Fence,
    until: Time,
}

/// An engine that went to somebody else.
#[derive(Clone, Debug)]
struct Lost {
    fence: Fence,
    using: Option<BTreeSet<Resident>>,
    told: Option<(InstanceName, BTreeSet<Resident>)>,
}

/// An entry instance's leases on engines.
#[derive(Debug)]
pub struct Holder {
    config: Config,
    name: InstanceName,
    zone: ZoneName,
    born: Time,
    heard: u64,
    roster: u64,
    renounced: bool,
    sent: BTreeMap<u64, Time>,
    peers: BTreeMap<InstanceName, Peer>,
    held: BTreeMap<TargetName, Held>,
    lost: BTreeMap<TargetName, Lost>,
    promises: BTreeMap<TargetName, Promise>,
    offered: BTreeMap<TargetName, Fence>,
    news: BTreeSet<TargetName>,
    early: BTreeMap<TargetName, BTreeMap<Fence, BTreeSet<Resident>>>,
    round: u64,
}

impl Holder {
    /// Makes the holder of an instance that starts at `now`.
    #[must_use]
    pub fn new(config: Config, name: InstanceName, zone: ZoneName, now: Time) -> Self {
        Holder {
            config,
            name,
            zone,
            born: now,
            heard: 0,
            roster: 0,
            renounced: false,
            sent: BTreeMap::new(),
            peers: BTreeMap::new(),
            held: BTreeMap::new(),
            lost: BTreeMap::new(),
            promises: BTreeMap::new(),
            offered: BTreeMap::new(),
            news: BTreeSet::new(),
            early: BTreeMap::new(),
            round: 0,
        }
    }

    /// Takes one input and appends what has to be done about it.
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
            Input::Using { target, adapters } => {
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
        self.settle(now, out);
    }

    /// Answers a zone-mate that asks to keep an engine: a promise not to take
    /// it for so long.
    pub fn confirm(&mut self, now: Time, ask: &Confirm, out: &mut Vec<Output>) -> bool {
        let granted = self.grants(ask);
        if granted {
            let until = now + self.config.margin.stretch(ask.lasts);
            let fence = ask.fence;
            let fresh = Promise { fence, until };
            let promise = self.promises.entry(ask.target.clone()).or_insert(fresh);
            promise.fence = fence;
            promise.until = promise.until.max(until);
            self.drop_older(ask);
        }
        self.settle(now, out);
        granted
    }

    /// Returns how far this instance is in charge of `target` at `now`.
    #[must_use]
    pub fn own(&self, now: Time, target: &TargetName) -> Own {
        let Some(held) = self.held.get(target) else {
            return Own::None;
        };
        if self.renounced {
            return Own::None;
        }
        let fence = held.fence;
        // Guard: a process that was frozen goes on in the middle of whatever
        // it did, with timers that haven't fired yet. Nothing it remembers as
        // "in charge" may count; the lease's end is compared with the clock
        // at the very moment of use.
        if held.in_charge(now, self.mates(), self.config.alone) {
            Own::Full { fence }
        } else {
            base::hit!(engine_lease_lapsed);
            Own::Restricted { fence }
        }
    }

    /// Returns the fencing number under which a request may be sent to
    /// `target` at `now`, on an adapter that is resident there.
    ///
    /// `fencing` says whether the engine refuses old fencing numbers. Such an
    /// engine has to have taken one order of this owner before: until then an
    /// earlier owner's orders still pass, and could unload what the request
    /// uses. A load of something already resident serves; see
    /// [`Holder::untouched`].
    #[must_use]
    pub fn may_send(&self, now: Time, target: &TargetName, fencing: bool) -> Option<Fence> {
        let held = self.held.get(target)?;
        if fencing && held.untouched() {
            base::hit!(untouched_engine);
            return None;
        }
        match self.own(now, target) {
            Own::Full { fence } | Own::Restricted { fence } => Some(fence),
            Own::None => None,
        }
    }

    /// Returns the fencing number for `order` to `target` if it may be sent at
    /// `now`; to be called immediately before sending.
    #[must_use]
    pub fn may_order(
        &self,
        now: Time,
        target: &TargetName,
        order: Order<'_>,
        fencing: bool,
    ) -> Option<Fence> {
        let held = self.held.get(target)?;
        let (fence, full) = match self.own(now, target) {
            Own::Full { fence } => (fence, true),
            Own::Restricted { fence } => (fence, false),
            Own::None => return None,
        };
        let Order::Unload(resident) = order else {
            return Some(fence);
        };
        // Guard: an order sent in the last moment of a lease arrives when the
        // next owner is in charge. An unload has to have time to arrive.
        let full =
            full && held.in_charge(now + self.config.flight, self.mates(), self.config.alone);
        // Guard: an instance that was replaced without knowing it would
        // unload what the new owner's requests use. An engine that checks
        // fencing numbers refuses that order; any other gets none.
        if !full && (!fencing || held.untouched()) {
            base::hit!(restricted_unload);
            return None;
        }
        // Guard: an earlier owner may still have requests running, or send
        // more without knowing that it was replaced. What it may use stays.
        if held.pinned(resident) {
            base::hit!(inherited_adapter);
            return None;
        }
        Some(fence)
    }

    /// Returns whether an earlier owner may use `resident` at `target`.
    #[must_use]
    pub fn pinned(&self, target: &TargetName, resident: &Resident) -> bool {
        let held = self.held.get(target);
        held.is_some_and(|held| held.pinned(resident))
    }

    /// Returns engines owned where an earlier owner may still give orders: if
    /// they check fencing numbers, they need one order before any request.
    pub fn untouched(&self) -> impl Iterator<Item = &TargetName> {
        let open = self.held.iter().filter(|(_, held)| held.untouched());
        open.map(|(target, _)| target)
    }

    /// Returns the owner of `target` and its fencing number, as far as known.
    #[must_use]
    pub fn owner_of(&self, target: &TargetName) -> Option<(&InstanceName, Fence)> {
        let all = self.peers.values();
        let owners = all.filter_map(|peer| Some((&peer.instance, fence_in(peer, target)?)));
        owners.max_by_key(|(_, fence)| *fence)
    }

    /// Returns the entry instances as the leader last named them.
    #[must_use]
    pub fn peers(&self) -> &BTreeMap<InstanceName, Peer> {
        &self.peers
    }

    /// Returns the other instances of this zone.
    pub fn mates(&self) -> impl Iterator<Item = &InstanceName> {
        let mates = self.peers.values();
        let mates = mates.filter(|peer| peer.zone == self.zone && peer.instance != self.name);
        mates.map(|peer| &peer.instance)
    }

    /// Returns how many zones have instances.
    #[must_use]
    pub fn zones(&self) -> usize {
        let zones: BTreeSet<_> = self.peers.values().map(|peer| &peer.zone).collect();
        zones.len().max(1)
    }

    /// Returns the roster for the next beat.
    #[must_use]
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Returns the serial of the newest reply, for the next beat.
    #[must_use]
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// Returns the engines lost and still in use, for the next beat.
    #[must_use]
    pub fn busy(&self) -> Vec<(TargetName, Fence)> {
        let busy = self.lost.iter().filter(|(_, lost)| lost.busy());
        busy.map(|(target, lost)| (target.clone(), lost.fence))
            .collect()
    }

    /// Returns whether the next beat has to say that this instance leaves.
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

/// Returns how long a confirmation lasts in a zone with so many mates.
fn confirm_time(config: &Config, mates: usize) -> Duration {
    let mates = u32::try_from(mates).unwrap_or(u32::MAX);
    config.lease.max(CONFIRM_EACH.saturating_mul(mates))
}

fn fence_in(peer: &Peer, target: &TargetName) -> Option<Fence> {
    let owned = peer.owns.iter().find(|(name, _)| name == target);
    owned.map(|(_, fence)| *fence)
}
