//! A deterministic message loop between the services of one node.
//!
//! It lets services call each other by name, without references between them,
//! and knows nothing of what they decide. A service is a name and a closure that
//! handles one message at a time. It puts messages to other services and outputs
//! for the embedding program into the [`Outbox`]. Messages are delivered one
//! after the other in first-in, first-out order, so the same input always has
//! the same result.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use base::Time;

/// Upper limit of messages that follow from one input. Two services that answer
/// each other endlessly are a bug, which would otherwise block the node forever.
pub const MESSAGES_MAX: usize = 1_000_000;

/// The name of a service within one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(pub &'static str);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Collects what a service sends: messages to services, and outputs for the
/// embedding program.
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
    /// Queues `msg` for the service called `to`.
    pub fn send(&mut self, to: Name, msg: M) {
        self.messages.push_back((to, msg));
    }

    /// Adds an output for the embedding program.
    pub fn emit(&mut self, output: O) {
        self.outputs.push(output);
    }
}

type Handler<S, M, O> = Box<dyn FnMut(&mut S, Time, M, &mut Outbox<M, O>) + Send>;

/// The services of one node, which share the state `S`, exchange messages `M` and
/// return outputs `O`.
pub struct Kernel<S, M, O> {
    services: BTreeMap<Name, Handler<S, M, O>>,
    outbox: Outbox<M, O>,
    /// Names of missing services that messages were sent to.
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
    /// Adds a service, or replaces the one of the same name.
    pub fn register(
        &mut self,
        name: Name,
        handler: impl FnMut(&mut S, Time, M, &mut Outbox<M, O>) + Send + 'static,
    ) {
        self.services.insert(name, Box::new(handler));
    }

    /// Delivers `msg` to the service called `to`, then all messages that follow
    /// from it, and appends the outputs to `out`.
    ///
    /// # Panics
    ///
    /// Panics if more than [`MESSAGES_MAX`] messages are delivered.
    pub fn run(&mut self, state: &mut S, now: Time, to: Name, msg: M, out: &mut Vec<O>) {
        self.outbox.send(to, msg);
        let mut delivered = 0;
        while let Some((name, msg)) = self.outbox.messages.pop_front() {
            delivered += 1;
            assert!(
                delivered <= MESSAGES_MAX,
                "more than {MESSAGES_MAX} messages follow from one input"
            );
            match self.services.get_mut(&name) {
                Some(handler) => handler(state, now, msg, &mut self.outbox),
                None => self.undelivered.push(name),
            }
        }
        out.append(&mut self.outbox.outputs);
    }

    /// Removes and returns the names of missing services that messages were sent
    /// to since the last call.
    pub fn take_undelivered(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.undelivered)
    }
}
