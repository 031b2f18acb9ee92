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
        let probes = self.draw(target, targets);
        if probes.len() + 1 < MIN_TARGETS {
            return BTreeSet::new();
        }
        self.state = State::Doubted(Doubt {
            since: began,
            waiting: probes.clone(),
            failed: BTreeSet::from([target]),
        });
        probes
    }

    /// Counts a connection to `target` that could not be made. Returns a summary once a
    /// second.
    pub fn failed(&mut self, now: Time, target: SocketAddr) -> Option<Summary> {
        self.counted.failed(now, target)
    }

    /// Notes the end of a probe that began at `began`: whether `target` was connected to.
    pub fn probed(
        &mut self,
        now: Time,
        began: Time,
        target: SocketAddr,
        connected: bool,
    ) -> Option<Change> {
        if connected {
            self.connected = self.connected.max(Some(began));
        }
        match &mut self.state {
            State::Open => None,
            State::Doubted(_) if connected => {
                self.state = State::Open;
                None
            }
            State::Doubted(doubt) => {
                doubt.waiting.remove(&target);
                doubt.failed.insert(target);
                if !doubt.waiting.is_empty() {
                    return None;
                }
                let (since, targets) = (doubt.since, doubt.failed.len());
                self.state = State::Cut(Cut {
                    since,
                    next_probe: now + PROBE_INTERVAL,
                    restored: BTreeMap::new(),
                    last_probe: None,
                });
                Some(Change::Cut { since, targets })
            }
            State::Cut(cut) if connected => {
                let made = cut.restored.entry(target).or_default();
                *made += 1;
                if *made < RESTORED_CONNECTIONS && cut.restored.len() < RESTORED_TARGETS {
                    return None;
                }
                let lasted = now.since(cut.since);
                self.state = State::Open;
                Some(Change::Over { lasted })
            }
            State::Cut(cut) => {
                if cut.restored.contains_key(&target) {
                    cut.restored.clear();
                }
                None
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

    /// Draws the targets that are tried in a doubt about `target`.
    fn draw(&mut self, target: SocketAddr, targets: &Targets) -> BTreeSet<SocketAddr> {
        self.round += 1;
        let mut drawn = BTreeSet::new();
        for (zone, of_zone) in targets {
            let most = if *zone == self.zone {
                OWN_ZONE_PROBES
            } else {
                OTHER_ZONE_PROBES
            };
            let mut others: Vec<_> = of_zone.iter().filter(|other| **other != target).collect();
            others.sort_by_cached_key(|other| self.rank(other));
            drawn.extend(others.into_iter().take(most).copied());
        }
        drawn
    }

    fn rank(&self, target: &SocketAddr) -> u64 {
        let target = target.to_string();
        let (seed, round) = (self.seed.to_le_bytes(), self.round.to_le_bytes());
        stable_hash(&[&seed, &round, target.as_bytes()])
    }
}
