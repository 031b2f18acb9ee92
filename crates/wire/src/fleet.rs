//! Exchange between entry and control instances about targets: which adapters they
//! have loaded, their load, and which adapters are needed.
//!
//! One exchange ([`Sync`] and its answer [`Synced`]) serves as heartbeat, reports load
//! and demand to the zone owner, and distributes the list of targets and their loaded
//! adapters to entry instances. It takes place a few times a second, and immediately
//! when a caller waits for an adapter. It contains only the number of the newest
//! edition (a numbered configuration); the edition itself is fetched in [`Part`]s.

mod part;

use std::time::Duration;

use base::{InstanceName, record};

use crate::{
    limit::TargetLimit,
    quarantine::{CrashReport, Quarantine},
};

pub use self::part::{PART_SIZE, Part};

/// Bits of [`Sync::loading_elsewhere`] that count adapters; those above count base models.
const ADAPTER_BITS: u32 = 16;

/// Loads at targets of other control instances.
///
/// Messages are arrays, which instances of earlier builds read only in full length; these
/// take the packed number for more adapters, and keep to the share of their own zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadsElsewhere {
    /// Adapters being loaded.
    pub adapters: u32,
    /// Base models being loaded.
    pub models: u32,
}

impl From<u32> for LoadsElsewhere {
    fn from(packed: u32) -> Self {
        LoadsElsewhere {
            adapters: packed & ((1 << ADAPTER_BITS) - 1),
            models: packed >> ADAPTER_BITS,
        }
    }
}

impl From<LoadsElsewhere> for u32 {
    fn from(loads: LoadsElsewhere) -> Self {
        let most = (1 << ADAPTER_BITS) - 1;
        loads.adapters.min(most) | loads.models.min(most) << ADAPTER_BITS
    }
}

record! {
    /// The request of an entry instance to a control instance.
    #[derive(Default)]
    pub struct Sync {
        /// The entry instance; absent if it has no name yet, as in its first message.
        pub instance: Option<InstanceName>,
        /// Number of the edition in force at the entry instance; 0 for none.
        pub edition: u64,
        /// Revision of the named adapter versions that the entry instance has from this
        /// control instance; see [`Synced::revision`].
        pub revision: u64,
        /// Number of the newest target update that the entry instance has; see
        /// [`Synced::update`].
        pub update: u64,
        /// Targets whose state the entry instance has dropped and needs again, by id.
        pub resend: Vec<String>,
        /// Whether this only asks for adapters: it contains no load figures, and neither
        /// does the answer.
        pub brief: bool,
        /// Requests of the entry instance under way.
        pub running: Vec<Running>,
        /// Prompt tokens sent by the entry instance and not yet processed, by target.
        pub unread: Vec<(String, u64)>,
        /// Requests for each adapter since the last exchange that was answered.
        pub demand: Vec<(String, u32)>,
        /// Adapters that callers wait for.
        pub wants: Vec<String>,
        /// Adapters whose holders all have a backlog of prompts, so that loading the
        /// adapter at one more target would serve its requests sooner.
        pub copies: Vec<String>,
        /// Targets that were unreachable recently, by id.
        pub failing: Vec<String>,
        /// Number of adapters and base models being loaded at targets of other control
        /// instances, as [`LoadsElsewhere`] packs them; absent unless all of these were heard
        /// from.
        pub loading_elsewhere: Option<u32>,
        /// Results of the first requests for newly loaded adapters, since the last
        /// exchange.
        pub first_uses: Vec<FirstUse>,
        /// Time that targets took to begin their answers, since the last exchange.
        pub prompt_times: Vec<PromptTime>,
        /// Requests that crash targets. An empty one is left out, so that instances of
        /// earlier builds can read the message.
        #[serde(default, skip_serializing_if = "CrashReport::is_empty")]
        pub crashes: Box<CrashReport>,
    }

    /// Time that a target took to process prompts, summed over some requests.
    pub struct PromptTime {
        /// The target.
        pub target: String,
        /// Prompt tokens that the target had to process.
        pub tokens: u64,
        /// Time until the target began to answer.
        pub took: Duration,
    }

    /// Result of one instance's first request for an adapter after it was loaded.
    pub struct FirstUse {
        /// The target.
        pub target: String,
        /// The adapter.
        pub adapter: String,
        /// Whether the target had the adapter at the time that was announced.
        pub held: bool,
    }

    /// Requests of one instance under way at one target.
    pub struct Running {
        /// The target.
        pub target: String,
        /// The adapter that they use; empty for none.
        pub adapter: String,
        /// Number of requests.
        pub count: u32,
    }

    /// The answer of a control instance to [`Sync`].
    #[derive(Default)]
    pub struct Synced {
        /// Number of the newest edition; 0 for none.
        pub edition: u64,
        /// Adapter versions that were named after [`Sync::revision`]; if there are too
        /// many for one answer, the oldest of them.
        pub versions: Vec<(String, u32)>,
        /// Number of named versions that the requester has with this answer, counted
        /// within one incarnation of the control instance.
        pub revision: u64,
        /// Number of the newest change of [`Synced::targets`].
        pub update: u64,
        /// Zones that this control instance owns.
        pub zones: Vec<String>,
        /// Targets of those zones that have changed since [`Sync::update`]; `None` if none
        /// has.
        pub targets: Option<Vec<Target>>,
        /// Whether [`Self::targets`] is the full list for those zones rather than a delta.
        pub full: bool,
        /// Targets removed since [`Sync::update`], by id.
        pub removed: Vec<String>,
        /// When the targets in [`Self::targets`] started; sent in
        /// [`crate::list::SyncedStarts`], so that instances of earlier builds can read the message.
        #[serde(skip)]
        pub starts: Vec<TargetStart>,
        /// Requests under way at each target, summed over all other entry instances;
        /// empty in the answer to a [`Sync::brief`] request.
        pub running: Vec<(String, u32)>,
        /// Prompt tokens not yet processed at each target, summed over all other entry
        /// instances.
        pub unread: Vec<(String, u64)>,
        /// Requested adapters that are not being loaded yet, with the expected time until
        /// they can be used.
        pub waits: Vec<(String, Duration)>,
        /// Number of entry instances that this control instance hears from.
        pub entries: u32,
        /// Control instances that are members of the replicated log.
        pub controls: Vec<InstanceName>,
        /// Requests that have to be refused. An empty one is left out, so that instances
        /// of earlier builds can read the message.
        #[serde(default, skip_serializing_if = "Quarantine::is_empty")]
        pub quarantine: Quarantine,
    }

    /// A configuration and the number that its operator gave it.
    #[derive(Default)]
    pub struct Edition {
        /// Its number; the edition with the highest one is in force.
        pub number: u64,
        /// Its text as the operator sent it.
        pub body: String,
    }

    /// One target as its zone owner knows it.
    pub struct Target {
        /// Its id: a new one at each start, unless the target restarts in place.
        pub id: String,
        /// The service that it belongs to.
        pub service: String,
        /// IP and port of its HTTP listener.
        pub addr: String,
        /// Its availability zone.
        pub zone: String,
        /// Number of requests that it processes at the same time.
        pub slots: u32,
        /// Whether it takes new requests.
        pub ready: bool,
        /// Time that it takes for the same work as other targets, in percent of theirs;
        /// 0 if not known.
        pub slowness: u32,
        /// Versions of the weights of its base models, as far as it has reported them.
        pub weights: Vec<Weights>,
        /// Adapters and base models that it has loaded or is loading.
        pub residents: Vec<Resident>,
        /// The limit that it names, or has named. Left out where there is none, so that
        /// instances of earlier builds can read the message.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub limit: Option<TargetLimit>,
    }

    /// When the process of a target started.
    pub struct TargetStart {
        /// The target, by id.
        pub target: String,
        /// Its start as the platform gives it, only compared; another one under the same id is of
        /// another process. 0 if not known.
        pub born: u64,
    }

    /// The weights of a base model at a target. A target loads the newest version at its
    /// start, so targets that started at different times may have different versions.
    #[derive(PartialOrd, Ord)]
    pub struct Weights {
        /// The base model.
        pub model: String,
        /// Their version.
        pub version: u32,
    }

    /// An adapter or base model at a target.
    pub struct Resident {
        /// Name of the adapter, or of the base model.
        pub adapter: String,
        /// Its version; 0 if not known.
        pub version: u32,
        /// Time until it can be used; zero if it can be used now.
        pub ready_in: Duration,
    }
}

/// In place of a target's id, in [`Synced::running`]: it isn't known what runs at the targets.
/// Instances of earlier builds take it for a target that they don't know.
const RUNNING_UNKNOWN: &str = "";

impl Synced {
    /// States that the control instance doesn't know yet what runs at its targets.
    pub fn set_running_unknown(&mut self) {
        self.running = vec![(RUNNING_UNKNOWN.to_owned(), 0)];
        self.unread.clear();
    }

    /// Returns whether [`Self::running`] and [`Self::unread`] say what runs, or the control
    /// instance has just taken these targets, or was cut off, and hasn't heard it yet.
    #[must_use]
    pub fn knows_running(&self) -> bool {
        let unknown = |(id, _): &(String, u32)| id == RUNNING_UNKNOWN;
        !self.running.iter().any(unknown)
    }
}
