//! Which entry instances can reach targets for others that are cut off from all of them.

use base::{InstanceName, record};

record! {
    /// A regular report of an entry instance to all control instances.
    pub struct EntryReport {
        /// The entry instance.
        pub instance: InstanceName,
        /// Its availability zone.
        pub zone: String,
        /// Whether it can reach targets for others.
        pub helps: bool,
    }

    /// An entry instance that can reach targets for others.
    pub struct Helper {
        /// Its name.
        pub instance: InstanceName,
        /// Its availability zone.
        pub zone: String,
    }
}
