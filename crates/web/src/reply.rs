//! Answers that the system itself makes.

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
    /// What went wrong.
    pub error: ErrorInfo,
}

/// What went wrong, in the OpenAI-style shape and with the verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo {
    /// A sentence for a person.
    pub message: String,
    /// The reason's short name.
    #[serde(rename = "type")]
    pub kind: Refusal,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, in milliseconds from now.
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

/// Answers with `value` as JSON.
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

/// Answers with plain text.
pub fn plain(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut resp = Response::new(body::full(text.into()));
    *resp.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    resp.headers_mut().insert(CONTENT_TYPE, text);
    resp
}

/// Answers with a failure: status, verdict and when to come back, in headers
/// and in the body.
pub fn failure(failure: &Failure) -> Response<Body> {
    // 499 lies in the range that StatusCode takes; the fallback never shows.
    let status = StatusCode::from_u16(failure.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = json(status, &ErrorBody::from(failure));
    let headers = resp.headers_mut();
    let verdict = HeaderValue::from_static(failure.verdict.as_str());
    headers.insert(wire::header::VERDICT, verdict);
    let reason = HeaderValue::from_static(failure.reason.as_str());
    headers.insert(wire::header::REASON, reason);
    if let Some(wait) = failure.retry {
        // The header counts whole seconds: rounded up, so that nobody comes
        // back early.
        let secs = wait.as_millis().div_ceil(1_000);
        let secs = u64::try_from(secs).unwrap_or(u64::MAX);
        headers.insert(RETRY_AFTER, HeaderValue::from(secs));
    }
    resp
}

fn message(failure: &Failure) -> String {
    let what = match failure.reason {
        Refusal::BadRequest => "the request is malformed or was sent too slowly",
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
    };
    let fate = match failure.verdict {
        Verdict::NotRun => "it did not run",
        Verdict::MayHaveRun => "it may have run",
        Verdict::Ran => "it ran",
    };
    format!("{what}; {fate}")
}
