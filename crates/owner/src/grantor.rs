//! The leader's part: who owns which engine, and whose lease is renewed.

mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{Fence, InstanceName, PerSecond, TargetName, TextVersion, Time, ZoneName};
use wire::call::{Beat, BeatReply, Lease, Peer};

use crate::{Change, Config, Life, Table, store};

/// After this time without an answer from the log a change is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_secs(2);
/// An instance that owns nothing and was silent for so long leaves the table.
const DISMISS_AFTER: Duration = Duration::from_secs(30);

/// What the grantor puts into the answer to a beat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Engines of the asker.
    pub leases: Vec<Lease>,
    /// Loads that it may start a second, in thousandths.
    pub loads: u32,
    /// Index of the last change of the table.
    pub roster: u64,
    /// Whether `peers` is everybody.
    pub whole: bool,
    /// Instances new or changed since the asker's roster.
    pub peers: Vec<Peer>,
    /// Instances gone since.
    pub gone: Vec<InstanceName>,
    /// Whether the next beat has to name the engines in reach.
    pub tell: bool,
}

impl Part {
    /// Returns the whole answer to the beat `serial`, where `text` is the newest
    /// accepted version.
    #[must_use]
    pub fn reply(self, serial: u64, text: TextVersion) -> BeatReply {
        BeatReply {
            serial,
            text,
            leases: self.leases,
            loads: self.loads,
            roster: self.roster,
            whole: self.whole,
            peers: self.peers,
            gone: self.gone,
            tell: self.tell,
        }
    }
}

/// An instance as its beats show it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) life: Life,
    pub(crate) zone: ZoneName,
    pub(crate) last: Time,
    /// Since when its beats come without a gap.
    pub(crate) steady: Time,
    pub(crate) heard: u64,
    pub(crate) roster: u64,
    pub(crate) leaving: bool,
    pub(crate) engines: Option<BTreeSet<TargetName>>,
    pub(crate) busy: BTreeSet<TargetName>,
    pub(crate) text: TextVersion,
    pub(crate) loads: u32,
}

/// An engine that a living owner is to give up.
#[derive(Clone, Debug)]
pub(crate) struct Moving {
    pub(crate) fence: Fence,
    /// Serial of the first beat that was answered without the lease.
    pub(crate) without: Option<u64>,
    /// Nobody gets it: the platform no longer has it.
    pub(crate) forget: bool,
}

/// Decides on owners while its control instance leads; one per control
/// instance.
#[derive(Debug)]
pub struct Grantor {
    config: Config,
    /// Since when this instance leads; absent while it doesn't.
    since: Option<Time>,
    seen: BTreeMap<InstanceName, Seen>,
    /// Last time that a lease on an engine was renewed, and its number.
    granted: BTreeMap<TargetName, (Fence, Time)>,
    /// Last time that any beat of a life was answered.
    answered: BTreeMap<Life, Time>,
    moving: BTreeMap<TargetName, Moving>,
    proposed: BTreeMap<Change, Time>,
    listed: Option<BTreeSet<InstanceName>>,
    rate: PerSecond,
    /// Each instance's part of that rate, in thousandths.
    loads: BTreeMap<InstanceName, u32>,
}

impl Grantor {
    /// Makes the grantor of a control instance that doesn't lead.
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

    /// Begins to lead at `now`, knowing nothing of what older leaders granted.
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

    /// Sets the loads that the weight store allows.
    pub fn set_rate(&mut self, rate: PerSecond) {
        self.rate = rate;
    }

    /// Sets the entry instances that the platform's list names.
    pub fn set_list(&mut self, names: BTreeSet<InstanceName>) {
        self.listed = Some(names);
    }

    /// Takes a beat and returns its answer's part; changes to propose go to
    /// `out`. To be called only while the leader's own lease holds.
    pub fn beat(&mut self, now: Time, beat: &Beat, table: &Table, out: &mut Vec<Change>) -> Part {
        let (life, news) = self.note(now, beat);
        if !table.knows(&life) {
            let change = Change::Join {
                life: life.clone(),
                zone: beat.zone.clone(),
                peer: beat.peer.clone(),
            };
            self.propose(now, change, out);
        }
        // All else can wait for the next wake-up: a plan looks at all engines
        // and instances, and every instance beats.
        if news {
            self.plan(now, table, out);
        }
        let leases = self.leases(now, beat, &life, table);
        self.answered.insert(life, now);
        let (whole, peers, gone) = table.since(beat.roster);
        let seen = self.seen.get(&beat.instance);
        Part {
            leases,
            loads: self.loads.get(&beat.instance).copied().unwrap_or(0),
            roster: table.roster(),
            whole,
            peers,
            gone,
            tell: seen.is_some_and(|seen| seen.engines.is_none()),
        }
    }

    /// Takes the passing of time, or an applied change; changes to propose go
    /// to `out`.
    pub fn wake(&mut self, now: Time, table: &Table, out: &mut Vec<Change>) {
        self.plan(now, table, out);
    }

    /// Returns what is known of each instance: its zone, the text in force
    /// there, when it was last heard of, and whether it is leaving.
    pub fn instances(
        &self,
    ) -> impl Iterator<Item = (&InstanceName, &ZoneName, TextVersion, Time, bool)> {
        let all = self.seen.iter();
        all.map(|(name, s)| (name, &s.zone, s.text, s.last, s.leaving))
    }

    /// Returns how long nothing was heard of `name`, as far as this leader can
    /// tell; nothing at all since it began to lead counts from then.
    #[must_use]
    pub fn silence(&self, now: Time, name: &InstanceName) -> Duration {
        let since = self.since.unwrap_or(now);
        let last = self.seen.get(name).map_or(since, |seen| seen.last);
        now.since(last)
    }

    /// Takes in a beat; returns whose it is, and whether it says something that
    /// owners may have to change for.
    fn note(&mut self, now: Time, beat: &Beat) -> (Life, bool) {
        let life = Life {
            instance: beat.instance.clone(),
            incarnation: beat.incarnation,
        };
        let old = self.seen.remove(&beat.instance);
        let old = old.filter(|old| old.life == life);
        let gapless = old.as_ref().filter(|old| self.live(now, old));
        let steady = gapless.map_or(now, |old| old.steady);
        let told = beat
            .engines
            .as_ref()
            .map(|all| all.iter().cloned().collect());
        let seen = Seen {
            life: life.clone(),
            zone: beat.zone.clone(),
            last: now,
            steady,
            heard: beat.heard,
            roster: beat.roster,
            leaving: beat.leaving,
            engines: told.or_else(|| old.and_then(|old| old.engines)),
            busy: beat.busy.iter().map(|(target, _)| target.clone()).collect(),
            text: beat.text,
            loads: beat.loads,
        };
        let news = steady == now || beat.leaving || beat.engines.is_some();
        self.seen.insert(beat.instance.clone(), seen);
        (life, news)
    }

    fn leases(&mut self, now: Time, beat: &Beat, life: &Life, table: &Table) -> Vec<Lease> {
        if beat.leaving {
            return Vec::new();
        }
        let mut leases = Vec::new();
        for (target, engine) in table.owned(life) {
            if let Some(moving) = self.moving.get_mut(target)
                && moving.fence == engine.fence
            {
                moving.without.get_or_insert(beat.serial);
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

    /// Divides the store's rate anew.
    fn share_loads(&mut self, now: Time) {
        let live = self.seen.iter().filter(|(_, s)| self.live(now, s));
        let ask = |s: &Seen| store::Ask {
            zone: s.zone.clone(),
            loads: s.loads,
        };
        let asks: BTreeMap<_, _> = live.map(|(name, s)| (name.clone(), ask(s))).collect();
        let zones: BTreeSet<_> = self.seen.values().map(|s| &s.zone).collect();
        let heard: BTreeSet<_> = asks.values().map(|ask| &ask.zone).collect();
        let silent = zones.len() - heard.len();
        self.loads = store::divide(self.rate, zones.len(), silent, &asks);
    }

    pub(crate) fn live(&self, now: Time, seen: &Seen) -> bool {
        now.since(seen.last) < self.config.lease
    }

    pub(crate) fn propose(&mut self, now: Time, change: Change, out: &mut Vec<Change>) {
        let last = self.proposed.get(&change);
        if last.is_some_and(|at| now.since(*at) < PROPOSE_AGAIN) {
            return;
        }
        self.proposed.retain(|_, at| now.since(*at) < PROPOSE_AGAIN);
        self.proposed.insert(change.clone(), now);
        out.push(change);
    }
}
