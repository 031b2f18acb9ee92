//! For how long a server that has turned a request away wants nothing from its sender.

use std::time::{Duration, SystemTime};

use hyper::{
    HeaderMap, StatusCode,
    header::{DATE, RETRY_AFTER},
};

/// Returns the longest time for which an answer with `status` asks its sender to stay away, if
/// it does: as a number of seconds, with or without a fraction, or as a date (RFC 9110, section
/// 10.2.3), which is compared with the date of the answer. Values that can't be read ask for
/// nothing.
///
/// Only 503 speaks for the server as a whole: 429 counts the requests of an account, 421 may
/// come from another server at the same address, and other failures have run.
#[must_use]
pub fn asked_rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let said = headers.get_all(RETRY_AFTER).iter();
    let said = said.filter_map(|value| value.to_str().ok());
    said.filter_map(|raw| seconds(raw).or_else(|| until_date(raw, headers)))
        .max()
}

fn seconds(raw: &str) -> Option<Duration> {
    let seconds: f64 = raw.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 || raw.contains(['i', 'I']) {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn until_date(raw: &str, headers: &HeaderMap) -> Option<Duration> {
    let until = date(raw)?;
    let now = headers.get(DATE)?.to_str().ok().and_then(date)?;
    Some(until.duration_since(now).unwrap_or_default())
}

fn date(raw: &str) -> Option<SystemTime> {
    httpdate::parse_http_date(raw.trim()).ok()
}
