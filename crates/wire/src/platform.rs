//! The platform's list of instances and targets, as it publishes it.
//!
//! The list lags: it may still name what is gone, and not yet what has come.

use base::{InstanceName, PoolName, TargetName, ZoneName, record};

record! {
    /// The whole list. `GET /v1/list`.
    pub struct List {
        /// Counts up with each change of the list.
        pub serial: u64,
        /// Entry instances.
        pub instances: Vec<Instance>,
        /// Engines and plain services' replicas.
        pub targets: Vec<Target>,
    }

    /// An instance of the system.
    pub struct Instance {
        /// Its name.
        pub name: InstanceName,
        /// The availability zone it stands in.
        pub zone: ZoneName,
        /// IP and port of its peer listener.
        pub peer: String,
        /// Whether it is to stop soon.
        pub state: State,
    }

    /// A back end.
    pub struct Target {
        /// Its name.
        pub name: TargetName,
        /// The pool it belongs to, as the operators' text names it.
        pub pool: PoolName,
        /// The availability zone it stands in.
        pub zone: ZoneName,
        /// IP and port of its HTTP listener.
        pub address: String,
        /// Whether it is to stop soon.
        pub state: State,
    }
}

base::value! {
    /// What the platform says of one entry.
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// Up and staying.
        Live,
        /// To stop soon: no new work.
        Leaving,
    }
}
