//! The replicated state of the control instances and one control instance itself.
//!
//! [`State`] is the state machine over the commands of the replicated log. It holds the
//! operators' configuration text and its history, the newest edition, the zone owners,
//! the table of entry instances and engine owners, the claims of marked requests, the
//! requests that are refused because they crash targets, and the software versions of targets
//! that may have begun streams.
//! [`Control`] is one control instance as a plain value without I/O: a replica of the
//! log, the state and the leader's side of ownership. The design is explained in
//! docs/design/configuration.md, docs/design/claims.md and docs/design/ownership.md.

mod claims;
mod command;
mod control;
mod editions;
mod quarantine;
mod software;
mod state;
mod texts;
mod zones;

pub use crate::{
    claims::{Claims, Limits},
    command::{BadCommand, Command, Item, What},
    control::{Check, Checked, Config, Control, Event, Input, NotPublished, Output},
    editions::{Editions, PublishOutcome},
    quarantine::{Hold, Quarantine, Sentence},
    software::SoftwareHistory,
    state::{BadState, Outcome, State},
    texts::{TextChange, Texts},
    zones::{ZoneGrant, ZoneGrants},
};

pub use wire::patch::{BadPatch, Patch};
