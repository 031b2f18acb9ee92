//! What a request asks of routing, and what routing answers.

use base::{AdapterKey, BrandNo, Class, TargetNo, Time, Tokens};

base::value! {
    /// A pool's number within one node; numbered from zero without holes.
    #[derive(Default)]
    pub struct PoolNo(pub u32);

    /// An availability zone's number within one node.
    #[derive(Default)]
    pub struct ZoneNo(pub u32);

    /// What one request needs, by numbers.
    pub struct Ask {
        /// Targets among which it may run.
        pub pool: PoolNo,
        /// The adapter version it is meant for; none for a plain service.
        pub key: Option<AdapterKey>,
        /// Whose request it is.
        pub brand: BrandNo,
        /// How urgent it is.
        pub class: Class,
        /// Hash of the head of its prompt; zero when there is none.
        pub prefix: u64,
        /// Most tokens of its answer.
        pub tokens: Tokens,
        /// When its answer must have begun; for batch work, have ended.
        pub deadline: Time,
    }

    /// Where a request is to run.
    pub struct Choice {
        /// The target.
        pub target: TargetNo,
        /// Whether it holds the adapter as far as the directory knows; always
        /// true for a plain service.
        pub resident: bool,
    }
}
