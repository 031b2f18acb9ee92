//! Targets that have asked an entry instance for rest.

use std::time::Duration;

use base::{InstanceName, record};

record! {
    /// Entry to zone owner: targets that have asked the sender for rest.
    pub struct RestReport {
        /// The sender.
        pub instance: InstanceName,
        /// The targets.
        pub resting: Vec<RestingTarget>,
    }

    /// A target that wants nothing from the sender of a report.
    pub struct RestingTarget {
        /// The target, by id.
        pub target: String,
        /// For so long, from now on.
        pub left: Duration,
    }
}
