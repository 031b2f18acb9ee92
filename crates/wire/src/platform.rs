//! The list of instances and targets that the platform publishes.
//!
//! The list lags behind: it may still contain entries that have stopped, and lack
//! entries that have just started.

use base::{InstanceName, PoolName, SoftwareVersion, TargetName, ZoneName, record};

record! {
    /// The full list. `GET /v1/list`.
    pub struct List {
        /// Incremented with each change of the list.
        pub serial: u64,
        /// Entry instances.
        pub instances: Vec<Instance>,
        /// Engines and replicas of plain services (those that serve no adapters).
        pub targets: Vec<Target>,
    }

    /// An entry instance.
    pub struct Instance {
        /// Its name.
        pub name: InstanceName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// IP and port of its peer listener.
        pub peer: String,
        /// Whether it is about to stop.
        pub state: State,
    }

    /// A back end: an engine or a replica of a plain service.
    pub struct Target {
        /// Its name.
        pub name: TargetName,
        /// The pool it belongs to, by its name in the configuration text.
        pub pool: PoolName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// IP and port of its HTTP listener.
        pub address: String,
        /// Whether it is about to stop.
        pub state: State,
        /// The version of its software. Without one, no stream that broke elsewhere goes on
        /// there, and none that broke there goes on elsewhere.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub software: Option<SoftwareVersion>,
    }
}

base::value! {
    /// Lifecycle state of a listed instance or target.
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// In service.
        Live,
        /// About to stop; takes no new work.
        Leaving,
    }
}
