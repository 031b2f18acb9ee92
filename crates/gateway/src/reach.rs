//! Whether an entry instance is cut off from all targets.
//!
//! Failure: an instance loses its links to all targets, while callers and other instances
//! still reach it. Each of its sends waits for a connection and fails, and its callers are
//! served by nobody. Once it knows, it reaches targets through another instance.
//!
//! A single target says nothing, since it may have crashed, and an answer on an old
//! connection neither, since new ones may be refused. So only new connections count, and a
//! failed one raises a doubt only if none was made since it was tried. Then targets of all
//! zones are tried at once; the instance is cut off if none can be connected to.
//!
//! Targets that crash together refuse connections as well, and what ran there is evidence
//! that a cut would forgive. So after refusals others are tried until one can be connected
//! to, or so many have refused that they can't all have crashed.

mod summary;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base::{Seed, Time, stable_hash};

use self::summary::Counted;
pub use self::summary::Summary;

/// Time after which a connection that isn't established yet raises a doubt: many times what
/// it takes between zones.
pub const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// Time that a probe has to connect.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two probes while the instance is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Targets of the own zone, and of each other one, that are tried in a doubt.
const OWN_ZONE_PROBES: usize = 2;
const OTHER_ZONE_PROBES: usize = 1;

/// Targets that are tried at least in a doubt, where there are so many.
const MIN_PROBES: usize = 8;

/// Factor by which each further round of a doubt tries more targets.
const ROUND_GROWTH: usize = 4;

/// Most targets that are tried in a doubt.
const MAX_PROBES: usize = 64;

/// Least number of targets that have to fail before an instance counts as cut off.
const MIN_TARGETS: usize = 2;

/// Different targets that have to be connected to before a cut counts as over.
const RESTORED_TARGETS: usize = 2;

/// Connections to one target after which a cut counts as over though no other one can be
/// connected to.
const RESTORED_CONNECTIONS: u32 = 8;

/// Links of an entry instance to targets.
#[derive(Clone, Debug)]
pub struct Reach {
    zone: String,
    seed: u64,
    state: State,
    /// When the newest of the connections that were made was tried.
    connected: Option<Time>,
    /// Number of the last round of probes.
    round: u64,
    counted: Counted,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Open,
    Doubted(Doubt),
    Cut(Cut),
}

/// A doubt whose probes are under way.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Doubt {
    since: Time,
    /// Targets that have to answer; one connection ends the doubt.
    waiting: BTreeSet<SocketAddr>,
    failed: BTreeSet<SocketAddr>,
    /// Targets that are tried next if these refuse.
    untried: Vec<SocketAddr>,
    /// Whether a target of this round has refused.
    refused: bool,
}

/// How a probe of a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// A connection was made.
    Connected,
    /// The connection was refused: by the target's machine, or by something on the way.
    Refused,
    /// There was no answer.
    Silent,
}

/// What follows from the end of a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Probed {
    /// What has changed.
    pub change: Option<Change>,
    /// Targets that have to be tried now.
    pub probes: BTreeSet<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Cut {
    since: Time,
    next_probe: Time,
    /// Connections to targets, of which none has failed since.
    restored: BTreeMap<SocketAddr, u32>,
    last_probe: Option<SocketAddr>,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The instance has found itself cut off.
    Cut {
        /// When the first connection failed.
        since: Time,
        /// Number of targets that can't be connected to.
        targets: usize,
    },
    /// The cut is over.
    Over {
        /// How long the instance was cut off.
        lasted: Duration,
    },
}

/// Addresses of the targets, by zone.
pub type Targets = BTreeMap<String, BTreeSet<SocketAddr>>;

impl Reach {
    /// Creates the state of an instance in `zone` that isn't cut off. `seed` has to differ
    /// between instances.
    #[must_use]
    pub fn new(zone: impl Into<String>, seed: Seed) -> Self {
        Reach {
            zone: zone.into(),
            seed: seed.0,
            state: State::Open,
            connected: None,
            round: 0,
            counted: Counted::default(),
        }
    }

    /// Returns whether the instance is cut off from all targets.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut(_))
    }

    /// Returns whether it is not known if the instance is cut off.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        matches!(self.state, State::Doubted(_))
    }

    /// Notes that a connection that was tried at `began` was made.
    pub fn connected(&mut self, began: Time) {
        self.counted.made();
        self.connected = self.connected.max(Some(began));
        if let State::Doubted(doubt) = &self.state
            && began >= doubt.since
        {
            self.state = State::Open;
        }
    }

    /// Notes that a connection to `target` that was tried at `began` could not be made, or
    /// takes long. Returns the targets that have to be tried now.
    pub fn doubt(
        &mut self,
        began: Time,
        target: SocketAddr,
        targets: &Targets,
    ) -> BTreeSet<SocketAddr> {
        let sound = self.connected.is_some_and(|at| at >= began);
        if sound || self.state != State::Open {
            return BTreeSet::new();
        }
        let mut drawn = self.draw(target, targets);
        if drawn.len() + 1 < MIN_TARGETS {
            return BTreeSet::new();
        }
        let untried = drawn.split_off(self.first_round(&drawn, targets));
        let probes: BTreeSet<_> = drawn.into_iter().collect();
        self.state = State::Doubted(Doubt {
            since: began,
            waiting: probes.clone(),
            failed: BTreeSet::from([target]),
            untried,
            refused: false,
        });
        probes
    }

    /// Counts a connection to `target` that could not be made. Returns a summary once a
    /// second.
    pub fn failed(&mut self, now: Time, target: SocketAddr) -> Option<Summary> {
        self.counted.failed(now, target)
    }

    /// Notes the end of a probe of `target` that began at `began`.
    pub fn probed(&mut self, now: Time, began: Time, target: SocketAddr, end: Probe) -> Probed {
        let connected = end == Probe::Connected;
        if connected {
            self.connected = self.connected.max(Some(began));
        }
        match &mut self.state {
            State::Open => Probed::default(),
            State::Doubted(_) if connected => {
                self.state = State::Open;
                Probed::default()
            }
            State::Doubted(doubt) => {
                doubt.refused |= end == Probe::Refused;
                doubt.waiting.remove(&target);
                doubt.failed.insert(target);
                if !doubt.waiting.is_empty() {
                    return Probed::default();
                }
                if let Some(probes) = doubt.next_round() {
                    return Probed {
                        change: None,
                        probes,
                    };
                }
                let (since, targets) = (doubt.since, doubt.failed.len());
                self.state = State::Cut(Cut {
                    since,
                    next_probe: now + PROBE_INTERVAL,
                    restored: BTreeMap::new(),
                    last_probe: None,
                });
                Change::Cut { since, targets }.into()
            }
            State::Cut(cut) if connected => {
                let made = cut.restored.entry(target).or_default();
                *made += 1;
                if *made < RESTORED_CONNECTIONS && cut.restored.len() < RESTORED_TARGETS {
                    return Probed::default();
                }
                let lasted = now.since(cut.since);
                self.state = State::Open;
                Change::Over { lasted }.into()
            }
            State::Cut(cut) => {
                if cut.restored.contains_key(&target) {
                    cut.restored.clear();
                }
                Probed::default()
            }
        }
    }

    /// Returns the target to try now, while the instance is cut off: not the one that was tried
    /// last, if there are others.
    pub fn next_probe(&mut self, now: Time, targets: &Targets) -> Option<SocketAddr> {
        let State::Cut(cut) = &mut self.state else {
            return None;
        };
        if now < cut.next_probe {
            return None;
        }
        cut.next_probe = now + PROBE_INTERVAL;
        let last = cut.last_probe;
        self.round += 1;
        let all = targets.values().flatten();
        let next = all.min_by_key(|target| (last == Some(**target), self.rank(target)));
        let next = next.copied();
        if let State::Cut(cut) = &mut self.state {
            cut.last_probe = next;
        }
        next
    }

    /// Draws the order in which targets are tried in a doubt about `target`: first some of
    /// each zone.
    fn draw(&mut self, target: SocketAddr, targets: &Targets) -> Vec<SocketAddr> {
        self.round += 1;
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for (zone, of_zone) in targets {
            let mut others: Vec<_> = of_zone
                .iter()
                .copied()
                .filter(|other| *other != target)
                .collect();
            others.sort_by_cached_key(|other| self.rank(other));
            let most = self.zone_probes(zone).min(others.len());
            rest.extend(others.split_off(most));
            first.extend(others);
        }
        rest.sort_by_cached_key(|other| self.rank(other));
        first.extend(rest);
        first.truncate(MAX_PROBES);
        first
    }

    /// Returns how many of the drawn targets are tried at once.
    fn first_round(&self, drawn: &[SocketAddr], targets: &Targets) -> usize {
        let of_zones: usize = targets.keys().map(|zone| self.zone_probes(zone)).sum();
        of_zones.max(MIN_PROBES).min(drawn.len())
    }

    fn zone_probes(&self, zone: &str) -> usize {
        if zone == self.zone {
            OWN_ZONE_PROBES
        } else {
            OTHER_ZONE_PROBES
        }
    }

    fn rank(&self, target: &SocketAddr) -> u64 {
        let target = target.to_string();
        let (seed, round) = (self.seed.to_le_bytes(), self.round.to_le_bytes());
        stable_hash(&[&seed, &round, target.as_bytes()])
    }
}

impl Doubt {
    /// Begins the next round if a target has refused in this one and others are left.
    fn next_round(&mut self) -> Option<BTreeSet<SocketAddr>> {
        if !self.refused || self.untried.is_empty() {
            return None;
        }
        let size = self.failed.len() * ROUND_GROWTH;
        let rest = self.untried.split_off(size.min(self.untried.len()));
        let probes: BTreeSet<_> = std::mem::replace(&mut self.untried, rest)
            .into_iter()
            .collect();
        self.waiting.clone_from(&probes);
        self.refused = false;
        Some(probes)
    }
}

impl From<Change> for Probed {
    fn from(change: Change) -> Self {
        Probed {
            change: Some(change),
            probes: BTreeSet::new(),
        }
    }
}
