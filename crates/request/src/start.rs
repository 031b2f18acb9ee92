//! The properties of a request at its arrival.

use base::{AdapterKey, Class, Mark, Time};

/// Most attempts of one request, the first included: with three replicas a third attempt
/// still helps, and more would only add to an overload.
pub const ATTEMPTS_MAX: u32 = 3;

/// A request at its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// How urgent the request is.
    pub class: Class,
    /// Whether the request may run more than once. A request that may run at most once is
    /// called marked; the mark comes with an idempotency key, by which the request is
    /// claimed before it is sent.
    pub mark: Mark,
    /// When the caller stops waiting for the answer.
    pub deadline: Time,
    /// Whether the answer is passed on piece by piece; otherwise it is held back until it
    /// is complete.
    pub stream: bool,
    /// Whether the pool's engines can resume an interrupted stream.
    pub resumable: bool,
    /// Whether the request continues to its end when its caller leaves, and its claim is
    /// settled, so that a resend finds the answer. Set for marked requests that use no
    /// engine.
    pub outlives: bool,
    /// The adapter version that the answer must come from; `None` for a plain service.
    pub adapter: Option<AdapterKey>,
    /// Most attempts, at least one.
    pub attempts: u32,
}

impl Start {
    /// Creates a live, repeatable, streamed request for `adapter`.
    #[must_use]
    pub fn live(adapter: Option<AdapterKey>, deadline: Time) -> Self {
        Start {
            class: Class::Live,
            mark: Mark::Repeatable,
            deadline,
            stream: true,
            resumable: false,
            outlives: false,
            adapter,
            attempts: ATTEMPTS_MAX,
        }
    }
}
