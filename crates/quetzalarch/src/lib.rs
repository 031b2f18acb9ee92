//! Library.
