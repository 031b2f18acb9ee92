//! Commands of the state machine, as stored in the log.

use base::{ChangeId, Fingerprint, InstanceName, TextVersion, record};
use owner::InstanceId;
use thiserror::Error;
use wire::{
    call::{Claim, Settle},
    fleet::Edition,
    stream::ServiceSoftware,
};

use crate::{Hold, Patch};

/// Error for bytes that can't be decoded as a command.
#[derive(Debug, Error)]
#[error("malformed command: {0}")]
pub struct BadCommand(#[from] rmp_serde::decode::Error);

record! {
    /// One command of the state machine.
    pub struct Command {
        /// Time on the state clock when the leader proposed it, in milliseconds. Each
        /// leader continues the state clock from the time that it had reached under the
        /// previous leader.
        pub at: u64,
        /// Time on the leader's wall clock, in milliseconds since 1970. Only compared
        /// with the dates that callers put into their idempotency keys.
        pub wall: u64,
        /// What the command does.
        pub what: What,
    }

    /// What a command does.
    pub enum What {
        /// An operator's change of the configuration text.
        Text {
            /// Id of the change, by which a resent change is recognised.
            change: ChangeId,
            /// The version to which the change applies.
            base: TextVersion,
            /// The operator, as given in the request.
            by: String,
            /// The difference to the base version.
            patch: Patch,
            /// Hash of the complete new text; see
            /// [`Texts::digest`](crate::Texts::digest).
            digest: [u8; 16],
        },
        /// Claims of marked requests and outcomes of such claims, in order.
        Claims(Vec<Item>),
        /// A change of entry instances or engine owners.
        Owner(owner::Change),
        /// An operator's edition; the highest number is in force.
        Publish(Edition),
        /// A new version of an adapter.
        Revise {
            /// The adapter, qualified by its model.
            adapter: String,
            /// Its version.
            version: u32,
        },
        /// A control instance becomes the zone owner, which gives orders to all engines
        /// of the zone.
        OwnZone {
            /// The availability zone.
            zone: String,
            /// The control instance.
            instance: InstanceName,
        },
        /// An entry instance is unresponsive: its claims under way may have run.
        Lapse(InstanceId),
        /// A request crashes the targets that run it, and is refused for some time.
        Hold(Fingerprint, Hold),
        /// A request that is refused was answered in full: it no longer is refused.
        Lift(Fingerprint),
        /// Targets are listed with these software versions.
        Software(Vec<ServiceSoftware>),
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
    /// Fails if the bytes are not a valid command.
    pub fn decode(raw: &[u8]) -> Result<Self, BadCommand> {
        Ok(rmp_serde::from_slice(raw)?)
    }
}
