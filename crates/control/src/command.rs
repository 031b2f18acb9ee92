//! Commands as they travel in the log.

use base::{ChangeId, InstanceName, TextVersion, record};
use owner::Life;
use thiserror::Error;
use wire::{
    call::{Claim, Settle},
    fleet::Edition,
};

use crate::Patch;

/// Says that bytes are no command.
#[derive(Debug, Error)]
#[error("malformed command: {0}")]
pub struct BadCommand(#[from] rmp_serde::decode::Error);

record! {
    /// One command of the state machine.
    pub struct Command {
        /// The leader's reading of the state's own clock, in milliseconds. It
        /// goes on from where the last leader's stamps ended.
        pub at: u64,
        /// The leader's wall clock, in milliseconds since 1970; only compared
        /// with dates that callers wrote into their keys.
        pub wall: u64,
        /// What to do.
        pub what: What,
    }

    /// What a command does.
    pub enum What {
        /// An operator's change of the text.
        Text {
            /// Recognises a resend.
            change: ChangeId,
            /// The version that it was made from.
            base: TextVersion,
            /// Who made it.
            by: String,
            /// The difference to that version.
            patch: Patch,
            /// Hash of the whole new text.
            digest: [u8; 16],
        },
        /// Claims of marked requests and their outcomes, in order.
        Claims(Vec<Item>),
        /// A change of instances or owners.
        Owner(owner::Change),
        /// An operator's edition: the highest number wins.
        Publish(Edition),
        /// A new version of an adapter.
        Revise {
            /// The adapter, under the name of its model.
            adapter: String,
            /// Its version.
            version: u32,
        },
        /// An instance gives the orders to a zone's engines from now on.
        OwnZone {
            /// The zone.
            zone: String,
            /// The instance.
            instance: InstanceName,
        },
        /// A claimer has fallen silent: what it had under way may have run.
        Lapse(Life),
    }

    /// One claim, or the outcome of one.
    pub enum Item {
        /// A claim.
        Claim(Claim),
        /// An outcome.
        Settle(Settle),
    }
}

impl Command {
    /// Encodes the command.
    ///
    /// # Panics
    ///
    /// Never: every field of a command can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a command has only encodable fields")
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no command.
    pub fn decode(raw: &[u8]) -> Result<Self, BadCommand> {
        Ok(rmp_serde::from_slice(raw)?)
    }
}
