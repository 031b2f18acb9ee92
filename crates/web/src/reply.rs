//! Answers that the serving layer itself generates, as opposed to those of targets.

use base::{Failure, Refusal, Verdict};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

use crate::body::{self, Body};

/// The body of every failure: `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorInfo,
}

/// The error in the format of the OpenAI API, extended by the verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo {
    /// Human-readable description.
    pub message: String,
    /// The reason of the failure.
    #[serde(rename = "type")]
    pub kind: Refusal,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to retry, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Failure> for ErrorBody {
    fn from(failure: &Failure) -> Self {
        let wait = |d: std::time::Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        ErrorBody {
            error: ErrorInfo {
                message: message(failure),
                kind: failure.reason,
                verdict: failure.verdict,
                retry_after_ms: failure.retry.map(wait),
            },
        }
    }
}

/// Returns an answer with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, "the answer is no JSON");
    };
    let mut resp = Response::new(body::full(bytes));
    *resp.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(CONTENT_TYPE, json);
    resp
}

/// Returns an answer with plain text.
pub fn plain(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut resp = Response::new(body::full(text.into()));
    *resp.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    resp.headers_mut().insert(CONTENT_TYPE, text);
    resp
}

/// Returns the answer for a failed request: status, reason, verdict and time of the
/// retry, in headers and in the body.
pub fn failure(failure: &Failure) -> Response<Body> {
    // All statuses, including the non-standard 499, are valid for `StatusCode`, so the
    // fallback is never used.
    let status = StatusCode::from_u16(failure.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = json(status, &ErrorBody::from(failure));
    let headers = resp.headers_mut();
    let verdict = HeaderValue::from_static(failure.verdict.as_str());
    headers.insert(wire::header::VERDICT, verdict);
    let reason = HeaderValue::from_static(failure.reason.as_str());
    headers.insert(wire::header::REASON, reason);
    if let Some(wait) = failure.retry {
        // The header has whole seconds; they are rounded up, so that nobody retries too
        // early.
        let secs = wait.as_millis().div_ceil(1_000);
        let secs = u64::try_from(secs).unwrap_or(u64::MAX);
        headers.insert(RETRY_AFTER, HeaderValue::from(secs));
    }
    resp
}

fn message(failure: &Failure) -> String {
    let what = match failure.reason {
        Refusal::BadRequest => "the request is malformed",
        Refusal::SlowBody => "the body was sent too slowly",
        Refusal::BadKey => "the key names no brand",
        Refusal::NotFound => "there is no such assistant or service",
        Refusal::TooLarge => "the body is larger than the limit",
        Refusal::KeyReused => "the idempotency key was used with another body",
        Refusal::Duplicate => "the same request was sent before",
        Refusal::Overloaded => "too much work is waiting",
        Refusal::Deadline => "the deadline can't be met",
        Refusal::Unavailable => "no target can take the request now",
        Refusal::NoQuorum => "the request can't be claimed now",
        Refusal::Preempted => "the request gave way to more urgent work",
        Refusal::Moved => "the engine's owner has changed",
        Refusal::TargetFailed => "the target failed",
        Refusal::CallerGone => "the caller left",
        Refusal::Held => "targets crashed each time they ran this request: don't send it again yet",
    };
    let outcome = match failure.verdict {
        Verdict::NotRun => "it did not run",
        Verdict::MayHaveRun => "it may have run",
        Verdict::Ran => "it ran",
    };
    format!("{what}; {outcome}")
}
