//! Messages between replicas.

use base::{Incarnation, InstanceName};
use thiserror::Error;

use crate::{Blob, Entry, Index, Members, Position, ReplicaId, Term};

/// Bytes that don't decode as a message.
#[derive(Debug, Error)]
#[error("malformed message of the log: {0}")]
pub struct BadMessage(#[from] rmp_serde::decode::Error);

base::value! {
    /// The kind of a vote request.
    pub enum VoteKind {
        /// Pre-vote: asks whether the vote would be granted; changes no state at either
        /// side.
        Pre,
        /// A request for a vote.
        Real,
        /// A vote in a leadership transfer: the leader has given up its lease.
        Transfer,
    }
}

base::record! {
    /// A message between two replicas; a term is always the sender's.
    pub enum Message {
        /// A replica that hears no leader asks to be added as a member.
        Join,
        /// Answers [`Message::Join`] from a replica that doesn't lead: names the members
        /// to ask.
        Ask {
            /// The members' instances.
            instances: Vec<InstanceName>,
        },
        /// The initial membership, sent by the founder to all other founding members.
        Found {
            /// The initial membership.
            members: Members,
        },
        /// Acknowledges that the initial membership is on disk.
        Founded {
            /// The initial membership.
            members: Members,
        },
        /// A candidate asks for a vote.
        Vote {
            /// The term to be elected for.
            term: Term,
            /// What kind of vote.
            kind: VoteKind,
            /// The position of the last entry in the candidate's log.
            last: Position,
        },
        /// The answer to a request for a vote.
        VoteReply {
            /// The voter's term; the requested term if the vote is granted.
            term: Term,
            /// What kind of vote.
            kind: VoteKind,
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries of the leader; without entries, a heartbeat.
        Append {
            /// The leader's term.
            term: Term,
            /// The receiver's incarnation; any other incarnation ignores the message.
            incarnation: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The entry before the first one.
            prev: Position,
            /// The entries.
            entries: Vec<Entry>,
            /// The leader's commit index.
            commit: Index,
        },
        /// A part of an entry that is too large for one message.
        Piece {
            /// The leader's term.
            term: Term,
            /// The receiver's incarnation; any other incarnation ignores the message.
            incarnation: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The entry before it.
            prev: Position,
            /// The position of the entry.
            at: Position,
            /// The length of its command in bytes.
            total: u64,
            /// The offset of this part in the command, in bytes.
            offset: u64,
            /// The part.
            data: Blob,
            /// The leader's commit index.
            commit: Index,
        },
        /// How much of a large entry has arrived.
        PieceReply {
            /// The follower's term.
            term: Term,
            /// The round of the message answered.
            round: u64,
            /// The entry.
            at: Position,
            /// The bytes of its command that have arrived without a gap.
            received: u64,
        },
        /// A follower's answer to [`Message::Append`].
        AppendReply {
            /// The follower's term.
            term: Term,
            /// The round of the message answered.
            round: u64,
            /// How far the follower's log on disk agrees with the leader's.
            outcome: Outcome,
            /// Whether the follower's disk is full.
            full: bool,
        },
        /// A part of a snapshot.
        Chunk {
            /// The leader's term.
            term: Term,
            /// The receiver's incarnation; any other incarnation ignores the message.
            incarnation: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The last entry covered.
            at: Position,
            /// The membership as of that entry.
            members: Members,
            /// The length of the full snapshot in bytes.
            total: u64,
            /// CRC-32 of the full snapshot.
            crc: u32,
            /// The offset of this part in bytes.
            offset: u64,
            /// The part.
            data: Blob,
        },
        /// How much of a snapshot has arrived.
        ChunkReply {
            /// The follower's term.
            term: Term,
            /// The round of the message answered.
            round: u64,
            /// The last entry covered.
            at: Position,
            /// The bytes that have arrived without a gap.
            received: u64,
        },
        /// Leadership transfer: the leader steps down, and the receiver starts an
        /// election at once.
        TimeoutNow {
            /// The leader's term.
            term: Term,
        },
        /// The receiver has been removed from the membership.
        Removed {
            /// The replica that was removed.
            id: ReplicaId,
        },
        /// A restarted replica asks whether the receiver is the leader.
        Leading {
            /// Identifies the query; echoed in the answer.
            number: u64,
        },
        /// Answers [`Message::Leading`]: the sender is not the leader.
        Idle {
            /// The number of the query.
            number: u64,
        },
    }

    /// The result of a consistency check of entries against a follower's log.
    pub enum Outcome {
        /// The entries are consistent with the log.
        Matched {
            /// The last matching entry that is on the follower's disk.
            upto: Index,
        },
        /// The entry before the sent ones is not in the follower's log.
        Conflict {
            /// The index that did not match.
            prev: Index,
            /// An earlier index that may match.
            hint: Index,
        },
        /// The follower has no log yet and needs a snapshot.
        Empty,
    }
}

impl Message {
    /// Encodes the message.
    ///
    /// # Panics
    ///
    /// Never: every field of a message can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a message has only encodable fields")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes don't decode as a message.
    pub fn decode(raw: &[u8]) -> Result<Self, BadMessage> {
        Ok(rmp_serde::from_slice(raw)?)
    }
}
