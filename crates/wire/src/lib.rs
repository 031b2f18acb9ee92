//! What travels between processes, apart from how it travels.
//!
//! [`call`] holds the calls between our own processes (rmp-serde),
//! [`operator`] what operators send and get (JSON), [`platform`] the
//! platform's list (JSON), [`patch`] the difference of two texts, [`fleet`] what entry instances and the leader tell each other of targets,
//! [`engine`] what engines take and report (JSON), and
//! [`header`] the names of HTTP headers. These types only carry: each is
//! turned into a core crate's own type, with `TryFrom` where it can be wrong.

pub mod call;
pub mod engine;
pub mod fleet;
pub mod header;
pub mod operator;
pub mod patch;
pub mod platform;
