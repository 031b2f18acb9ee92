//! Inputs and outputs of a replica.

use base::{InstanceName, Time};
use thiserror::Error;

use crate::{Blob, Index, Message, Record, ReplicaId, Snapshot, Term, WriteNo};

/// An input of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message arrived. Messages may be lost, delayed, duplicated or reordered.
    Received {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// A caller proposes `command`; answered by [`Output::Proposed`].
    Propose {
        /// Identifies the proposal in the answer.
        ticket: u64,
        /// The command to append to the log.
        command: Blob,
    },
    /// All writes up to this one are durable: they survive a power failure.
    Synced {
        /// The last of them.
        upto: WriteNo,
    },
    /// A write or its sync failed, so the content on disk is unknown.
    WriteFailed {
        /// The failed write.
        no: WriteNo,
    },
    /// The disk has run out of space for proposals, or has space again.
    Space {
        /// Whether it is full.
        full: bool,
    },
    /// The timer set by [`Output::Wake`] fired; also the first input of a new replica.
    Wake,
    /// The state machine's answer to [`Output::TakeSnapshot`].
    Snapshot {
        /// The requested index.
        index: Index,
        /// The state after that entry.
        data: Blob,
    },
    /// Adds a replica: as a learner first, as a voter once it has caught up. The same
    /// entry removes any older incarnation of the instance.
    AddReplica {
        /// Identifies the proposal in the answer.
        ticket: u64,
        /// The replica to add.
        id: ReplicaId,
    },
    /// Removes a replica.
    RemoveReplica {
        /// Identifies the proposal in the answer.
        ticket: u64,
        /// The replica to remove.
        id: ReplicaId,
    },
    /// Replaces the list of instances that should have a replica.
    Peers {
        /// The names of the instances, possibly including this one.
        peers: Vec<InstanceName>,
    },
    /// This process is about to stop: starts a leadership transfer to a voter that has
    /// caught up.
    TransferLeadership,
}

/// An action that the embedder carries out, in the order of output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The receiving instance, whatever its incarnation.
        to: InstanceName,
        /// The message.
        message: Message,
    },
    /// Append records to the log file and sync it, then report
    /// [`Input::Synced`].
    Write {
        /// The number to report.
        no: WriteNo,
        /// What to append.
        records: Vec<Record>,
    },
    /// Replace snapshot and log file as one atomic step, then report
    /// [`Input::Synced`].
    Rewrite {
        /// The number to report.
        no: WriteNo,
        /// The new snapshot.
        snapshot: Snapshot,
        /// The full content of the new log file.
        records: Vec<Record>,
    },
    /// Apply a committed command. Indexes are increasing but not contiguous.
    Apply {
        /// The entry's index; never reused for another command.
        index: Index,
        /// The term of the entry.
        term: Term,
        /// The command.
        command: Blob,
    },
    /// Replace the state machine's state.
    Restore {
        /// The last entry covered.
        index: Index,
        /// The state.
        data: Blob,
    },
    /// The result of a proposal or a membership change; output once per ticket.
    Proposed {
        /// The proposal's ticket.
        ticket: u64,
        /// The committed index, or why there is none.
        result: Result<Index, Rejected>,
    },
    /// Pass the state after entry `upto`, which has just been applied, as
    /// [`Input::Snapshot`].
    TakeSnapshot {
        /// The entry.
        upto: Index,
    },
    /// Pass [`Input::Wake`] at this time; replaces the previous timer.
    Wake {
        /// The time of the next wake-up.
        at: Time,
    },
    /// The known leader or this replica's role has changed.
    Role {
        /// The leader as far as known.
        leader: Option<ReplicaId>,
        /// Whether this replica is the leader of its term. Whether it holds a valid lease
        /// at a given time is answered by [`crate::Replica::leads`].
        leading: bool,
    },
    /// The replica has stopped: it ignores all inputs but proposals, which it rejects.
    Halted {
        /// The reason for halting.
        reason: HaltReason,
    },
}

/// A list of outputs, in the order in which they are carried out.
pub type Outputs = Vec<Output>;

/// Why a proposal was not committed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Rejected {
    /// The command is not in the log and never will be.
    #[error("not accepted: {why}")]
    NotAccepted {
        /// The reason for the rejection.
        why: RejectReason,
        /// The leader as far as known, which may accept the proposal.
        leader: Option<ReplicaId>,
    },
    /// The outcome is unknown: the command may still be committed by the next leader.
    #[error("may have been accepted: the leader lost its term")]
    Unknown {
        /// The leader as far as known.
        leader: Option<ReplicaId>,
    },
}

/// Why a proposal was rejected before it reached the log.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// This replica doesn't lead.
    #[error("this replica is not the leader")]
    NotLeader,
    /// The disk is full.
    #[error("the disk is full")]
    DiskFull,
    /// The backlog of uncommitted proposals is full, or the command alone exceeds it.
    #[error("the backlog of uncommitted proposals is full")]
    Overloaded,
    /// Another membership change is not committed yet.
    #[error("another membership change is in progress")]
    Changing,
    /// The membership change is invalid: unknown replica, older incarnation or last
    /// voter.
    #[error("the membership change is invalid")]
    BadChange,
}

/// Why a replica has stopped for good.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HaltReason {
    /// A write or sync failed.
    #[error("a write to disk failed")]
    WriteFailed,
    /// The replica was removed; its instance may join again as a new incarnation.
    #[error("this replica was removed")]
    Removed,
}
