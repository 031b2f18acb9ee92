//! A fake engine: adapter slots, running requests, and orders to load and unload.

use std::collections::{BTreeMap, BTreeSet};

use base::{Fence, Incarnation, Time};

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Done,
    Refused,
    /// The adapter was loaded before the order came.
    AlreadyLoaded,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Load(String),
    Unload(String),
}

/// The sender of an order, and when it checked that its lease permits the order.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) incarnation: (String, u64),
    pub(crate) fence: Fence,
    pub(crate) checked: Time,
}

#[derive(Debug)]
pub(crate) struct Engine {
    /// Whether orders with an old fencing number are refused.
    pub(crate) fencing: bool,
    pub(crate) slots: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) resident: BTreeSet<String>,
    /// Adapter of each running request.
    pub(crate) running: BTreeMap<u64, String>,
    /// The highest fencing number seen so far.
    pub(crate) newest: Fence,
}

/// An unload of an adapter in use, with the requests that it interrupted.
#[derive(Debug)]
pub(crate) struct Evicted {
    pub(crate) adapter: String,
    pub(crate) requests: Vec<u64>,
}

impl Engine {
    pub(crate) fn new(fencing: bool, slots: usize) -> Self {
        Engine {
            fencing,
            slots,
            incarnation: Incarnation(1),
            resident: BTreeSet::new(),
            running: BTreeMap::new(),
            newest: Fence(0),
        }
    }

    /// Carries out an order; returns the interrupted requests of an unload, if any.
    pub(crate) fn order(&mut self, order: &Order, fence: Fence) -> (Answer, Option<Evicted>) {
        if self.fencing && fence < self.newest {
            return (Answer::Refused, None);
        }
        self.newest = self.newest.max(fence);
        match order {
            Order::Load(adapter) => {
                let full = self.resident.len() >= self.slots && !self.resident.contains(adapter);
                if full {
                    return (Answer::Refused, None);
                }
                let fresh = self.resident.insert(adapter.clone());
                let answer = if fresh {
                    Answer::Done
                } else {
                    Answer::AlreadyLoaded
                };
                (answer, None)
            }
            Order::Unload(adapter) => {
                self.resident.remove(adapter);
                let users = self.running.iter().filter(|(_, used)| *used == adapter);
                let requests: Vec<_> = users.map(|(id, _)| *id).collect();
                let adapter = adapter.clone();
                let evicted = (!requests.is_empty()).then_some(Evicted { adapter, requests });
                (Answer::Done, evicted)
            }
        }
    }

    /// Starts a request if its adapter is loaded; returns whether it runs.
    pub(crate) fn start(&mut self, id: u64, adapter: &str) -> bool {
        let known = self.resident.contains(adapter);
        if known {
            self.running.insert(id, adapter.to_owned());
        }
        known
    }

    /// Starts a new incarnation without adapters and requests.
    pub(crate) fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.resident.clear();
        self.running.clear();
        self.newest = Fence(0);
    }
}
