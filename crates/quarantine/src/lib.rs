//! Recognises requests that crash the targets that run them, and tells entry instances to
//! refuse them.
//!
//! When a target crashes, all runs on it end, and nothing says which of them was the
//! cause. Each one becomes a suspect. What causes crashes is there each time and never
//! ends well; whatever else ran there soon ends well somewhere, which clears it. A
//! [`Ledger`] weighs the evidence. Every control instance keeps it in its [`Register`],
//! the leader puts its [`Verdict`]s into the replicated log, and every entry instance
//! refuses by its [`Guard`].

mod answered;
mod guard;
mod ledger;
mod register;

pub use crate::{
    guard::{Change, Guard, Held},
    ledger::{Ledger, Verdict},
    register::{Logged, Register},
};
