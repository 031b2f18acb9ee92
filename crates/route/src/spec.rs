//! Input and result of choosing a target for a request.

use base::{AdapterKey, BrandNo, Class, TargetNo, Time, Tokens};

base::value! {
    /// A pool's number within one node: dense, starting from zero.
    #[derive(Default)]
    pub struct PoolNo(pub u32);

    /// An availability zone's number within one node.
    #[derive(Default)]
    pub struct ZoneNo(pub u32);

    /// The properties of a request that routing and scheduling depend on.
    pub struct RequestSpec {
        /// The pool whose targets may run the request.
        pub pool: PoolNo,
        /// The adapter version that the request is pinned to; `None` for a plain service,
        /// which has no adapters.
        pub key: Option<AdapterKey>,
        /// The brand that the request is counted for.
        pub brand: BrandNo,
        /// How urgent the request is.
        pub class: Class,
        /// Hash of the beginning of the prompt, to find an engine that has it in its
        /// prefix cache; zero when there is none.
        pub prefix: u64,
        /// Upper limit of the answer's length.
        pub tokens: Tokens,
        /// When the answer must have begun; for batch requests, when it must have ended.
        pub deadline: Time,
    }

    /// The target chosen for a request.
    pub struct Choice {
        /// The target.
        pub target: TargetNo,
        /// Whether the adapter is resident on the target as far as the directory knows;
        /// always true for a plain service.
        pub resident: bool,
    }
}
