//! One node of the system as one plain value.
//!
//! [`Node`] joins the deciding services of an entry instance behind the
//! micro-kernel: the text in force, the platform's list, heartbeats, owned
//! engines, and requests from arrival to final answer. Whoever embeds it
//! brings clock, sockets and threads.

mod config;
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
        Arrival, Attempt, Ending, Event, Flow, Hop, IdempotencyKey, Input, Order, OrderEnd, Output,
        Progress, Route,
    },
    names::Names,
    node::Node,
    shared::Settings,
};
