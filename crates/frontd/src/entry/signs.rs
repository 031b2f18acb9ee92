//! Decides whether a success bears the signs of a target's answer to its request.

use hyper::{
    HeaderMap, StatusCode,
    header::{CONTENT_ENCODING, HeaderName},
};

use super::headers;
use crate::HeaderNames;

/// The sign that a success lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// The target's signature, once.
    Signature,
    /// The id of the request, once.
    Id,
    /// A body that isn't encoded.
    Plain,
}

impl Missing {
    /// Returns the value of the metrics label.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Missing::Signature => "signature",
            Missing::Id => "id",
            Missing::Plain => "encoding",
        }
    }
}

/// Checks the answer to the request `id`. Failures need no sign: a server that refuses a request
/// may not have read it.
///
/// # Errors
///
/// Fails if it is a success without a sign that targets give.
pub(super) fn check(
    status: StatusCode,
    answer: &HeaderMap,
    (names, id): (&HeaderNames, &str),
) -> Result<(), Missing> {
    if !status.is_success() {
        return Ok(());
    }
    let signs = &names.signs;
    let has = |name: &HeaderName| headers::single(answer, name).is_some();
    if signs.signature.as_ref().is_some_and(|name| !has(name)) {
        return Err(Missing::Signature);
    }
    // A request without an id is sent to targets without one.
    if signs.repeats_id && !id.is_empty() && headers::single(answer, &names.request_id) != Some(id)
    {
        return Err(Missing::Id);
    }
    if signs.unencoded && answer.contains_key(CONTENT_ENCODING) {
        return Err(Missing::Plain);
    }
    Ok(())
}
