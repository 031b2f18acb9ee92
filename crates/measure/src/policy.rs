//! The interface between the simulated world and a policy: the events that a policy
//! handles and the actions that it orders.

use base::{AdapterKey, TargetNo, Time};

use crate::{baseline::Baseline, ours::Ours, workload::Arrival, workload::Sizes};

/// A policy that can be simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The project's own router and scheduler.
    Ours,
    /// A baseline: how it chooses an engine, and what it evicts.
    Baseline(Placement, Evict),
}

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The adapter's home engine, chosen by rendezvous hashing.
    Hash,
    /// The least loaded engine on which the adapter is resident, else the adapter's home
    /// engine, as long as they have room in their batch; else the least loaded engine.
    Holder,
}

/// Which adapter a baseline evicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evict {
    /// The adapter that was loaded first.
    Oldest,
    /// The least recently used adapter.
    LeastRecent,
}

impl Policy {
    /// All simulated policies: ours first, then the baselines.
    pub const ALL: [Policy; 6] = [
        Policy::Ours,
        Policy::Baseline(Placement::LeastLoaded, Evict::Oldest),
        Policy::Baseline(Placement::Hash, Evict::Oldest),
        Policy::Baseline(Placement::LeastLoaded, Evict::LeastRecent),
        Policy::Baseline(Placement::Hash, Evict::LeastRecent),
        Policy::Baseline(Placement::Holder, Evict::LeastRecent),
    ];

    /// Returns the policy's name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::Ours => "ours",
            Policy::Baseline(Placement::LeastLoaded, Evict::Oldest) => "least-loaded",
            Policy::Baseline(Placement::Hash, Evict::Oldest) => "hash",
            Policy::Baseline(Placement::Holder, Evict::Oldest) => "holder",
            Policy::Baseline(Placement::LeastLoaded, Evict::LeastRecent) => "least-loaded+lru",
            Policy::Baseline(Placement::Hash, Evict::LeastRecent) => "hash+lru",
            Policy::Baseline(Placement::Holder, Evict::LeastRecent) => "holder+lru",
        }
    }
}

/// An event that a policy handles. Requests are named by their index in the workload.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A request arrives, or is retried because its engine went down.
    Arrive(usize, Arrival),
    /// The caller disconnected before the first token.
    Disconnected(usize),
    /// The first token was generated.
    FirstToken(usize),
    /// A sent request ended; the flag tells whether it was answered.
    Ended(usize, bool),
    /// A preempted request was removed from its engine.
    Preempted(usize),
    /// A load ended; the flag tells whether it succeeded.
    Loaded(TargetNo, AdapterKey, bool),
    Unloaded(TargetNo, AdapterKey),
    Down(TargetNo),
    Up(TargetNo),
    /// The network partition of a zone from all others begins.
    Cut(usize),
    /// The network partition has ended.
    Healed,
    /// The time that [`PolicyState::next_at`] returned has been reached.
    Timer,
}

/// An action that a policy orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Queue the request for this target; from here on its load stall counts.
    Place(usize, TargetNo),
    /// Send the request to this target with a priority; a lower number goes first.
    Send(usize, TargetNo, i32),
    Refuse(usize),
    /// Cancel the running request; the policy sends it again later.
    Preempt(usize),
    Load(TargetNo, AdapterKey),
    Unload(TargetNo, AdapterKey),
}

/// The state of a policy in one run.
pub(crate) enum PolicyState {
    Ours(Box<Ours>),
    Baseline(Box<Baseline>),
}

impl PolicyState {
    pub(crate) fn new(policy: Policy, sizes: &Sizes, seed: u64) -> Self {
        match policy {
            Policy::Ours => PolicyState::Ours(Box::new(Ours::new(sizes, seed))),
            Policy::Baseline(placement, evict) => {
                PolicyState::Baseline(Box::new(Baseline::new(sizes, placement, evict)))
            }
        }
    }

    pub(crate) fn on(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match self {
            PolicyState::Ours(ours) => ours.on(now, event, out),
            PolicyState::Baseline(baseline) => baseline.on(now, event, out),
        }
    }

    /// Returns the time at which the policy needs [`Event::Timer`].
    pub(crate) fn next_at(&self) -> Option<Time> {
        match self {
            PolicyState::Ours(ours) => ours.next_at(),
            PolicyState::Baseline(_) => None,
        }
    }
}

/// Returns the zone of the `i`-th engine, replica or instance: they are distributed
/// round-robin over the zones.
pub(crate) fn zone_of(i: usize, zones: usize) -> usize {
    i % zones
}

/// Returns the target number of the `i`-th plain service replica; numbers of engines come
/// first.
pub(crate) fn replica_no(sizes: &Sizes, i: usize) -> TargetNo {
    target_no(sizes.engines + i)
}

/// Returns the target number of the `i`-th target.
pub(crate) fn target_no(i: usize) -> TargetNo {
    TargetNo(u32::try_from(i).unwrap_or(u32::MAX))
}
