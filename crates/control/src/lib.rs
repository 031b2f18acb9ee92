//! Control.
