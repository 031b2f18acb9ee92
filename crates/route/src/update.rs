//! Updates of an entry instance's directory.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, Fence, Incarnation, StableHash, TargetNo, Time};

use crate::{PoolNo, ZoneNo};

/// One change of what the router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterUpdate {
    /// An adapter exists.
    Adapter {
        /// Number of the adapter.
        adapter: AdapterNo,
        /// Stable hash of the adapter's name: equal on every node, so that all nodes rank
        /// the adapter's home engines alike.
        hash: StableHash,
    },
    /// A target is live. Another incarnation than before means that the target has
    /// restarted: its resident adapters and earlier reports are forgotten.
    Target(Target),
    /// A target is leaving: it gets no new requests.
    Leaving(TargetNo),
    /// A target has turned a request of this instance away and wants nothing from it for so long.
    Rests(TargetNo, Duration),
    /// An answer of a target says that it leaves, whatever the platform's list says.
    SaysLeaving(TargetNo),
    /// A target became unreachable from this instance (`false`) or reachable again
    /// (`true`).
    Reachable(TargetNo, bool),
    /// A target is gone.
    Removed(TargetNo),
    /// An owner published the resident adapters and load of its engine.
    Residents(Residents),
    /// An engine reported its load.
    Report(Report),
    /// This instance sent an attempt to the target.
    AttemptSent(TargetNo),
    /// The answer began, with its first token or its head, this long after the attempt was
    /// sent.
    ResponseBegan(TargetNo, Duration),
    /// An attempt of this instance ended.
    AttemptEnded {
        /// The target that the attempt was sent to.
        target: TargetNo,
        /// False when the target failed; true when it answered or the caller left.
        ok: bool,
    },
    /// The text in force now names version `new` of an adapter instead of `old`.
    VersionChanged {
        /// The version that requests were pinned to until now.
        old: AdapterKey,
        /// The version to pin requests to once it is resident somewhere.
        new: AdapterKey,
    },
}

base::value! {
    /// A live target.
    pub struct Target {
        /// Number of the target.
        pub target: TargetNo,
        /// The pool whose requests it runs.
        pub pool: PoolNo,
        /// The availability zone that it is in.
        pub zone: ZoneNo,
        /// Stable hash of its name.
        pub hash: StableHash,
        /// Changes with each restart.
        pub incarnation: Incarnation,
        /// Requests that it runs concurrently at most.
        pub batch: u32,
        /// Adapters that can be resident at once; zero for a plain service.
        pub slots: u32,
    }
}

/// Resident adapters and load of an engine, as published by its owner; see
/// `wire::call::Residents`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Residents {
    /// The engine.
    pub target: TargetNo,
    /// The owner's fencing number; updates with a lower one than seen before are dropped.
    pub fence: Fence,
    /// Whether `added` is the full list of resident adapters rather than a delta.
    pub full: bool,
    /// Adapters that became resident.
    pub added: Vec<AdapterKey>,
    /// Adapters that are no longer resident.
    pub removed: Vec<AdapterKey>,
    /// Critical and live requests that the owner has admitted and that have not ended.
    pub running: u32,
    /// Batch requests that the owner has admitted and that have not ended. They wait for
    /// urgent requests or are preempted by them.
    pub queued: u32,
    /// Usage rate of the adapter that the next load on the engine would evict, in
    /// thousandths of a live request a second; zero while a slot is free.
    pub evict_cost: u32,
}

/// An engine's report of its own load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The engine.
    pub target: TargetNo,
    /// The incarnation that sent the report.
    pub incarnation: Incarnation,
    /// When the figures were taken: the time at which the report was requested, less the
    /// age that the engine states.
    pub taken: Time,
    /// Requests in the engine's running batch.
    pub running: u32,
    /// Requests queued inside the engine.
    pub waiting: u32,
    /// Hashes of prompt beginnings that entered the engine's prefix cache.
    pub cached: Vec<u64>,
}
