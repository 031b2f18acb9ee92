//! HTTP on both sides, by hyper, with what the request path adds to it.
//!
//! [`client`] knows for each failure whether a byte of the request left for the
//! target; [`server`] bounds what a careless or hostile caller can cost;
//! [`body`], [`reply`] and [`sse`] make and read what travels.

pub mod body;
pub mod client;
pub mod patience;
pub mod reply;
pub mod server;
pub mod sse;

pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};

use hyper::header::HeaderValue;

/// Makes a header's value; what can't stand in a header becomes empty.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
