//! State shared by all tasks of the daemon.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use base::{InstanceName, Ticket};
use control::Input;
use daemon::{Links, Pending};
use tokio::sync::{mpsc, oneshot};
use wire::{
    call::Reply,
    operator::{Applied, Current, Entry, Status},
};

/// A message to the shell's task.
#[derive(Debug)]
pub(crate) enum Job {
    /// An input of the control instance.
    Input(Input),
    /// An operator's query.
    Query(Query),
    /// The process was asked to stop.
    Stop,
}

/// A query to the control instance, with the channel for its answer.
#[derive(Debug)]
pub(crate) enum Query {
    /// The state of the system.
    Status(oneshot::Sender<Status>),
    /// Accepted changes.
    History(oneshot::Sender<Vec<Entry>>),
    /// The text in force.
    Text(oneshot::Sender<Current>),
    /// The entry instances' peer listeners.
    Peers(oneshot::Sender<BTreeMap<InstanceName, SocketAddr>>),
}

/// State shared by all tasks of the daemon.
#[derive(Debug)]
pub(crate) struct State {
    /// Queue of the shell's task.
    pub(crate) jobs: mpsc::UnboundedSender<Job>,
    /// Peer listeners of the control instances, from the settings.
    pub(crate) controls: BTreeMap<InstanceName, SocketAddr>,
    /// Last ticket assigned to a call or change.
    last_ticket: AtomicU64,
    /// Calls that have no reply yet.
    replies: Pending<Ticket, Reply>,
    /// Operators' changes that have no outcome yet.
    applied: Pending<Ticket, Applied>,
    pub(crate) links: Links,
}

impl State {
    pub(crate) fn new(
        name: InstanceName,
        controls: BTreeMap<InstanceName, SocketAddr>,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Self {
        let links = Links::new(name);
        State {
            jobs,
            controls,
            last_ticket: AtomicU64::new(0),
            replies: Pending::default(),
            applied: Pending::default(),
            links,
        }
    }

    /// Queues an input for the control instance; does nothing after the shell's task has
    /// ended.
    pub(crate) fn send_input(&self, input: Input) {
        self.jobs.send(Job::Input(input)).ok();
    }

    /// Assigns a ticket to a call and returns the channel on which its reply arrives.
    pub(crate) fn register_call(&self) -> (Ticket, oneshot::Receiver<Reply>) {
        let ticket = self.next_ticket();
        (ticket, self.replies.register(ticket))
    }

    /// Assigns a ticket to an operator's change and returns the channel on which its
    /// outcome arrives.
    pub(crate) fn register_change(&self) -> (Ticket, oneshot::Receiver<Applied>) {
        let ticket = self.next_ticket();
        (ticket, self.applied.register(ticket))
    }

    /// Completes a call.
    pub(crate) fn reply(&self, ticket: Ticket, reply: Reply) {
        self.replies.complete(&ticket, reply);
    }

    /// Reports the outcome of an operator's change.
    pub(crate) fn finish_change(&self, ticket: Ticket, applied: Applied) {
        self.applied.complete(&ticket, applied);
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
