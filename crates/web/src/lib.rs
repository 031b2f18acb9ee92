//! HTTP server and client on top of hyper, with the guarantees that the request path
//! needs.
//!
//! [`client`] knows for each failure whether any byte of the request was sent to the
//! target. [`server`] limits the resources that a faulty or hostile caller can take, and
//! [`memory`] what all of them together can.
//! [`body`], [`reply`] and [`sse`] create and read bodies, answers and event streams,
//! [`timeout`] has a timeout that tolerates a busy process, and [`tunnel`] connects to a
//! server through another instance.

pub mod body;
pub mod client;
pub mod memory;
pub mod reply;
pub mod rest;
pub mod server;
pub mod sse;
pub mod timeout;
pub mod tunnel;

pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};

use hyper::header::HeaderValue;

/// Returns `text` as a header value, or an empty value if it contains characters that are
/// not allowed in headers.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
