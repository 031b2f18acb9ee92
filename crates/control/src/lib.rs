//! What the control instances decide together.
//!
//! [`State`] is the state machine over the commands of the replicated log: the
//! operators' text and its history, the table of owners, and the claims of
//! marked requests. [`Control`] is one control instance as one plain value: a
//! replica of the log, the state and the leader's part of ownership. The
//! reasons are in docs/design/configuration.md, docs/design/claims.md and
//! docs/design/ownership.md.

mod claims;
mod command;
mod control;
mod editions;
mod state;
mod texts;
mod zones;

pub use crate::{
    claims::{Claims, Limits},
    command::{BadCommand, Command, Item, What},
    control::{Check, Checked, Config, Control, Event, Input, Output, Unnamed},
    editions::{Editions, Taken},
    state::{BadState, Outcome, State},
    texts::{Given, Texts},
    zones::{ZoneOwner, ZoneOwners},
};

pub use wire::patch::{BadPatch, Patch};
