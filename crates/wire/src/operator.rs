//! What operators send to a control instance and get back, as JSON over HTTP.
//!
//! `POST /v1/apply` takes [`Apply`] and answers [`Applied`]; `GET /v1/status`,
//! `GET /v1/history`, `GET /v1/text` and `POST /v1/drain` go with it. Any
//! control instance takes them and passes them on to the leader.

use base::{
    AdapterName, BrandName, ChangeId, Class, InstanceName, PoolName, ServiceName, TargetName,
    TextVersion, Version, ZoneName, record,
};

record! {
    /// A change of the text.
    pub struct Apply {
        /// Recognises a resend.
        pub change: ChangeId,
        /// The version that the operator edited.
        pub base: TextVersion,
        /// Who changes it.
        pub by: String,
        /// The whole new text.
        pub text: String,
    }

    /// The outcome of a change.
    #[serde(tag = "outcome", rename_all = "kebab-case")]
    pub enum Applied {
        /// Synced on a majority, and for good.
        Accepted {
            /// The version that the text became.
            version: TextVersion,
        },
        /// Certainly not accepted.
        Refused {
            /// Why.
            why: Why,
        },
        /// May or may not have been accepted: resend with the same change id.
        Unknown {
            /// When to resend, in milliseconds.
            retry_ms: u64,
        },
    }

    /// Why a change was refused.
    #[serde(tag = "why", rename_all = "kebab-case")]
    pub enum Why {
        /// Another change took the base version first.
        Conflict {
            /// The version now in force.
            version: TextVersion,
            /// The change that won.
            winner: ChangeId,
            /// Who made it.
            by: String,
        },
        /// The change id was used with another text.
        ChangeReused,
        /// The text is wrong; every error.
        BadText {
            /// One message an error.
            errors: Vec<String>,
        },
        /// No majority of the instances with disks can be reached.
        NoQuorum {
            /// When to come back, in milliseconds.
            retry_ms: u64,
        },
        /// The leader's disk is full or failing.
        NoDisk,
    }

    /// One accepted change.
    pub struct Entry {
        /// The version that it made.
        pub version: TextVersion,
        /// Its id.
        pub change: ChangeId,
        /// Who made it.
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
        /// The whole text.
        pub text: String,
    }

    /// The state of the whole system. `GET /v1/status`.
    pub struct Status {
        /// The instance that answers.
        pub instance: InstanceName,
        /// The leader as far as it knows.
        pub leader: Option<InstanceName>,
        /// The version accepted last, as far as it knows.
        pub version: TextVersion,
        /// Instances heard of.
        pub instances: Vec<InstanceStatus>,
        /// Engines and their owners.
        pub engines: Vec<EngineStatus>,
        /// What each brand got at all engines; the leader knows it.
        #[serde(default)]
        pub brands: Vec<BrandStatus>,
    }

    /// What one brand got at the engines of all instances that are heard, since
    /// each of them started.
    pub struct BrandStatus {
        /// Whose.
        pub brand: BrandName,
        /// Tokens of answers.
        pub tokens: u64,
        /// Its part of all tokens, in thousandths.
        pub part: u32,
        /// Requests queued now.
        pub queued: u32,
        /// Requests running now.
        pub running: u32,
        /// Requests refused for load.
        pub refused: u64,
        /// What a request waited before it was sent, on average, in
        /// milliseconds.
        pub wait_ms: u64,
    }

    /// One instance as the leader sees it.
    pub struct InstanceStatus {
        /// Its name.
        pub name: InstanceName,
        /// Its zone.
        pub zone: String,
        /// The version of the text in force there.
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
        /// The fencing number of the owner.
        pub fence: u64,
    }

    /// Asks an instance to stop in order. `POST /v1/drain`.
    pub struct Drain {
        /// Which one.
        pub instance: InstanceName,
    }

    /// Asks an entry instance why requests go where they do. `GET
    /// /v1/explain` on its peer listener, with `brand` and either `service`
    /// or `adapter` in the query.
    pub struct Explain {
        /// Whose service.
        pub brand: BrandName,
        /// Which one.
        pub what: Asked,
    }

    /// What is asked about.
    pub enum Asked {
        /// A service.
        Service(ServiceName),
        /// The first service by name that runs on this adapter.
        Adapter(AdapterName),
    }

    /// Why a service's requests go where they do, as one instance sees it.
    pub struct Explained {
        /// The instance.
        pub instance: InstanceName,
        /// The version of the text that it decides by.
        pub text: TextVersion,
        /// The service.
        pub service: ServiceName,
        /// Its class.
        pub class: Class,
        /// Its pool.
        pub pool: PoolName,
        /// The `adapter@version` that a request without a version gets.
        pub resident: Option<String>,
        /// The version that the text serves; another one is given to requests
        /// while it is loaded for the first time.
        pub serves: Option<Version>,
        /// Where the next request would go.
        pub next: Option<TargetName>,
        /// Why there.
        pub why: Reason,
        /// All targets of the pool; engines by their rank as the adapter's
        /// home.
        pub targets: Vec<Candidate>,
    }

    /// Why a target is chosen.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// It holds the adapter and has room.
        Holds,
        /// No holder has room, or there is none: it is a home of the adapter
        /// and would load it.
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
        /// Whether it holds the adapter.
        pub holds: bool,
        /// Part of its places in use for this class, in hundredths.
        pub load: u32,
        /// Whether it may be chosen.
        pub standing: Standing,
    }

    /// Whether a target may be chosen.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Standing {
        /// It may.
        Usable,
        /// It failed too often, and is left out for a while.
        LeftOut,
        /// The platform says that it is to stop.
        Leaving,
        /// It can't be reached from here.
        Unreachable,
    }
}

impl BrandStatus {
    /// Makes the status of a brand that got nothing.
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
