//! What the world asks of a policy, and what a policy orders.

use base::{AdapterKey, TargetNo, Time};

use crate::{baseline::Baseline, ours::Ours, workload::Arrival, workload::Sizes};

/// Which decisions are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The project's own.
    Ours,
    /// A baseline.
    Baseline(Spread, Evict),
}

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// The one with the fewest requests.
    LeastLoaded,
    /// The adapter's own, by hashing.
    Hash,
    /// Both: the least loaded one that holds the adapter, else the adapter's
    /// own, as long as they have room; else the least loaded one.
    Holder,
}

/// What a baseline evicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evict {
    /// What was loaded first.
    Oldest,
    /// What was used least recently.
    LeastRecent,
}

impl Policy {
    /// Ours first, then all baselines.
    pub const ALL: [Policy; 6] = [
        Policy::Ours,
        Policy::Baseline(Spread::LeastLoaded, Evict::Oldest),
        Policy::Baseline(Spread::Hash, Evict::Oldest),
        Policy::Baseline(Spread::LeastLoaded, Evict::LeastRecent),
        Policy::Baseline(Spread::Hash, Evict::LeastRecent),
        Policy::Baseline(Spread::Holder, Evict::LeastRecent),
    ];

    /// Returns its name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::Ours => "ours",
            Policy::Baseline(Spread::LeastLoaded, Evict::Oldest) => "least-loaded",
            Policy::Baseline(Spread::Hash, Evict::Oldest) => "hash",
            Policy::Baseline(Spread::Holder, Evict::Oldest) => "holder",
            Policy::Baseline(Spread::LeastLoaded, Evict::LeastRecent) => "least-loaded+lru",
            Policy::Baseline(Spread::Hash, Evict::LeastRecent) => "hash+lru",
            Policy::Baseline(Spread::Holder, Evict::LeastRecent) => "holder+lru",
        }
    }
}

/// What happens to a policy.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A request comes, or comes back because its engine went down.
    Arrive(usize, Arrival),
    /// The caller left.
    Left(usize),
    /// The first token came.
    Began(usize),
    /// A sent request ended.
    Ended(usize, bool),
    /// A preempted request has left its engine.
    Paused(usize),
    Loaded(TargetNo, AdapterKey, bool),
    Unloaded(TargetNo, AdapterKey),
    Down(TargetNo),
    Up(TargetNo),
    Cut(usize),
    Joined,
    /// The policy's own time has come.
    Timer,
}

/// What a policy orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// The request waits for this target from now on.
    Place(usize, TargetNo),
    Send(usize, TargetNo, i32),
    Refuse(usize),
    /// Cancel the running request; it will be sent again.
    Preempt(usize),
    Load(TargetNo, AdapterKey),
    Unload(TargetNo, AdapterKey),
}

/// A policy at work.
pub(crate) enum Decider {
    Ours(Box<Ours>),
    Baseline(Box<Baseline>),
}

impl Decider {
    pub(crate) fn new(policy: Policy, sizes: &Sizes, seed: u64) -> Self {
        match policy {
            Policy::Ours => Decider::Ours(Box::new(Ours::new(sizes, seed))),
            Policy::Baseline(spread, evict) => {
                Decider::Baseline(Box::new(Baseline::new(sizes, spread, evict)))
            }
        }
    }

    pub(crate) fn on(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match self {
            Decider::Ours(ours) => ours.on(now, event, out),
            Decider::Baseline(baseline) => baseline.on(now, event, out),
        }
    }

    /// Returns when it wants [`Event::Timer`].
    pub(crate) fn next_at(&self) -> Option<Time> {
        match self {
            Decider::Ours(ours) => ours.next_at(),
            Decider::Baseline(_) => None,
        }
    }
}

/// Returns the zone of the `i`-th of things dealt over the zones.
pub(crate) fn zone_of(i: usize, zones: usize) -> usize {
    i % zones
}

/// Returns the number of the `i`-th plain service replica; engines come first.
pub(crate) fn portal_no(sizes: &Sizes, i: usize) -> TargetNo {
    target_no(sizes.engines + i)
}

/// Returns the number of the `i`-th target.
pub(crate) fn target_no(i: usize) -> TargetNo {
    TargetNo(u32::try_from(i).unwrap_or(u32::MAX))
}
