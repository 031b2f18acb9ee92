//! HTTP.
