//! The leader's side of ownership: assigns engines and renews leases.

mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{Fence, InstanceName, PerSecond, TargetName, TextVersion, Time, ZoneName};
use wire::call::{Heartbeat, HeartbeatReply, Lease, Peer};

use crate::{Change, Config, InstanceId, Table, store};

/// A change for which the log gave no answer is proposed again after this time.
const PROPOSE_RETRY: Duration = Duration::from_secs(2);
/// An instance that owns no engine is removed from the table after this time without
/// heartbeat.
const DISMISS_AFTER: Duration = Duration::from_secs(30);

/// The grantor's contribution to the reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Leases on the engines that the requester owns.
    pub leases: Vec<Lease>,
    /// Loads from the weight store that the requester may start, in thousandths per
    /// second.
    pub loads: u32,
    /// Index of the last log entry that changed the table.
    pub roster: u64,
    /// Whether `peers` lists all instances rather than those changed since the
    /// requester's roster.
    pub full: bool,
    /// Instances added or changed since the requester's roster.
    pub peers: Vec<Peer>,
    /// Instances removed since the requester's roster.
    pub gone: Vec<InstanceName>,
    /// Whether the next heartbeat has to list the engines that the requester can reach.
    pub want_engines: bool,
}

impl Grant {
    /// Returns the reply to the heartbeat `serial`, where `text` is the newest
    /// accepted version of the operators' configuration text. It names no request to
    /// refuse.
    #[must_use]
    pub fn reply(self, serial: u64, text: TextVersion) -> HeartbeatReply {
        HeartbeatReply {
            serial,
            text,
            leases: self.leases,
            loads: self.loads,
            roster: self.roster,
            full: self.full,
            peers: self.peers,
            removed: self.gone,
            want_engines: self.want_engines,
            quarantine: Default::default(),
        }
    }
}

/// The state of an entry instance according to its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) id: InstanceId,
    pub(crate) zone: ZoneName,
    /// When the last heartbeat arrived.
    pub(crate) last: Time,
    /// Start of the current run of heartbeats without a gap.
    pub(crate) steady: Time,
    /// Greatest serial among the replies that it has taken in.
    pub(crate) heard: u64,
    /// Log index up to which it knows the table.
    pub(crate) roster: u64,
    /// Whether it is shutting down.
    pub(crate) leaving: bool,
    /// Engines that it can reach; none until it lists them.
    pub(crate) engines: Option<BTreeSet<TargetName>>,
    /// Engines that it lost and still has requests on.
    pub(crate) busy: BTreeSet<TargetName>,
    /// Version of the configuration text in force there.
    pub(crate) text: TextVersion,
    /// Number of loads that it waits to make.
    pub(crate) loads: u32,
}

/// An engine that its owner, which is still heard from, has to give up.
#[derive(Clone, Debug)]
pub(crate) struct Moving {
    pub(crate) fence: Fence,
    /// Serial of the first heartbeat whose reply left out the lease.
    pub(crate) withheld: Option<u64>,
    /// Whether the engine gets no other owner, because the platform no longer lists it.
    pub(crate) forget: bool,
}

/// Decides on engine owners while its control instance leads. Each control instance has
/// one.
#[derive(Debug)]
pub struct Grantor {
    config: Config,
    /// When this instance began to lead; none while it doesn't lead.
    since: Option<Time>,
    /// Entry instances from which heartbeats have arrived.
    seen: BTreeMap<InstanceName, Seen>,
    /// Fencing number of each engine's last renewed lease, and when it was renewed.
    granted: BTreeMap<TargetName, (Fence, Time)>,
    /// When a heartbeat of each incarnation was last answered.
    answered: BTreeMap<InstanceId, Time>,
    /// Engines that their owners have to give up.
    moving: BTreeMap<TargetName, Moving>,
    /// Changes proposed recently, and when.
    proposed: BTreeMap<Change, Time>,
    /// Entry instances that the platform lists; none before its first list.
    listed: Option<BTreeSet<InstanceName>>,
    /// Load rate that the weight store allows.
    rate: PerSecond,
    /// Each instance's share of `rate`, in thousandths of a load per second.
    loads: BTreeMap<InstanceName, u32>,
}

impl Grantor {
    /// Creates the grantor of a control instance that doesn't lead.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Grantor {
            config,
            since: None,
            seen: BTreeMap::new(),
            granted: BTreeMap::new(),
            answered: BTreeMap::new(),
            moving: BTreeMap::new(),
            proposed: BTreeMap::new(),
            listed: None,
            rate: PerSecond(0),
            loads: BTreeMap::new(),
        }
    }

    /// Begins to lead at `now`, without knowledge of the leases that earlier leaders
    /// granted.
    pub fn lead(&mut self, now: Time) {
        *self = Grantor {
            since: Some(now),
            listed: self.listed.take(),
            rate: self.rate,
            ..Grantor::new(self.config)
        };
    }

    /// Stops leading.
    pub fn follow(&mut self) {
        *self = Grantor {
            listed: self.listed.take(),
            rate: self.rate,
            ..Grantor::new(self.config)
        };
    }

    /// Sets the load rate that the weight store allows, per second.
    pub fn set_rate(&mut self, rate: PerSecond) {
        self.rate = rate;
    }

    /// Sets the entry instances that the platform lists.
    pub fn set_list(&mut self, names: BTreeSet<InstanceName>) {
        self.listed = Some(names);
    }

    /// Handles a heartbeat and returns the grantor's contribution to the reply; changes
    /// to propose are appended to `out`. May be called only while the leader's own lease
    /// is valid.
    pub fn heartbeat(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        table: &Table,
        out: &mut Vec<Change>,
    ) -> Grant {
        let (id, urgent) = self.note(now, beat);
        if !table.knows(&id) {
            let change = Change::Join {
                id: id.clone(),
                zone: beat.zone.clone(),
                peer: beat.peer.clone(),
            };
            self.propose(now, change, out);
        }
        // Everything else can wait for the next wake-up: planning looks at all engines
        // and instances, which is too much for every heartbeat of every instance.
        if urgent {
            self.plan(now, table, out);
        }
        let leases = self.leases(now, beat, &id, table);
        self.answered.insert(id, now);
        let (full, peers, gone) = table.since(beat.roster);
        let seen = self.seen.get(&beat.instance);
        Grant {
            leases,
            loads: self.loads.get(&beat.instance).copied().unwrap_or(0),
            roster: table.roster(),
            full,
            peers,
            gone,
            want_engines: seen.is_some_and(|seen| seen.engines.is_none()),
        }
    }

    /// Plans after time has passed or a change was applied; changes to propose are
    /// appended to `out`.
    pub fn wake(&mut self, now: Time, table: &Table, out: &mut Vec<Change>) {
        self.plan(now, table, out);
    }

    /// Returns for each instance its zone, the version of the operators' configuration
    /// text in force there, when it was last heard from, and whether it is shutting down.
    pub fn instances(
        &self,
    ) -> impl Iterator<Item = (&InstanceName, &ZoneName, TextVersion, Time, bool)> {
        let all = self.seen.iter();
        all.map(|(name, s)| (name, &s.zone, s.text, s.last, s.leaving))
    }

    /// Returns how long `name` has not been heard from. For an instance that this leader
    /// has never heard from, the time counts from when it began to lead.
    #[must_use]
    pub fn silence(&self, now: Time, name: &InstanceName) -> Duration {
        let since = self.since.unwrap_or(now);
        let last = self.seen.get(name).map_or(since, |seen| seen.last);
        now.since(last)
    }

    /// Records a heartbeat; returns the sender, and whether the heartbeat contains
    /// anything that may require a change of owners.
    fn note(&mut self, now: Time, beat: &Heartbeat) -> (InstanceId, bool) {
        let id = InstanceId {
            instance: beat.instance.clone(),
            incarnation: beat.incarnation,
        };
        let old = self.seen.remove(&beat.instance);
        let old = old.filter(|old| old.id == id);
        let gapless = old.as_ref().filter(|old| self.live(now, old));
        let steady = gapless.map_or(now, |old| old.steady);
        let reported = beat
            .engines
            .as_ref()
            .map(|all| all.iter().cloned().collect());
        let seen = Seen {
            id: id.clone(),
            zone: beat.zone.clone(),
            last: now,
            steady,
            heard: beat.heard,
            roster: beat.roster,
            leaving: beat.leaving,
            engines: reported.or_else(|| old.and_then(|old| old.engines)),
            busy: beat.busy.iter().map(|(target, _)| target.clone()).collect(),
            text: beat.text,
            loads: beat.loads,
        };
        let urgent = steady == now || beat.leaving || beat.engines.is_some();
        self.seen.insert(beat.instance.clone(), seen);
        (id, urgent)
    }

    fn leases(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        id: &InstanceId,
        table: &Table,
    ) -> Vec<Lease> {
        if beat.leaving {
            return Vec::new();
        }
        let mut leases = Vec::new();
        for (target, engine) in table.owned(id) {
            if let Some(moving) = self.moving.get_mut(target)
                && moving.fence == engine.fence
            {
                moving.withheld.get_or_insert(beat.serial);
                continue;
            }
            self.granted.insert(target.clone(), (engine.fence, now));
            leases.push(Lease {
                target: target.clone(),
                fence: engine.fence,
                lasts: self.config.lease,
                former: engine.former.iter().map(|f| f.fence).collect(),
            });
        }
        leases
    }

    /// Recomputes each instance's share of the store's rate.
    fn share_loads(&mut self, now: Time) {
        let live = self.seen.iter().filter(|(_, s)| self.live(now, s));
        let demand = |s: &Seen| store::Demand {
            zone: s.zone.clone(),
            loads: s.loads,
        };
        let demands: BTreeMap<_, _> = live.map(|(name, s)| (name.clone(), demand(s))).collect();
        let zones: BTreeSet<_> = self.seen.values().map(|s| &s.zone).collect();
        let heard: BTreeSet<_> = demands.values().map(|demand| &demand.zone).collect();
        let silent = zones.len() - heard.len();
        self.loads = store::divide(self.rate, zones.len(), silent, &demands);
    }

    pub(crate) fn live(&self, now: Time, seen: &Seen) -> bool {
        now.since(seen.last) < self.config.lease
    }

    pub(crate) fn propose(&mut self, now: Time, change: Change, out: &mut Vec<Change>) {
        let last = self.proposed.get(&change);
        if last.is_some_and(|at| now.since(*at) < PROPOSE_RETRY) {
            return;
        }
        self.proposed.retain(|_, at| now.since(*at) < PROPOSE_RETRY);
        self.proposed.insert(change.clone(), now);
        out.push(change);
    }
}
