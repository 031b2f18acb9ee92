//! One node driven by hand: every call, report and attempt passes through the
//! test, which may answer, hold or lose it.

mod guards;
mod requests;
mod world;
