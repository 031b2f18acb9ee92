//! Recognises requests that crash the targets that run them, and tells entry instances to
//! refuse them.
//!
//! When a target crashes, all runs on it end, and nothing says which of them was the
//! cause. Each one becomes a suspect. What causes crashes is there each time and never
//! ends well; whatever else ran there soon ends well somewhere, which clears it. What
//! causes them may be a whole request or a part of its prompt that others share, so both
//! are suspects, side by side. A
//! [`Ledger`] weighs the evidence. Every control instance keeps it in its [`Register`],
//! the leader puts its [`Verdict`]s into the replicated log, and every entry instance
//! refuses by its [`Guard`].

mod answered;
mod broken;
mod guard;
mod ledger;
mod parts;
mod register;

pub use crate::{
    broken::{BrokenRun, Evidence},
    guard::{Change, Guard, Held},
    ledger::{Ledger, Verdict},
    register::{Logged, Register},
};

/// Returns whether a complete answer with this status of HTTP shows that its request doesn't crash
/// targets.
///
/// Failure: a target in trouble answers all that it gets with failures and runs none of it. A
/// request that crashes the others would count as sound after each of them.
#[must_use]
pub fn clears(status: u16) -> bool {
    /// Too many requests: it was turned away.
    const TOO_MANY: u16 = 429;
    /// Misdirected: it was meant for another target.
    const MISDIRECTED: u16 = 421;
    /// The first status of failures of a target.
    const FAILURES: u16 = 500;
    status < FAILURES && ![MISDIRECTED, TOO_MANY].contains(&status)
}
