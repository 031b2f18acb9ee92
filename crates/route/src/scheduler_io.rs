//! Inputs and outputs of the owner's scheduler.

use std::{collections::BTreeSet, time::Duration};

use base::{
    AdapterKey, AdapterNo, BrandNo, Failure, Incarnation, StableHash, TargetNo, Ticket, Time,
};

use crate::RequestSpec;

base::value! {
    /// Which orders the owner may send to an engine.
    pub enum LoadPolicy {
        /// Loads and unloads.
        Full,
        /// Loads into free slots only. Used while a newer owner may exist and the engine
        /// doesn't check fencing numbers, so that it would carry out a former owner's
        /// unload.
        FreeSlotsOnly,
        /// No orders; requests for resident adapters are still served.
        None,
    }

    /// An engine that this instance owns.
    pub struct Engine {
        /// Number of the engine.
        pub target: TargetNo,
        /// Changes with each restart.
        pub incarnation: Incarnation,
        /// Adapters that can be resident at once.
        pub slots: u32,
        /// Requests that it runs concurrently at most.
        pub batch: u32,
        /// Which orders may be sent.
        pub policy: LoadPolicy,
    }

    /// How a load order ended.
    pub enum LoadEnd {
        /// The adapter is resident.
        Done,
        /// The engine or the weight store failed; the load is tried again after a backoff.
        Failed,
    }
}

/// One event for the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Sets a brand's weight, which is one until set.
    Brand {
        /// Number of the brand.
        brand: BrandNo,
        /// The brand's share relative to the other brands' weights.
        weight: u32,
    },
    /// An engine has turned a request away and wants nothing from this instance for so long.
    Rests(TargetNo, Duration),
    /// An adapter exists.
    Adapter {
        /// Number of the adapter.
        adapter: AdapterNo,
        /// Stable hash of the adapter's name; equal on every node.
        hash: StableHash,
    },
    /// This instance owns the engine; sent again when anything about the engine changes.
    /// Another incarnation than before means that the engine restarted empty; the caller
    /// ends the requests that ran there by [`Input::Finished`].
    Owned {
        /// The engine.
        engine: Engine,
        /// Resident adapters, as reported by the engine.
        held: Vec<AdapterKey>,
        /// Whether the previous owner may still have requests running on the resident
        /// adapters. None of these is evicted before an [`Input::Report`] taken after this
        /// input shows it unused.
        inherited: bool,
    },
    /// Another instance owns the engine now. Queued requests are refused as `not run`;
    /// running ones continue, and the caller still ends them by [`Input::Finished`].
    Lost(TargetNo),
    /// A request for an engine that this instance owns.
    Arrive {
        /// Number of the request.
        ticket: Ticket,
        /// The engine that the entry instance chose.
        target: TargetNo,
        /// The request's properties.
        spec: RequestSpec,
    },
    /// The request's caller left. A running request is still to be ended by
    /// [`Input::Finished`].
    Cancel(Ticket),
    /// The request's first token arrived.
    FirstToken(Ticket),
    /// A sent request ended at the engine. After [`Output::Preempt`] the request returns
    /// to the queue and is sent again later.
    Finished {
        /// Number of the request.
        ticket: Ticket,
        /// False when the engine failed.
        ok: bool,
    },
    /// An engine's report of its resident adapters.
    Report {
        /// The engine.
        target: TargetNo,
        /// The incarnation that sent the report.
        incarnation: Incarnation,
        /// When the figures were taken.
        taken: Time,
        /// Resident adapters, each with the number of requests using it.
        held: Vec<(AdapterKey, u32)>,
    },
    /// A load order ended.
    Loaded {
        /// The engine.
        target: TargetNo,
        /// The adapter version that was to be loaded.
        key: AdapterKey,
        /// How the load ended.
        end: LoadEnd,
    },
    /// An unload order ended.
    Unloaded {
        /// The engine.
        target: TargetNo,
        /// The adapter version that was to be unloaded.
        key: AdapterKey,
        /// Whether the adapter has left its slot.
        ok: bool,
    },
    /// Sets this instance's part of the weight store's budget, in thousandths of a load a
    /// second.
    Budget(u32),
    /// The text in force names version `new` of an adapter instead of `old`.
    VersionChanged {
        /// The version to evict first, once it is unused and `new` is resident.
        old: AdapterKey,
        /// The version to load.
        new: AdapterKey,
    },
    /// An entry instance missed updates of the engine: its full state is published again.
    ResidentsRequested(TargetNo),
    /// The adapter versions that are resident somewhere but no longer named by the text in
    /// force. Replaces the set given before.
    Retired(BTreeSet<AdapterKey>),
    /// The time given by [`Output::Wake`] has come.
    Wake,
}

/// One action for the scheduler's caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the engine now.
    Send {
        /// Number of the request.
        ticket: Ticket,
        /// The engine.
        target: TargetNo,
        /// Priority in the engine's own queue: lower goes first, as in vLLM.
        priority: i32,
    },
    /// Answer the request with a failure; it has not been sent.
    Refuse {
        /// Number of the request.
        ticket: Ticket,
        /// The reason and when to retry.
        failure: Failure,
    },
    /// Cancel the running batch request at the engine, keep what it has generated, and
    /// hand in [`Input::Finished`]: the request is then queued again. If it had ended
    /// before the cancel reached the engine, hand in [`Input::Cancel`] first.
    Preempt(Ticket),
    /// Order the engine to load an adapter.
    Load {
        /// The engine.
        target: TargetNo,
        /// The adapter version to load.
        key: AdapterKey,
    },
    /// Order the engine to unload an adapter.
    Unload {
        /// The engine.
        target: TargetNo,
        /// The adapter version to unload.
        key: AdapterKey,
    },
    /// Publish the engine's changes to the entry instances.
    Residents {
        /// The engine.
        target: TargetNo,
        /// Whether `added` is the full list of resident adapters rather than a delta.
        full: bool,
        /// Adapters that became resident.
        added: Vec<AdapterKey>,
        /// Adapters that are no longer resident.
        removed: Vec<AdapterKey>,
        /// Critical and live requests admitted and not ended.
        running: u32,
        /// Batch requests admitted and not ended. They wait for urgent requests or are
        /// preempted by them.
        queued: u32,
        /// Usage rate of the adapter that the next load on the engine would evict, in
        /// thousandths of a live request a second; zero while a slot is free.
        evict_cost: u32,
    },
    /// Hand in [`Input::Wake`] at this time, unless another input comes before.
    Wake(Time),
}

/// One brand's use of the engines that this instance owns, shown by `status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BrandShare {
    /// The brand.
    pub brand: BrandNo,
    /// Tokens requested by the requests sent since the scheduler was created.
    pub tokens: u64,
    /// Requests queued now.
    pub queued: u32,
    /// Requests running now.
    pub running: u32,
    /// Requests refused since the scheduler was created.
    pub refused: u64,
    /// Sum of the times that requests waited before being sent, in microseconds.
    pub waited: u64,
    /// Requests sent since the scheduler was created.
    pub sent: u64,
}
