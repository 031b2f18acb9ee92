//! Shells of a deployment that forwards by host and path: an entry instance
//! that callers connect to, and a control instance that keeps the log and gives
//! orders to engines.
//!
//! They own clock, sockets and data folder. What is decided is decided by
//! `gateway` and `control`; how an outside system names things is handed in as
//! a [`Dialect`] and an [`Outside`].

mod control;
mod entry;
mod metrics;
mod names;
mod platform;

pub use crate::{
    control::{CallOutcome, Operators, Setup as ControlSetup, serve as serve_control},
    entry::{Setup as EntrySetup, serve as serve_entry},
    metrics::serve as serve_metrics,
    names::{instance_address, instance_name},
    platform::{
        Decode, Decoded, HeaderNames, ListTargets, Platform, ReadReport, ReadSeeds, SendOrder,
    },
};
