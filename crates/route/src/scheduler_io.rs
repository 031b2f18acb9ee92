//! What goes into the owner's scheduler and what comes out.

use std::collections::BTreeSet;

use base::{
    AdapterKey, AdapterNo, BrandNo, Failure, Incarnation, StableHash, TargetNo, Ticket, Time,
};

use crate::Ask;

base::value! {
    /// What the owner may order an engine to do.
    pub enum Ordering {
        /// Loads and unloads.
        Full,
        /// Loads into free slots only: a newer owner may exist and the engine
        /// would not tell.
        FreeSlotsOnly,
        /// Nothing: what is resident goes on answering.
        None,
    }

    /// An engine that this instance owns.
    pub struct Engine {
        /// The engine.
        pub target: TargetNo,
        /// Tells its lives apart.
        pub incarnation: Incarnation,
        /// Adapters that it holds at once.
        pub slots: u32,
        /// Requests that it runs at once.
        pub batch: u32,
        /// What may be ordered.
        pub ordering: Ordering,
    }

    /// How an order to load ended.
    pub enum LoadEnd {
        /// The adapter is resident.
        Done,
        /// The engine or the store could not; tried again after a while.
        Failed,
    }
}

/// One event for the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A brand's weight for its share; one when never told.
    Brand {
        /// Which.
        brand: BrandNo,
        /// Its part relative to the other brands' weights.
        weight: u32,
    },
    /// An adapter exists; `hash` is the stable hash of its name.
    Adapter {
        /// Its number.
        adapter: AdapterNo,
        /// Equal on every node.
        hash: StableHash,
    },
    /// This instance owns the engine; told again when anything changes.
    /// Another incarnation means that the engine came back empty; the driver
    /// ends the requests that ran there by [`Input::Finished`].
    Owned {
        /// The engine.
        engine: Engine,
        /// What it holds, as reported.
        held: Vec<AdapterKey>,
        /// Whether the owner before may still have requests running on what
        /// it holds: then nothing of it is evicted before [`Input::Report`]
        /// brings figures taken after now.
        inherited: bool,
    },
    /// The engine is another instance's now. Queued requests are refused as
    /// `not run`; running ones go on and are still to be ended by `Finished`.
    Lost(TargetNo),
    /// A request for an engine that this instance owns.
    Arrive {
        /// Its number.
        ticket: Ticket,
        /// The engine that the entry chose.
        target: TargetNo,
        /// What it needs.
        ask: Ask,
    },
    /// The caller left; a running one is still to be ended by `Finished`.
    Cancel(Ticket),
    /// The first token came.
    Began(Ticket),
    /// A sent request ended at the engine. After [`Output::Preempt`] it goes
    /// back into the queue and is sent again later.
    Finished {
        /// Which.
        ticket: Ticket,
        /// Whether the engine did its part.
        ok: bool,
    },
    /// An engine's own report.
    Report {
        /// The engine.
        target: TargetNo,
        /// The life it speaks of.
        incarnation: Incarnation,
        /// When its figures were taken.
        taken: Time,
        /// What it holds, with the requests using it.
        held: Vec<(AdapterKey, u32)>,
    },
    /// A load order ended.
    Loaded {
        /// The engine.
        target: TargetNo,
        /// What.
        key: AdapterKey,
        /// How.
        end: LoadEnd,
    },
    /// An unload order ended.
    Unloaded {
        /// The engine.
        target: TargetNo,
        /// What.
        key: AdapterKey,
        /// Whether it has left the slot.
        ok: bool,
    },
    /// This instance's part of the store's budget, in thousandths of a load a
    /// second.
    Budget(u32),
    /// The text in force names `new` instead of `old`.
    Rolled {
        /// The version to leave once it is unused and `new` is loaded.
        old: AdapterKey,
        /// The version to load.
        new: AdapterKey,
    },
    /// An entry instance missed news of the engine: all is told again.
    Asked(TargetNo),
    /// What is held somewhere and no longer named by the text in force; it
    /// replaces what was said before.
    Retired(BTreeSet<AdapterKey>),
    /// The time asked for by [`Output::Wake`] has come.
    Wake,
}

/// One thing for the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request to the engine now.
    Send {
        /// Which.
        ticket: Ticket,
        /// Where.
        target: TargetNo,
        /// For the engine's own queue: lower goes first, as in vLLM.
        priority: i32,
    },
    /// Answer the request with a failure; it has not been sent.
    Refuse {
        /// Which.
        ticket: Ticket,
        /// Why, and when to come back.
        failure: Failure,
    },
    /// Cancel the running batch request at the engine, keeping what it has
    /// generated, then tell [`Input::Finished`]: it is queued again. If it
    /// had ended before the cancel reached the engine, tell
    /// [`Input::Cancel`] first.
    Preempt(Ticket),
    /// Order a load.
    Load {
        /// The engine.
        target: TargetNo,
        /// What.
        key: AdapterKey,
    },
    /// Order an unload.
    Unload {
        /// The engine.
        target: TargetNo,
        /// What.
        key: AdapterKey,
    },
    /// Tell the entry instances what changed at the engine.
    Residents {
        /// The engine.
        target: TargetNo,
        /// Whether `added` is everything.
        whole: bool,
        /// Newly resident.
        added: Vec<AdapterKey>,
        /// No longer resident.
        removed: Vec<AdapterKey>,
        /// Critical and live requests admitted and not ended.
        running: u32,
        /// Batch requests admitted and not ended; they wait or give way.
        queued: u32,
        /// Thousandths of a live use a second that the next load there would
        /// evict; zero with a free slot.
        worth: u32,
    },
    /// Call again at this time, unless something comes before.
    Wake(Time),
}

/// One brand's part of this instance's engines, for `status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BrandShare {
    /// Whose.
    pub brand: BrandNo,
    /// Tokens given to it since the scheduler was made.
    pub tokens: u64,
    /// Requests queued now.
    pub queued: u32,
    /// Requests running now.
    pub running: u32,
    /// Requests refused for load.
    pub refused: u64,
    /// Sum of the times that its requests waited before being sent, in
    /// microseconds.
    pub waited: u64,
    /// Requests sent.
    pub sent: u64,
}
