//! What goes into a control instance and what comes out of it.

use std::collections::BTreeSet;

use crate::{Taken, What};
use base::{Fence, InstanceName, TargetName, TextVersion, Ticket, Time};
use replog::{HaltReason, Index, Record, Rejected, ReplicaId, Snapshot, Term, WriteNo};

use wire::{
    call::{Call, Reply},
    operator::{Applied, Apply},
};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Another process calls; answered by [`Output::Reply`], except for
    /// messages of the log, which are answered at once by [`Reply::Done`].
    Call {
        /// Names the call in the answer.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// An operator changes the text; answered by [`Output::Applied`].
    Apply {
        /// Names the change in the answer.
        ticket: Ticket,
        /// The change.
        apply: Apply,
    },
    /// An operator names an edition or an adapter's version; answered by
    /// [`Output::Named`].
    Name {
        /// Names the call in the answer.
        ticket: Ticket,
        /// [`What::Publish`] or [`What::Revise`].
        what: What,
    },
    /// Other instances are meant to run control from now on.
    Peers {
        /// Their names.
        peers: Vec<InstanceName>,
    },
    /// What became of an [`Output::Pass`].
    Passed {
        /// The ticket of the change.
        ticket: Ticket,
        /// The leader's reply; none when it got lost.
        reply: Option<Reply>,
    },
    /// All writes up to this one will survive a power cut.
    Synced {
        /// The last of them.
        upto: WriteNo,
    },
    /// A write or its sync failed.
    WriteFailed {
        /// The write in question.
        no: WriteNo,
    },
    /// The disk has no space left, or has again.
    Space {
        /// Whether it is full.
        full: bool,
    },
    /// The platform's list names these entry instances.
    List {
        /// Their names.
        instances: BTreeSet<InstanceName>,
    },
    /// The wall clock, to be handed in at the start and now and then; only
    /// compared with dates that callers wrote into their keys.
    Wall {
        /// Milliseconds since 1970.
        ms: u64,
    },
    /// Adds a replica of the log; answered by [`Output::Members`].
    AddReplica {
        /// Names the change in the answer.
        ticket: Ticket,
        /// The replica.
        id: ReplicaId,
    },
    /// Removes a replica of the log; answered by [`Output::Members`].
    RemoveReplica {
        /// Names the change in the answer.
        ticket: Ticket,
        /// The replica.
        id: ReplicaId,
    },
    /// This process is about to stop: leadership goes to another.
    HandOver,
    /// Time has passed; also the first input.
    Wake,
}

/// Why an edition or a version has not been taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unnamed {
    /// Another instance may take it.
    Elsewhere {
        /// The leader, as far as known.
        leader: Option<InstanceName>,
    },
    /// Not now: too much waits, or the disk is full. It is in nobody's log.
    Busy,
    /// Nobody can tell yet whether it is in the log.
    Unknown,
}

/// What to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer a call.
    Reply {
        /// The call's ticket.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
    /// Answer an operator.
    Applied {
        /// The change's ticket.
        ticket: Ticket,
        /// Its outcome.
        applied: Applied,
    },
    /// Answer an operator's edition or version.
    Named {
        /// The call's ticket.
        ticket: Ticket,
        /// What came of it, or why it is not in the log.
        result: Result<Taken, Unnamed>,
    },
    /// Pass a change on to the leader by [`Call::Apply`], and hand in the
    /// reply by [`Input::Passed`].
    Pass {
        /// The change's ticket.
        ticket: Ticket,
        /// The leader.
        to: InstanceName,
        /// The change.
        apply: Apply,
    },
    /// Send a message of the log; its answer means nothing.
    Send {
        /// To which control instance.
        to: InstanceName,
        /// The message.
        call: Call,
    },
    /// Append records to the log file and sync it.
    Write {
        /// The number to report.
        no: WriteNo,
        /// What to append.
        records: Vec<Record>,
    },
    /// Replace snapshot and log file as one atomic step.
    Rewrite {
        /// The number to report.
        no: WriteNo,
        /// The new snapshot.
        snapshot: Snapshot,
        /// The whole content of the new log file.
        records: Vec<Record>,
    },
    /// Answer a change of replicas.
    Members {
        /// Its ticket.
        ticket: Ticket,
        /// Where it stands in the log, or why not.
        result: Result<Index, Rejected>,
    },
    /// Call with [`Input::Wake`] at this moment; replaces the last one.
    Wake(Time),
    /// Something worth a log line.
    Event(Event),
}

/// Something worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This instance leads, and may act on it.
    Leads {
        /// Since which term.
        term: Term,
    },
    /// This instance leads no more.
    Follows,
    /// A text is in force here.
    Text {
        /// Its version.
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
    /// The newest edition or version of an adapter has changed.
    Named,
    /// An instance joined the table.
    Joined {
        /// Its name.
        instance: InstanceName,
    },
    /// An instance may own engines.
    Admitted {
        /// Its name.
        instance: InstanceName,
    },
    /// An instance left the table.
    Dismissed {
        /// Its name.
        instance: InstanceName,
    },
    /// A command of the log can't be read; this instance is older than
    /// the one that wrote it and can't take part.
    Unreadable {
        /// Where it stands.
        index: Index,
    },
    /// The replica has stopped for good.
    Halted {
        /// Why.
        reason: HaltReason,
    },
}

/// Who asked for a change of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    /// An operator, here.
    Operator(Ticket),
    /// Another control instance, for an operator there.
    Control(Ticket),
}

impl Asker {
    pub(super) fn answer(self, applied: Applied) -> Output {
        match self {
            Asker::Operator(ticket) => Output::Applied { ticket, applied },
            Asker::Control(ticket) => {
                let reply = Reply::Applied(applied);
                Output::Reply { ticket, reply }
            }
        }
    }
}
