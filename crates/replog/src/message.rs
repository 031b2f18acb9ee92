//! What replicas say to each other.

use base::{Incarnation, InstanceName};
use thiserror::Error;

use crate::{Blob, Entry, Index, Members, Position, ReplicaId, Term};

/// Says that bytes are no message.
#[derive(Debug, Error)]
#[error("malformed message of the log: {0}")]
pub struct BadMessage(#[from] rmp_serde::decode::Error);

base::value! {
    /// What a candidate asks for.
    pub enum VoteKind {
        /// Whether it would get a vote; changes nothing at either side.
        Pre,
        /// A vote.
        Real,
        /// A vote, at the wish of the leader, who has given up its lease.
        Transfer,
    }
}

base::record! {
    /// A message between two replicas; a term is always the sender's.
    pub enum Message {
        /// An unstarted replica asks to be taken in.
        Join,
        /// Answers [`Message::Join`] at a replica that doesn't lead: who may.
        Ask {
            /// The members' instances.
            instances: Vec<InstanceName>,
        },
        /// The founding members, from the founder to all others.
        Found {
            /// The replicas that all start together.
            members: Members,
        },
        /// The founding members are on disk.
        Founded {
            /// The replicas that all start together.
            members: Members,
        },
        /// A candidate asks for a vote.
        Vote {
            /// The term to be elected for.
            term: Term,
            /// What kind of vote.
            kind: VoteKind,
            /// The end of the candidate's log.
            last: Position,
        },
        /// The answer to a request for a vote.
        VoteReply {
            /// The voter's term; the term asked for if granted.
            term: Term,
            /// What kind of vote.
            kind: VoteKind,
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries of the leader; without entries, a heartbeat.
        Append {
            /// The leader's term.
            term: Term,
            /// The receiver's life; another one ignores the message.
            life: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The entry before the first one.
            prev: Position,
            /// The entries.
            entries: Vec<Entry>,
            /// Up to where the log is committed.
            commit: Index,
        },
        /// A part of an entry that is too large for one message.
        Piece {
            /// The leader's term.
            term: Term,
            /// The receiver's life; another one ignores the message.
            life: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The entry before it.
            prev: Position,
            /// Where the entry stands.
            at: Position,
            /// The length of its command in bytes.
            total: u64,
            /// Where this part of the command begins.
            offset: u64,
            /// The part.
            data: Blob,
            /// Up to where the log is committed.
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
        /// A follower's answer.
        AppendReply {
            /// The follower's term.
            term: Term,
            /// The round of the message answered.
            round: u64,
            /// How far the logs agree, on the follower's disk.
            outcome: Outcome,
            /// Whether the follower's disk is full.
            full: bool,
        },
        /// A part of a snapshot.
        Chunk {
            /// The leader's term.
            term: Term,
            /// The receiver's life; another one ignores the message.
            life: Incarnation,
            /// The heartbeat round, echoed in the reply.
            round: u64,
            /// The last entry covered.
            at: Position,
            /// The replicas as of that entry.
            members: Members,
            /// The length of the whole in bytes.
            total: u64,
            /// Checksum of the whole.
            crc: u32,
            /// Where this part begins.
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
        /// The leader steps down; the receiver stands for election at once.
        TimeoutNow {
            /// The leader's term.
            term: Term,
        },
        /// The receiver is no member any more.
        Removed {
            /// The replica that was removed.
            id: ReplicaId,
        },
        /// A restarted replica asks whether the receiver leads.
        Leading {
            /// Echoed in the answer.
            number: u64,
        },
        /// Answers [`Message::Leading`]: the sender doesn't.
        Idle {
            /// The question's number.
            number: u64,
        },
    }

    /// Whether entries fit a follower's log.
    pub enum Outcome {
        /// They do.
        Matched {
            /// The last entry that agrees and is on the follower's disk.
            upto: Index,
        },
        /// The entry before them is not in the log.
        Conflict {
            /// The index that was not found.
            prev: Index,
            /// An earlier one that may be.
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
    /// Fails when the bytes are no message.
    pub fn decode(raw: &[u8]) -> Result<Self, BadMessage> {
        Ok(rmp_serde::from_slice(raw)?)
    }
}
