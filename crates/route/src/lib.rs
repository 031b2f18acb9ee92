//! Routing.
