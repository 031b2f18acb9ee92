//! What operators send to a control instance and get back, as JSON over HTTP.
//!
//! `POST /v1/apply` takes [`Apply`] and answers [`Applied`]; `GET /v1/status`,
//! `GET /v1/history`, `GET /v1/text` and `POST /v1/drain` go with it. Any
//! control instance takes them and passes them on to the leader.

use base::{ChangeId, InstanceName, TargetName, TextVersion, record};

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
}
