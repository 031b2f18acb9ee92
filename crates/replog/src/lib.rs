//! Replicated log.
