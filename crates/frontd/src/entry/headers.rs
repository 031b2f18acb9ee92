//! Which headers are forwarded and which are dropped, and access to single headers.

use base::Fingerprint;
use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::HeaderNames;

/// Most parts of one prompt that are told apart: a header of 16 KiB has room for no more pairs of an
/// id and a number.
const MAX_PARTS: usize = 4_096;

/// Returns whether a header concerns one connection only (RFC 9110, section 7.6.1).
fn hop_by_hop(name: &HeaderName) -> bool {
    const NON_STANDARD: [&str; 2] = ["keep-alive", "proxy-connection"];
    let standard = [
        &CONNECTION,
        &TE,
        &TRAILER,
        &TRANSFER_ENCODING,
        &UPGRADE,
        &PROXY_AUTHENTICATE,
        &PROXY_AUTHORIZATION,
    ];
    standard.contains(&name) || NON_STANDARD.contains(&name.as_str())
}

/// Returns the headers of a caller's request that are forwarded to a target.
pub(super) fn to_target(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut out = end_to_end(headers);
    out.remove(CONTENT_LENGTH);
    for name in &names.reserved {
        out.remove(name);
    }
    out
}

/// Returns the headers of a target's answer that are forwarded to the caller.
pub(super) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = hop_by_hop(name) || named.iter().any(|n| n == name.as_str());
        if !dropped {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Sets a header to a number.
pub(super) fn set_number(headers: &mut HeaderMap, name: &HeaderName, number: u64) {
    headers.insert(name.clone(), HeaderValue::from(number));
}

/// Returns a header that occurs once as text, or `None` where it is absent, occurs several
/// times or isn't ASCII.
pub(super) fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let (first, second) = (all.next()?, all.next());
    let text = first.to_str().ok().filter(|text| !text.is_empty());
    text.filter(|_| second.is_none())
}

/// Returns the fingerprints of the parts of a prompt that other requests may share: all but the
/// last one, in any order. Several lines of the header are one list (RFC 9110, section 5.3).
///
/// Failure: a part that crashes targets stands behind many others, or on the second line of the
/// header. A part that isn't looked at is never suspected.
pub(super) fn shared_parts(headers: &HeaderMap, name: &HeaderName) -> Vec<Fingerprint> {
    let lines = headers.get_all(name).iter();
    let all = lines.flat_map(|line| line.as_bytes().split(|b| *b == b','));
    let mut ids: Vec<_> = all.map(part_id).collect();
    ids.pop();
    ids.retain(|id| !id.is_empty());
    ids.sort_unstable();
    ids.dedup();
    ids.truncate(MAX_PARTS);
    ids.iter().map(|id| Fingerprint::of_part(&[id])).collect()
}

/// Returns the id of a part that is written as ID:TOKENS.
fn part_id(part: &[u8]) -> Vec<u8> {
    let id = part.split(|b| *b == b':').next().unwrap_or_default();
    id.trim_ascii().to_ascii_lowercase()
}

/// Returns a header as text, or `None` where it is absent or isn't ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
