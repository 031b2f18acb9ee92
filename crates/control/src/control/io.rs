//! Inputs and outputs of a control instance.

use std::collections::BTreeSet;

use crate::{PublishOutcome, What};
use base::{Fence, InstanceName, TargetName, TextVersion, Ticket, Time};
use replog::{HaltReason, Index, Record, Rejected, ReplicaId, Snapshot, Term, WriteNo};

use wire::{
    call::{Call, Reply},
    operator::{Applied, Apply},
    quarantine::CrashReport,
};

/// An input of [`Control::handle`](crate::Control::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call from another process. It is answered by [`Output::Reply`]; messages of the
    /// log are answered at once with [`Reply::Done`].
    Call {
        /// Identifies the call in its reply.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// An operator changes the configuration text; answered by [`Output::Applied`].
    Apply {
        /// Identifies the change in its answer.
        ticket: Ticket,
        /// The change.
        apply: Apply,
    },
    /// An entry instance reports crashes of targets, outside of a heartbeat.
    Crashes(CrashReport),
    /// An operator publishes an edition or an adapter's version; answered by
    /// [`Output::Published`].
    Publish {
        /// Identifies the request in its answer.
        ticket: Ticket,
        /// [`What::Publish`] or [`What::Revise`].
        what: What,
    },
    /// The set of instances meant to run a replica has changed.
    Peers {
        /// Their names.
        peers: Vec<InstanceName>,
    },
    /// The result of an [`Output::Forward`].
    Forwarded {
        /// The ticket of the change.
        ticket: Ticket,
        /// The leader's reply; none if it was lost.
        reply: Option<Reply>,
    },
    /// All writes up to this one are durable.
    Synced {
        /// Number of the last such write.
        upto: WriteNo,
    },
    /// A write or its sync failed.
    WriteFailed {
        /// Number of the write.
        no: WriteNo,
    },
    /// The disk has run out of space, or has space again.
    Space {
        /// Whether it is full.
        full: bool,
    },
    /// The entry instances that the platform lists.
    List {
        /// Their names.
        instances: BTreeSet<InstanceName>,
    },
    /// A reading of the wall clock, to be handed in at the start and at intervals. Only
    /// compared with the dates that callers put into their idempotency keys.
    Wall {
        /// Milliseconds since 1970.
        ms: u64,
    },
    /// Adds a replica of the log; answered by [`Output::Members`].
    AddReplica {
        /// Identifies the change in its answer.
        ticket: Ticket,
        /// The replica.
        id: ReplicaId,
    },
    /// Removes a replica of the log; answered by [`Output::Members`].
    RemoveReplica {
        /// Identifies the change in its answer.
        ticket: Ticket,
        /// The replica.
        id: ReplicaId,
    },
    /// This process is about to stop: leadership is transferred to another instance.
    HandOver,
    /// Time has passed; also the first input.
    Wake,
}

/// Why an edition or an adapter's version was not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotPublished {
    /// This instance doesn't lead; another one may accept it.
    Elsewhere {
        /// The leader, as far as known.
        leader: Option<InstanceName>,
    },
    /// Too much is waiting, or the disk is full. It certainly is in no replica's log.
    Busy,
    /// Unknown outcome: it may or may not be in the log.
    Unknown,
}

/// An output of [`Control::handle`](crate::Control::handle). Outputs have to be carried
/// out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer a call.
    Reply {
        /// The call's ticket.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
    /// Answer an operator's change of the configuration text.
    Applied {
        /// The change's ticket.
        ticket: Ticket,
        /// Its outcome.
        applied: Applied,
    },
    /// Answer an operator that publishes an edition or an adapter's version.
    Published {
        /// The request's ticket.
        ticket: Ticket,
        /// Its outcome, or why it was not published.
        result: Result<PublishOutcome, NotPublished>,
    },
    /// Forward a change to the leader by [`Call::Apply`], and hand in the reply as
    /// [`Input::Forwarded`].
    Forward {
        /// The change's ticket.
        ticket: Ticket,
        /// The leader.
        to: InstanceName,
        /// The change.
        apply: Apply,
    },
    /// Send a message of the log; its reply is ignored.
    Send {
        /// The control instance to send it to.
        to: InstanceName,
        /// The message.
        call: Call,
    },
    /// Append records to the log file and sync it.
    Write {
        /// Number by which the write is reported.
        no: WriteNo,
        /// The records.
        records: Vec<Record>,
    },
    /// Replace the snapshot and the log file in one atomic step.
    Rewrite {
        /// Number by which the write is reported.
        no: WriteNo,
        /// The new snapshot.
        snapshot: Snapshot,
        /// The complete content of the new log file.
        records: Vec<Record>,
    },
    /// Answer a change of replicas.
    Members {
        /// Its ticket.
        ticket: Ticket,
        /// Its index in the log, or why it was rejected.
        result: Result<Index, Rejected>,
    },
    /// Call with [`Input::Wake`] at this time; replaces any earlier request.
    Wake(Time),
    /// Log an event.
    Event(Event),
}

/// An event to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This instance leads and may act as the leader.
    Leads {
        /// Its term.
        term: Term,
    },
    /// This instance no longer leads.
    Follows,
    /// A version of the configuration text is in force here.
    Text {
        /// The version.
        version: TextVersion,
    },
    /// An engine has a new owner.
    Owner {
        /// The engine.
        target: TargetName,
        /// Its owner.
        instance: InstanceName,
        /// The owner's fencing number.
        fence: Fence,
    },
    /// An edition, an adapter's version or a zone owner has changed.
    Published,
    /// An entry instance joined the table.
    Joined {
        /// Its name.
        instance: InstanceName,
    },
    /// An entry instance may own engines from now on.
    Admitted {
        /// Its name.
        instance: InstanceName,
    },
    /// An entry instance was removed from the table.
    Dismissed {
        /// Its name.
        instance: InstanceName,
    },
    /// A command or snapshot of the log can't be decoded: this instance runs an older
    /// release than the one that wrote it and can't take part.
    Unreadable {
        /// Its index in the log.
        index: Index,
    },
    /// What has to be refused because it crashes targets has changed.
    Quarantine(quarantine::Change),
    /// The replica has stopped permanently.
    Halted {
        /// Why it stopped.
        reason: HaltReason,
    },
}

/// The requester of a change of the configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// An operator connected to this instance.
    Operator(Ticket),
    /// Another control instance, on behalf of an operator connected to it.
    Control(Ticket),
}

impl Requester {
    pub(super) fn answer(self, applied: Applied) -> Output {
        match self {
            Requester::Operator(ticket) => Output::Applied { ticket, applied },
            Requester::Control(ticket) => {
                let reply = Reply::Applied(applied);
                Output::Reply { ticket, reply }
            }
        }
    }
}
