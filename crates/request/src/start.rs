//! What is known of a request when it arrives.

use base::{AdapterKey, Class, Mark, Time};

/// Attempts of one request, the first included: with three replicas a third
/// one still helps, and more would only feed an overload.
pub const ATTEMPTS_MAX: u32 = 3;

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// How urgent it is.
    pub class: Class,
    /// Whether it may be repeated.
    pub mark: Mark,
    /// When the caller no longer needs the answer.
    pub deadline: Time,
    /// Whether the answer is passed on piece by piece; else it is held back
    /// until it is whole.
    pub stream: bool,
    /// Whether the pool's engines can continue a broken stream.
    pub resumable: bool,
    /// Whether it runs out and is settled when its caller leaves, so that a
    /// resend finds the answer. For marked requests that hold no engine.
    pub outlives: bool,
    /// What it must run on; `None` for a plain service.
    pub adapter: Option<AdapterKey>,
    /// Most attempts, at least one.
    pub attempts: u32,
}

impl Start {
    /// Makes a live, repeatable, streamed request for `adapter`.
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
