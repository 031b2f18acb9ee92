//! What all tasks of the daemon share.

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

/// What the shell takes in: an input of the control instance, or a question.
#[derive(Debug)]
pub(crate) enum Job {
    /// Something happened.
    Input(Input),
    /// An operator reads something.
    Read(Read),
    /// This process is to stop.
    Stop,
}

/// What an operator may read.
#[derive(Debug)]
pub(crate) enum Read {
    /// The state of the system.
    Status(oneshot::Sender<Status>),
    /// Accepted changes.
    History(oneshot::Sender<Vec<Entry>>),
    /// The text in force.
    Text(oneshot::Sender<Current>),
    /// The entry instances' peer listeners.
    Peers(oneshot::Sender<BTreeMap<InstanceName, SocketAddr>>),
}

/// Handles that every task of the daemon may use.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) jobs: mpsc::UnboundedSender<Job>,
    /// The other control instances' peer listeners.
    pub(crate) controls: BTreeMap<InstanceName, SocketAddr>,
    tickets: AtomicU64,
    replies: Pending<Ticket, Reply>,
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
            tickets: AtomicU64::new(0),
            replies: Pending::default(),
            applied: Pending::default(),
            links,
        }
    }

    /// Hands an input to the control instance; after it has ended there is
    /// nobody left to tell.
    pub(crate) fn tell(&self, input: Input) {
        self.jobs.send(Job::Input(input)).ok();
    }

    /// Numbers a call and returns where its reply comes.
    pub(crate) fn expect_reply(&self) -> (Ticket, oneshot::Receiver<Reply>) {
        let ticket = self.next_ticket();
        (ticket, self.replies.expect(ticket))
    }

    /// Numbers a change and returns where its outcome comes.
    pub(crate) fn expect_applied(&self) -> (Ticket, oneshot::Receiver<Applied>) {
        let ticket = self.next_ticket();
        (ticket, self.applied.expect(ticket))
    }

    pub(crate) fn reply(&self, ticket: Ticket, reply: Reply) {
        self.replies.answer(&ticket, reply);
    }

    pub(crate) fn answer(&self, ticket: Ticket, applied: Applied) {
        self.applied.answer(&ticket, applied);
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
