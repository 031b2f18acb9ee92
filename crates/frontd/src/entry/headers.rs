//! Headers: what passes through, what ends here, what is set here.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::HeaderNames;

/// Headers that concern one connection only.
fn hop_by_hop(name: &HeaderName) -> bool {
    const OLD: [&str; 2] = ["keep-alive", "proxy-connection"];
    let standard = [
        &CONNECTION,
        &TE,
        &TRAILER,
        &TRANSFER_ENCODING,
        &UPGRADE,
        &PROXY_AUTHENTICATE,
        &PROXY_AUTHORIZATION,
    ];
    standard.contains(&name) || OLD.contains(&name.as_str())
}

/// Returns the headers of a caller's request that go on to a target.
pub(super) fn onward(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut out = passing(headers);
    out.remove(CONTENT_LENGTH);
    for name in &names.reserved {
        out.remove(name);
    }
    out
}

/// Returns the headers of a target's answer that go back to the caller.
pub(super) fn back(headers: &HeaderMap) -> HeaderMap {
    passing(headers)
}

fn passing(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let ends = hop_by_hop(name) || named.iter().any(|n| n == name.as_str());
        if !ends {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Sets a header to a number.
pub(super) fn set_number(headers: &mut HeaderMap, name: &HeaderName, number: u64) {
    headers.insert(name.clone(), HeaderValue::from(number));
}

/// Returns a header as text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
