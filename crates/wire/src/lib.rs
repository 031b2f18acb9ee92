//! Wire.
