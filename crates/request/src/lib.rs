//! One request from its arrival to its one final answer.
//!
//! A [`Request`] is a state machine without I/O. It decides whether the request must be
//! claimed before it is sent, when an attempt may be retried, which parts of an answer
//! are passed on, how an interrupted stream is resumed, and how the request ends. It has
//! no clock and holds no bodies: its driver hands in what happened and carries out the
//! outputs in order.

mod machine;
mod message;
mod start;

pub use crate::{
    machine::Request,
    message::{AttemptNo, ClaimOutcome, ClaimReply, Fault, Final, Input, Output, Part, RanOn},
    start::{ATTEMPTS_MAX, Start},
};
