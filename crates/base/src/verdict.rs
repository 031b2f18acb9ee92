//! Whether a failed request may have run: the one question that a caller with
//! an application to hand in needs answered.

use std::{fmt, str::FromStr, time::Duration};

use thiserror::Error;

/// Says that a text names no verdict.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no verdict: not-run, may-have-run or ran")]
pub struct BadVerdict(String);

crate::value! {
    /// Whether a request ran at its target.
    ///
    /// The order is by certainty of execution, so that `max` of two attempts'
    /// verdicts is the verdict of both together.
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// It certainly did not run: nothing left for the target, or the
        /// target itself refused before starting.
        NotRun,
        /// It may have run; nobody can tell.
        MayHaveRun,
        /// It certainly ran.
        Ran,
    }
}

impl Verdict {
    /// All verdicts.
    pub const ALL: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];

    /// Returns the verdict as written in headers and bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = BadVerdict;

    fn from_str(raw: &str) -> Result<Self, BadVerdict> {
        let found = Verdict::ALL.into_iter().find(|v| v.as_str() == raw);
        found.ok_or_else(|| BadVerdict(raw.to_owned()))
    }
}

crate::value! {
    /// Why a request failed; each maps to one HTTP status at the boundary.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The request itself is malformed.
        BadRequest,
        /// The key names no brand.
        BadKey,
        /// The brand has no such assistant or service.
        NotFound,
        /// The body is larger than the limit.
        TooLarge,
        /// The same idempotency key came with another body.
        KeyReused,
        /// The same marked request is under way, or was answered before; the
        /// verdict says which.
        Duplicate,
        /// The brand or class is over its share.
        Overloaded,
        /// The deadline can't be met, or has passed.
        Deadline,
        /// No target can take it now.
        Unavailable,
        /// What is needed to claim a marked request can't be reached.
        NoQuorum,
        /// It gave way to more urgent work and is to be sent again.
        Preempted,
        /// The engine's owner has just changed; it is to be sent to the new one.
        Moved,
        /// The target broke off or answered wrongly.
        TargetFailed,
        /// The caller left.
        CallerGone,
    }
}

impl Refusal {
    /// Returns the reason as written in headers, bodies and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad-request",
            Refusal::BadKey => "bad-key",
            Refusal::NotFound => "not-found",
            Refusal::TooLarge => "too-large",
            Refusal::KeyReused => "key-reused",
            Refusal::Duplicate => "duplicate",
            Refusal::Overloaded => "overloaded",
            Refusal::Deadline => "deadline",
            Refusal::Unavailable => "unavailable",
            Refusal::NoQuorum => "no-quorum",
            Refusal::Preempted => "preempted",
            Refusal::Moved => "moved",
            Refusal::TargetFailed => "target-failed",
            Refusal::CallerGone => "caller-gone",
        }
    }

    /// Returns the HTTP status that callers see.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Refusal::BadRequest => 400,
            Refusal::BadKey => 401,
            Refusal::NotFound => 404,
            Refusal::TooLarge => 413,
            Refusal::Duplicate => 409,
            Refusal::KeyReused => 422,
            Refusal::Overloaded => 429,
            Refusal::TargetFailed => 502,
            Refusal::Unavailable | Refusal::NoQuorum | Refusal::Preempted | Refusal::Moved => 503,
            Refusal::Deadline => 504,
            Refusal::CallerGone => 499,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

crate::record! {
    /// The final answer of a request that the system has given up on.
    pub struct Failure {
        /// Why it failed.
        pub reason: Refusal,
        /// Whether it may have run.
        pub verdict: Verdict,
        /// When the caller may come back, counted from the answer.
        pub retry: Option<Duration>,
    }
}

impl Failure {
    /// Makes a failure that certainly did not run, with no hint to come back.
    #[must_use]
    pub fn not_run(reason: Refusal) -> Self {
        Failure {
            reason,
            verdict: Verdict::NotRun,
            retry: None,
        }
    }

    /// Sets when the caller may come back.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Failure {
            retry: Some(wait),
            ..self
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}
