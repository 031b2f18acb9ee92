//! What goes into a replica and what comes out of it.

use base::{InstanceName, Time};
use thiserror::Error;

use crate::{Blob, Index, Message, Record, ReplicaId, Snapshot, Term, WriteNo};

/// What happened to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message arrived. Any message may be lost, late, doubled or out of
    /// order.
    Received {
        /// Who sent it.
        from: ReplicaId,
        /// What it says.
        message: Message,
    },
    /// Somebody wants `command` in the log; answered by [`Output::Proposed`].
    Propose {
        /// Names the proposal in the answer.
        ticket: u64,
        /// What to put into the log.
        command: Blob,
    },
    /// All writes up to this one will survive a power cut.
    Synced {
        /// The last of them.
        upto: WriteNo,
    },
    /// A write or its sync failed; nothing is known about what is on disk.
    WriteFailed {
        /// The write in question.
        no: WriteNo,
    },
    /// The disk has no space left for proposals, or has again.
    Space {
        /// Whether it is full.
        full: bool,
    },
    /// Time has passed; also the first input of a replica's life.
    Wake,
    /// The state machine's answer to [`Output::TakeSnapshot`].
    Snapshot {
        /// The index asked for.
        index: Index,
        /// The state after that entry.
        data: Blob,
    },
    /// Adds a replica: as a learner first, as a voter once it has caught up.
    /// An older life of the same instance leaves by the same entry.
    AddReplica {
        /// Names the proposal in the answer.
        ticket: u64,
        /// The replica to add.
        id: ReplicaId,
    },
    /// Removes a replica.
    RemoveReplica {
        /// Names the proposal in the answer.
        ticket: u64,
        /// The replica to remove.
        id: ReplicaId,
    },
    /// Other instances are meant to have a replica from now on.
    Peers {
        /// Their names.
        peers: Vec<InstanceName>,
    },
    /// This process is about to stop: leadership goes to a caught-up voter.
    HandOver,
}

/// What whoever embeds a replica has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may get lost.
    Send {
        /// The instance to send it to, whichever life it lives.
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
        /// The whole content of the new log file.
        records: Vec<Record>,
    },
    /// Apply a committed command. Indexes grow, with gaps.
    Apply {
        /// The entry's index; never given to another command.
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
    /// Answers a proposal or a change of members, once.
    Proposed {
        /// The proposal's ticket.
        ticket: u64,
        /// The committed index, or why there is none.
        result: Result<Index, Rejected>,
    },
    /// Hand in the state after the entry `upto`, which has just been applied.
    TakeSnapshot {
        /// The entry.
        upto: Index,
    },
    /// Call with [`Input::Wake`] at this moment; replaces the last one.
    Wake {
        /// The moment.
        at: Time,
    },
    /// Who leads has changed.
    Role {
        /// The leader as far as known.
        leader: Option<ReplicaId>,
        /// Whether it is this replica. Whether it may act as such at a moment
        /// is for [`crate::Replica::leads`] to say.
        leading: bool,
    },
    /// The replica does nothing any more, and answers nothing.
    Halted {
        /// Why.
        reason: HaltReason,
    },
}

/// The list that outputs are collected in.
pub type Outputs = Vec<Output>;

/// Why a proposal has no index.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Rejected {
    /// It is certainly not in the log and never will be.
    #[error("not accepted: {why}")]
    NotAccepted {
        /// Why not.
        why: WhyNot,
        /// Who may accept it.
        leader: Option<ReplicaId>,
    },
    /// It may or may not be accepted; nobody can tell yet.
    #[error("may have been accepted: the leader lost its term")]
    Unknown {
        /// Who may know.
        leader: Option<ReplicaId>,
    },
}

/// Why a proposal was turned away before it reached the log.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WhyNot {
    /// This replica doesn't lead.
    #[error("this replica does not lead")]
    NotLeader,
    /// The disk is full.
    #[error("the disk is full")]
    DiskFull,
    /// Too much is waiting already, or the command is too large.
    #[error("too much is waiting to be replicated")]
    Overloaded,
    /// A change of members is under way.
    #[error("another change of members is under way")]
    Changing,
    /// The change of members makes no sense: no such replica, an older life,
    /// or the last voter.
    #[error("no such change of members is possible")]
    BadChange,
}

/// Why a replica has stopped for good.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HaltReason {
    /// A write or sync failed.
    #[error("a write to disk failed")]
    WriteFailed,
    /// It is no member any more; it may come back under a new identity.
    #[error("this replica was removed")]
    Removed,
}
