//! The part of the log that is in memory.
