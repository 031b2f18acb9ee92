//! Text.
