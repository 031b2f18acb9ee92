//! What zone owners use of the weight store, exchanged so that all together keep to what it
//! serves at full speed.
//!
//! The call is of its own, is made only where goals are tight, and goes over connections of its
//! own, so that an instance of an earlier build, which can't read it, loses nothing else.

use base::{InstanceName, record};

record! {
    /// What one zone owner uses and needs of the weight store.
    pub struct StoreUse {
        /// The zone owner.
        pub instance: InstanceName,
        /// The zones that it owns.
        pub zones: Vec<String>,
        /// Adapters that it has on their way.
        pub loading: u32,
        /// Adapters that its callers wait for and whose load waits for the store.
        pub waiting: u32,
        /// Loads that it means to have on their way until it says otherwise.
        pub claim: u32,
        /// Loads over all zones that the store serves at full speed, as it has learned.
        pub window: u32,
    }
}
