//! The decisions of one entry instance as a deterministic state machine
//! without I/O.
//!
//! [`Node`] combines the services of an entry instance, which exchange
//! messages through the [`kernel`]: the text in force, the platform's list of
//! targets and instances, heartbeats, owned engines, and requests from arrival
//! to final answer. The embedding program provides clock, sockets and threads.

mod config;
mod crashes;
mod engines;
mod entry;
mod fleet;
mod heartbeat;
mod io;
mod msg;
mod names;
mod node;
mod services;
mod shared;

pub use crate::{
    io::{
        AnswerEnd, Arrival, Attempt, Ending, Event, Flow, Hop, IdempotencyKey, Input, Order,
        OrderEnd, Output, Progress, Route, Word,
    },
    names::Names,
    node::Node,
    shared::Settings,
};
