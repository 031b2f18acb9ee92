//! Placement.
