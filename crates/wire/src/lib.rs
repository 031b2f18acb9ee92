//! Messages between processes, independent of the transport.
//!
//! - [`account`]: use of client accounts (MessagePack)
//! - [`admission`]: work offered and ended, and the room of services (MessagePack)
//! - [`call`]: calls between the instances of the serving layer (MessagePack)
//! - [`fleet`]: exchange about targets between entry and control instances (MessagePack)
//! - [`list`]: ages of lists of targets, and the list of a zone (MessagePack)
//! - [`operator`]: requests of operators and their answers (JSON)
//! - [`platform`]: the platform's list of instances and targets (JSON)
//! - [`explain`]: where a request would go, for operators (JSON)
//! - [`engine`]: orders to engines and their reports (JSON)
//! - [`patch`]: patches between versions of the configuration text
//! - [`quarantine`]: requests that crash targets (MessagePack)
//! - [`retry`]: retries that entry instances lend to each other (MessagePack)
//! - [`header`]: names of HTTP headers
//! - [`helper`]: entry instances that reach targets for others (MessagePack)
//!
//! These are plain data types without logic. The other crates convert them into types
//! of their own, with `TryFrom` where a value can be invalid.

pub mod account;
pub mod admission;
pub mod call;
pub mod engine;
pub mod explain;
pub mod fleet;
pub mod header;
pub mod helper;
pub mod limit;
pub mod list;
pub mod operator;
pub mod patch;
pub mod platform;
pub mod quarantine;
pub mod rest;
pub mod retry;
pub mod stream;
