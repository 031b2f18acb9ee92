//! One request from its arrival to its one final answer.
//!
//! A [`Request`] decides: whether it must be claimed before it is sent, when
//! an attempt may follow another, what of an answer is passed on, how a broken
//! stream is continued, and what the caller is told in the end. It knows no
//! socket and no clock; bodies stay with whoever drives it, which hands in
//! what happened and carries out the outputs in their order.

mod life;
mod message;
mod start;

pub use crate::{
    life::Request,
    message::{AttemptNo, ClaimReply, Fate, Fault, Final, Input, Output, Part, RanOn},
    start::{ATTEMPTS_MAX, Start},
};
