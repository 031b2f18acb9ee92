//! What keeps an entry instance's directory up to date.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, Fence, Incarnation, StableHash, TargetNo, Time};

use crate::{PoolNo, ZoneNo};

/// One change of what the router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// An adapter exists; `hash` is the stable hash of its name.
    Adapter {
        /// Its number.
        adapter: AdapterNo,
        /// Equal on every node, so that all choose the same home engines.
        hash: StableHash,
    },
    /// A target is live. Told again with another incarnation, it has
    /// restarted: what it held and what it reported before is forgotten.
    Target(Target),
    /// A target is leaving: it gets nothing new.
    Leaving(TargetNo),
    /// A target can't be reached from here (`false`) or can again (`true`).
    Reachable(TargetNo, bool),
    /// A target is gone.
    Removed(TargetNo),
    /// An owner's account of what its engine holds.
    Residents(Residents),
    /// An engine's own report of load.
    Report(Report),
    /// An attempt was sent to the target.
    Started(TargetNo),
    /// The first token or the head of the answer came, so long after the
    /// attempt was sent.
    Began(TargetNo, Duration),
    /// An attempt ended; `ok` is false when the target failed, true when it
    /// answered or the caller left.
    Ended {
        /// Where.
        target: TargetNo,
        /// Whether the target did its part.
        ok: bool,
    },
    /// The text in force now names version `new` of the adapter instead of
    /// `old`.
    Rolled {
        /// What requests were pinned to so far.
        old: AdapterKey,
        /// What they are to be pinned to once it is loaded somewhere.
        new: AdapterKey,
    },
}

base::value! {
    /// A live target.
    pub struct Target {
        /// Its number.
        pub target: TargetNo,
        /// The pool whose requests it runs.
        pub pool: PoolNo,
        /// Where it is.
        pub zone: ZoneNo,
        /// Stable hash of its name.
        pub hash: StableHash,
        /// Tells its lives apart.
        pub incarnation: Incarnation,
        /// Requests that it runs at once.
        pub batch: u32,
        /// Adapters that it holds at once; zero for a plain service.
        pub slots: u32,
    }
}

/// What an owner says about its engine; see `wire::call::Residents`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Residents {
    /// The engine.
    pub target: TargetNo,
    /// The owner's fencing number; news with a lower one is dropped.
    pub fence: Fence,
    /// Whether `added` is everything rather than a change.
    pub whole: bool,
    /// Newly resident.
    pub added: Vec<AdapterKey>,
    /// No longer resident.
    pub removed: Vec<AdapterKey>,
    /// Critical and live requests admitted and not ended.
    pub running: u32,
    /// Batch requests admitted and not ended; they wait or give way.
    pub queued: u32,
    /// Thousandths of a live use a second that the next load there would
    /// evict; zero with a free slot.
    pub worth: u32,
}

/// An engine's report of its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The engine.
    pub target: TargetNo,
    /// The life it speaks of.
    pub incarnation: Incarnation,
    /// When its figures were taken: the time of asking less the stated age.
    pub taken: Time,
    /// Requests in the batch.
    pub running: u32,
    /// Requests queued inside the engine.
    pub waiting: u32,
    /// Hashes of prompt heads that entered its prefix cache.
    pub cached: Vec<u64>,
}
