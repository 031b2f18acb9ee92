//! What all tasks of the daemon share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use base::{InstanceName, TextVersion, Ticket};
use daemon::{Links, Pending, lock};
use node::Input;
use text::{Keys, Model};
use tokio::sync::{mpsc, oneshot, watch};
use web::client::Client;
use wire::call::Reply;

use crate::exchange::Exchange;

/// The text in force, with the keys ready for lookup.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    pub(crate) version: TextVersion,
    pub(crate) model: Arc<Model>,
    pub(crate) keys: Keys,
}

/// Handles that every task of the daemon may use.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) name: InstanceName,
    /// Inputs on their way to the node.
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) client: Client,
    pub(crate) text: watch::Receiver<Arc<InForce>>,
    pub(crate) ready: AtomicBool,
    tickets: AtomicU64,
    calls: AtomicU64,
    exchanges: Mutex<HashMap<Ticket, Arc<Exchange>>>,
    answers: Pending<u64, Reply>,
    pub(crate) links: Links,
}

impl State {
    pub(crate) fn new(
        name: InstanceName,
        inputs: mpsc::UnboundedSender<Input>,
        text: watch::Receiver<Arc<InForce>>,
    ) -> Self {
        let links = Links::new(name.clone());
        State {
            name,
            inputs,
            client: Client::default(),
            text,
            ready: AtomicBool::new(false),
            tickets: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            exchanges: Mutex::default(),
            answers: Pending::default(),
            links,
        }
    }

    /// Hands an input to the node; after the node has ended there is nobody
    /// left to tell.
    pub(crate) fn tell(&self, input: Input) {
        self.inputs.send(input).ok();
    }

    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the text in force.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.text.borrow())
    }

    pub(crate) fn put(&self, ticket: Ticket, exchange: Arc<Exchange>) {
        lock(&self.exchanges).insert(ticket, exchange);
    }

    pub(crate) fn exchange(&self, ticket: Ticket) -> Option<Arc<Exchange>> {
        lock(&self.exchanges).get(&ticket).cloned()
    }

    pub(crate) fn remove(&self, ticket: Ticket) -> Option<Arc<Exchange>> {
        lock(&self.exchanges).remove(&ticket)
    }

    /// Returns how many requests are under way.
    pub(crate) fn running(&self) -> usize {
        lock(&self.exchanges).len()
    }

    /// Numbers a call from another process and returns where its answer comes.
    pub(crate) fn expect(&self) -> (u64, oneshot::Receiver<Reply>) {
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        (call, self.answers.expect(call))
    }

    /// Answers a call from another process.
    pub(crate) fn answer(&self, call: u64, reply: Reply) {
        self.answers.answer(&call, reply);
    }
}
