//! Requests of operators to control instances and their answers, as JSON over HTTP.
//!
//! `POST /v1/apply` takes [`Apply`] and answers [`Applied`]. The other paths are
//! `GET /v1/status`, `GET /v1/history`, `GET /v1/text` and `POST /v1/drain`. Operators
//! may send them to any control instance, which forwards them to the leader.
//!
//! "The text" is the operators' configuration text, which is replaced as a unit and
//! numbered by versions.

use base::{
    AdapterName, BrandName, ChangeId, Class, InstanceName, PoolName, ServiceName, TargetName,
    TextVersion, Version, ZoneName, record,
};

record! {
    /// A change of the text.
    pub struct Apply {
        /// Id by which a retry of the same change is recognised.
        pub change: ChangeId,
        /// The version that the operator edited.
        pub base: TextVersion,
        /// The operator who makes the change.
        pub by: String,
        /// The full new text.
        pub text: String,
    }

    /// The outcome of a change.
    #[serde(tag = "outcome", rename_all = "kebab-case")]
    pub enum Applied {
        /// Synced to disk at a majority of the voters, so it can't be lost any more.
        Accepted {
            /// The version of the new text.
            version: TextVersion,
        },
        /// Certainly not accepted.
        Refused {
            /// The reason.
            why: Why,
        },
        /// Unknown outcome: retry with the same change id.
        Unknown {
            /// When to retry, in milliseconds from now.
            retry_ms: u64,
        },
    }

    /// Why a change was refused.
    #[serde(tag = "why", rename_all = "kebab-case")]
    pub enum Why {
        /// Another change of the same base version was accepted first.
        Conflict {
            /// The version now in force.
            version: TextVersion,
            /// The change that was accepted.
            winner: ChangeId,
            /// The operator who made it.
            by: String,
        },
        /// The change id was used with another text.
        ChangeReused,
        /// The text is invalid.
        BadText {
            /// All errors found, one message for each.
            errors: Vec<String>,
        },
        /// No majority of the control instances (those with disks) can be reached.
        NoQuorum {
            /// When to retry, in milliseconds from now.
            retry_ms: u64,
        },
        /// The leader's disk is full or failing.
        NoDisk,
    }

    /// One accepted change.
    pub struct Entry {
        /// The version of the text that it led to.
        pub version: TextVersion,
        /// Its id.
        pub change: ChangeId,
        /// The operator who made it.
        pub by: String,
        /// Lines added.
        pub added: u32,
        /// Lines removed.
        pub removed: u32,
    }

    /// The text in force. `GET /v1/text`.
    pub struct Current {
        /// Its version.
        pub version: TextVersion,
        /// The full text.
        pub text: String,
    }

    /// The state of the whole deployment. `GET /v1/status`.
    pub struct Status {
        /// The control instance that answers.
        pub instance: InstanceName,
        /// The leader, if the answering instance knows one.
        pub leader: Option<InstanceName>,
        /// The newest accepted version that the answering instance knows.
        pub version: TextVersion,
        /// Entry instances that sent heartbeats.
        pub instances: Vec<InstanceStatus>,
        /// Engines and their owners.
        pub engines: Vec<EngineStatus>,
        /// Usage of all engines by brand; only the leader knows it.
        #[serde(default)]
        pub brands: Vec<BrandStatus>,
    }

    /// Usage of the engines by one brand, summed over all entry instances that send
    /// heartbeats, since the start of each of them.
    pub struct BrandStatus {
        /// The brand.
        pub brand: BrandName,
        /// Tokens generated in answers.
        pub tokens: u64,
        /// Its share of all tokens, in thousandths.
        pub part: u32,
        /// Requests queued now.
        pub queued: u32,
        /// Requests running now.
        pub running: u32,
        /// Requests refused because of overload.
        pub refused: u64,
        /// Average time that a request waited before it was sent to an engine, in
        /// milliseconds.
        pub wait_ms: u64,
    }

    /// One instance as the leader sees it.
    pub struct InstanceStatus {
        /// Its name.
        pub name: InstanceName,
        /// Its zone.
        pub zone: String,
        /// The version of the text in force at the instance.
        pub version: TextVersion,
        /// Milliseconds since its last heartbeat.
        pub silent_ms: u64,
        /// Whether it is stopping.
        pub leaving: bool,
    }

    /// One engine as the leader sees it.
    pub struct EngineStatus {
        /// Its name.
        pub target: TargetName,
        /// Its owner.
        pub owner: Option<InstanceName>,
        /// The owner's fencing number.
        pub fence: u64,
    }

    /// Asks an instance to finish running requests and stop. `POST /v1/drain`.
    pub struct Drain {
        /// The instance to stop.
        pub instance: InstanceName,
    }

    /// Asks an entry instance to explain how it routes requests. `GET /v1/explain` on
    /// its peer listener, with `brand` and either `service` or `adapter` in the query.
    pub struct Explain {
        /// The brand whose service it is.
        pub brand: BrandName,
        /// The service.
        pub what: Asked,
    }

    /// The service that an [`Explain`] asks about.
    pub enum Asked {
        /// The service of this name.
        Service(ServiceName),
        /// The first service, in the order of names, that uses this adapter.
        Adapter(AdapterName),
    }

    /// How one entry instance routes a service's requests, and why.
    pub struct Explained {
        /// The entry instance.
        pub instance: InstanceName,
        /// The version of the text that its decisions follow.
        pub text: TextVersion,
        /// The service.
        pub service: ServiceName,
        /// Its class.
        pub class: Class,
        /// Its pool.
        pub pool: PoolName,
        /// The `adapter@version` that a request without a version is served with.
        pub resident: Option<String>,
        /// The adapter version that the text asks for. Requests are served with another
        /// version while this one is loaded for the first time.
        pub serves: Option<Version>,
        /// The target that the next request would be sent to.
        pub next: Option<TargetName>,
        /// Why that target is chosen.
        pub why: Reason,
        /// All targets of the pool; engines in the order of the adapter's rendezvous
        /// hash, so its homes (the engines where it is preferably loaded) come first.
        pub targets: Vec<Candidate>,
    }

    /// Why a target is chosen.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// It has the adapter loaded and has free capacity.
        Holds,
        /// No target that has the adapter loaded has free capacity; this one is a home of
        /// the adapter and would load it.
        Home,
        /// It is the least loaded target of a plain service.
        LeastLoaded,
        /// No target can take a request.
        Nobody,
    }

    /// One target of a pool, as the instance sees it.
    pub struct Candidate {
        /// Its name.
        pub target: TargetName,
        /// Its zone.
        pub zone: ZoneName,
        /// The instance that owns it, for an engine.
        pub owner: Option<InstanceName>,
        /// Whether it has the adapter loaded.
        pub holds: bool,
        /// Share of its request slots for this class that are in use, in percent.
        pub load: u32,
        /// Whether it may be chosen.
        pub standing: Standing,
    }

    /// Whether a target may be chosen.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Standing {
        /// It may be chosen.
        Usable,
        /// It failed too often and is excluded for some time.
        LeftOut,
        /// The platform's list says that it is about to stop.
        Leaving,
        /// It can't be reached from this instance.
        Unreachable,
        /// It has asked this instance for rest, or has just rested.
        Resting,
    }
}

impl BrandStatus {
    /// Creates the status of a brand that has used nothing yet.
    #[must_use]
    pub fn none(brand: &BrandName) -> Self {
        BrandStatus {
            brand: brand.clone(),
            tokens: 0,
            part: 0,
            queued: 0,
            running: 0,
            refused: 0,
            wait_ms: 0,
        }
    }
}
