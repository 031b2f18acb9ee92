//! Owner.
