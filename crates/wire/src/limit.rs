//! Limits that targets name: what entry instances report of them to the zone owner, and
//! the permits for requests that it grants.

use std::time::Duration;

use base::{AccountName, InstanceName, RequestRate, record};

record! {
    /// Entry to zone owner: the limits that answers of targets named, and the request for
    /// a permit.
    pub struct LimitReport {
        /// The sender.
        pub instance: InstanceName,
        /// What answers said, where it has changed.
        pub seen: Vec<SeenLimit>,
        /// Requests that the sender had sent to targets within the window of a limit, when
        /// it first heard of that.
        pub before: Vec<(String, u32)>,
        /// The permit that it asks for, if any.
        pub want: Option<PermitRequest>,
    }

    /// The limit that an answer of a target named.
    pub struct SeenLimit {
        /// The target, by id.
        pub target: String,
        /// The limit; `None` if the answer named none.
        pub limit: Option<RequestRate>,
        /// Time since the answer.
        pub ago: Duration,
    }

    /// A request to a limited target that waits for its permit.
    pub struct PermitRequest {
        /// The target, by id.
        pub target: String,
        /// The account that the request counts for, if callers have accounts.
        pub account: Option<AccountName>,
        /// Rank of the request; 0 goes first.
        pub priority: u8,
    }

    /// The answer to a [`PermitRequest`].
    #[derive(Copy)]
    pub enum Permit {
        /// The requester may send so many requests to the target.
        Granted(u32),
        /// The limit is used up.
        Denied {
            /// Time after which asking again is worthwhile.
            again: Duration,
        },
        /// The target names no limit.
        Unlimited,
        /// The callee doesn't own the target's zone.
        NotOwner,
    }

    /// What the zone owner knows of the limit of a target.
    #[derive(Copy)]
    pub struct TargetLimit {
        /// The limit that holds; `None` if the target no longer names one.
        pub rate: Option<RequestRate>,
    }
}
