//! Settings.
