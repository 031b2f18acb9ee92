//! Retries that entry instances lend to each other by way of a control instance.

use std::time::Duration;

use base::{InstanceName, record};

record! {
    /// Entry to control: which retries the sender wants and lends.
    pub struct RetryReport {
        /// The sender.
        pub instance: InstanceName,
        /// Number of the request to lend that it answers; 0 if it answers none.
        pub ask: u64,
        /// Retries that it lends, by service.
        pub lent: Vec<(String, u32)>,
        /// Retries that it wants, by service.
        pub wanted: Vec<(String, u32)>,
    }

    /// Answer of a control instance to [`RetryReport`].
    #[derive(Default)]
    pub struct RetryAnswer {
        /// Retries that the receiver may send.
        pub granted: Vec<RetryGrant>,
        /// Number of this request to lend.
        pub ask: u64,
        /// Retries that it is asked to lend, by service.
        pub asked: Vec<(String, u32)>,
    }

    /// Retries that an instance may send besides its own.
    pub struct RetryGrant {
        /// The service.
        pub service: String,
        /// How many.
        pub count: u32,
        /// How long they may be used, from when the receiver had asked.
        pub life: Duration,
    }
}
