//! Request.
