//! The two kinds of processes of a deployment that forwards by host and path: an entry
//! instance, which callers connect to, and a control instance, which keeps the replicated
//! log and gives orders to engines.
//!
//! This crate is the I/O shell: it owns clock, sockets and data folder. Decisions are
//! made by the state machines of `gateway` and `control`, which do no I/O. How the
//! hosting platform names things is passed in as [`HeaderNames`] and [`Platform`].

mod control;
mod entry;
mod limit_log;
mod metrics;
mod names;
mod platform;

pub use crate::{
    control::{CallOutcome, Operators, Setup as ControlSetup, serve as serve_control},
    entry::{Setup as EntrySetup, serve as serve_entry},
    metrics::serve as serve_metrics,
    names::{instance_address, instance_name},
    platform::{
        AnswerSigns, Decode, Decoded, HeaderNames, ListTargets, MapAddress, Platform, ReadReport,
        ReadSeeds, SendOrder,
    },
};
