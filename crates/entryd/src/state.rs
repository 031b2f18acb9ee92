//! State shared by all tasks of the daemon.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use base::{InstanceName, Machine, TextVersion, Ticket};
use daemon::{Links, Pending, lock};
use node::Input;
use text::{Keys, Model};
use tokio::sync::{mpsc, oneshot, watch};
use web::client::Client;
use wire::call::Reply;

use crate::exchange::Exchange;

/// The memory is divided into so many parts, one of which is for answers that are held back.
const ANSWER_SHARE: u64 = 8;

/// The operators' configuration text in force, parsed, with an index of the API keys.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    pub(crate) version: TextVersion,
    pub(crate) model: Arc<Model>,
    /// Finds the brand by the hash of its API key.
    pub(crate) keys: Keys,
}

/// State shared by all tasks of the daemon.
#[derive(Debug)]
pub(crate) struct State {
    /// Name of this instance.
    pub(crate) name: InstanceName,
    /// Queue of inputs for the node.
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) client: Client,
    pub(crate) text: watch::Receiver<Arc<InForce>>,
    /// Whether the node reports that it can serve requests.
    pub(crate) ready: AtomicBool,
    /// Last ticket assigned to a request.
    last_ticket: AtomicU64,
    /// Last number assigned to a call from another process.
    last_call: AtomicU64,
    /// Requests in progress.
    exchanges: Mutex<HashMap<Ticket, Arc<Exchange>>>,
    /// Calls from other processes that the node has not replied to yet.
    replies: Pending<u64, Reply>,
    pub(crate) links: Links,
}

impl State {
    pub(crate) fn new(
        name: InstanceName,
        inputs: mpsc::UnboundedSender<Input>,
        text: watch::Receiver<Arc<InForce>>,
        machine: Machine,
    ) -> Self {
        let links = Links::new(name.clone());
        State {
            name,
            inputs,
            client: Client::default().with_memory(daemon::answers(machine, ANSWER_SHARE)),
            text,
            ready: AtomicBool::new(false),
            last_ticket: AtomicU64::new(0),
            last_call: AtomicU64::new(0),
            exchanges: Mutex::default(),
            replies: Pending::default(),
            links,
        }
    }

    /// Queues an input for the node; does nothing after the node's task has ended.
    pub(crate) fn send_input(&self, input: Input) {
        self.inputs.send(input).ok();
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the text in force.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.text.borrow())
    }

    pub(crate) fn insert(&self, ticket: Ticket, exchange: Arc<Exchange>) {
        lock(&self.exchanges).insert(ticket, exchange);
    }

    pub(crate) fn exchange(&self, ticket: Ticket) -> Option<Arc<Exchange>> {
        lock(&self.exchanges).get(&ticket).cloned()
    }

    pub(crate) fn remove(&self, ticket: Ticket) -> Option<Arc<Exchange>> {
        lock(&self.exchanges).remove(&ticket)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn running(&self) -> usize {
        lock(&self.exchanges).len()
    }

    /// Assigns a number to a call from another process and returns the channel on which
    /// its reply arrives.
    pub(crate) fn register_call(&self) -> (u64, oneshot::Receiver<Reply>) {
        let call = self.last_call.fetch_add(1, Ordering::Relaxed) + 1;
        (call, self.replies.register(call))
    }

    /// Replies to a call from another process.
    pub(crate) fn reply(&self, call: u64, reply: Reply) {
        self.replies.complete(&call, reply);
    }
}
