//! Micro-kernel: holds the services of one node and carries messages between
//! them by name.
//!
//! The kernel knows nothing of what the services decide. A service is a name
//! and a closure; it reads one message and puts any number of messages for
//! other services, and outputs for the world outside, into the [`Outbox`].
//! Delivery is first in, first out, so one input has exactly one outcome.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use base::Time;

/// Messages that one input may cause inside a node before the kernel stops
/// it; two services that answer each other for ever are a bug that would
/// otherwise freeze the node.
pub const MESSAGES_MAX: usize = 1_000_000;

/// The name of a service within one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(pub &'static str);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// What a service leaves behind: messages for services, outputs for outside.
#[derive(Debug)]
pub struct Outbox<M, O> {
    messages: VecDeque<(Name, M)>,
    outputs: Vec<O>,
}

impl<M, O> Default for Outbox<M, O> {
    fn default() -> Self {
        Outbox {
            messages: VecDeque::new(),
            outputs: Vec::new(),
        }
    }
}

impl<M, O> Outbox<M, O> {
    /// Sends `msg` to the service called `to`.
    pub fn send(&mut self, to: Name, msg: M) {
        self.messages.push_back((to, msg));
    }

    /// Hands `output` to the world outside.
    pub fn emit(&mut self, output: O) {
        self.outputs.push(output);
    }
}

type Handler<S, M, O> = Box<dyn FnMut(&mut S, Time, M, &mut Outbox<M, O>) + Send>;

/// The services of one node over a state `S` that they share.
pub struct Kernel<S, M, O> {
    services: BTreeMap<Name, Handler<S, M, O>>,
    outbox: Outbox<M, O>,
    undelivered: Vec<Name>,
}

impl<S, M, O> Default for Kernel<S, M, O> {
    fn default() -> Self {
        Kernel {
            services: BTreeMap::new(),
            outbox: Outbox::default(),
            undelivered: Vec::new(),
        }
    }
}

impl<S, M, O> fmt::Debug for Kernel<S, M, O> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Kernel")
            .field("services", &self.services.keys())
            .finish_non_exhaustive()
    }
}

impl<S, M, O> Kernel<S, M, O> {
    /// Adds a service; one registered earlier under the same name is replaced.
    pub fn register(
        &mut self,
        name: Name,
        handler: impl FnMut(&mut S, Time, M, &mut Outbox<M, O>) + Send + 'static,
    ) {
        self.services.insert(name, Box::new(handler));
    }

    /// Delivers `msg` to the service called `to`, and all that follows from it.
    ///
    /// # Panics
    ///
    /// Panics when more than [`MESSAGES_MAX`] messages follow from one.
    pub fn run(&mut self, state: &mut S, now: Time, to: Name, msg: M, out: &mut Vec<O>) {
        self.outbox.send(to, msg);
        let mut delivered = 0;
        while let Some((name, msg)) = self.outbox.messages.pop_front() {
            delivered += 1;
            assert!(
                delivered <= MESSAGES_MAX,
                "services answer each other without end"
            );
            match self.services.get_mut(&name) {
                Some(handler) => handler(state, now, msg, &mut self.outbox),
                None => self.undelivered.push(name),
            }
        }
        out.append(&mut self.outbox.outputs);
    }

    /// Takes the names that messages were sent to in vain since the last call.
    pub fn take_undelivered(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.undelivered)
    }
}
