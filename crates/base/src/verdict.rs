//! Failures of requests, each with the verdict whether the request may have run.
//!
//! A caller needs the verdict to decide whether it can safely send a request again that
//! must not run twice, such as the submission of an application.

use std::{fmt, str::FromStr, time::Duration};

use thiserror::Error;

/// A string is not the name of a verdict.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a verdict; expected not-run, may-have-run or ran")]
pub struct BadVerdict(String);

crate::value! {
    /// Whether a request ran at its target.
    ///
    /// Verdicts are ordered by how certain it is that the request ran, so that the `max`
    /// of the verdicts of two attempts is the verdict of both together.
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// It certainly did not run: nothing was sent to the target, or the target refused
        /// the request without starting it.
        NotRun,
        /// It may have run: its outcome is unknown.
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
    /// Why a request failed. Each reason has one HTTP status; see [`Refusal::status`].
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The request itself is malformed.
        BadRequest,
        /// The body was sent too slowly.
        SlowBody,
        /// The caller's key belongs to no brand.
        BadKey,
        /// The brand has no such assistant or service.
        NotFound,
        /// The body is larger than the limit.
        TooLarge,
        /// The same idempotency key was used with another body.
        KeyReused,
        /// The same marked request is under way or was answered before; the verdict tells
        /// which.
        Duplicate,
        /// The brand or class has exceeded its share of the capacity.
        Overloaded,
        /// The deadline can't be met, or has passed.
        Deadline,
        /// No target can take the request now.
        Unavailable,
        /// A marked request could not be claimed, since the control instances that record
        /// claims can't be reached.
        NoQuorum,
        /// The request was preempted by more urgent work and should be sent again.
        Preempted,
        /// The engine's owner has just changed; the request should be sent to the new one.
        Moved,
        /// The target's answer was truncated or invalid.
        TargetFailed,
        /// The caller left.
        CallerGone,
        /// Targets crashed each time they ran a request of this content.
        Held,
    }
}

impl Refusal {
    /// Returns the reason as written in headers, bodies and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad-request",
            Refusal::SlowBody => "slow-body",
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
            Refusal::Held => "held",
        }
    }

    /// Returns the HTTP status that callers see.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Refusal::BadRequest => 400,
            Refusal::SlowBody => 408,
            Refusal::BadKey => 401,
            Refusal::NotFound => 404,
            Refusal::TooLarge => 413,
            Refusal::Duplicate => 409,
            Refusal::KeyReused => 422,
            Refusal::Overloaded => 429,
            Refusal::TargetFailed => 502,
            Refusal::Unavailable
            | Refusal::NoQuorum
            | Refusal::Preempted
            | Refusal::Moved
            | Refusal::Held => 503,
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
    /// The final answer to a request that failed and is not retried any more.
    pub struct Failure {
        /// Why it failed.
        pub reason: Refusal,
        /// Whether it may have run.
        pub verdict: Verdict,
        /// Time after which the caller may retry, counted from the answer.
        pub retry: Option<Duration>,
    }
}

impl Failure {
    /// Returns the failure of a request that certainly did not run, without a time for a
    /// retry.
    #[must_use]
    pub fn not_run(reason: Refusal) -> Self {
        Failure {
            reason,
            verdict: Verdict::NotRun,
            retry: None,
        }
    }

    /// Sets the time after which the caller may retry.
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
