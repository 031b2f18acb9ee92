//! A fake engine: slots, running requests, and orders that it takes.

use std::collections::{BTreeMap, BTreeSet};

use base::{Fence, Incarnation, Time};

/// What an order or a request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Done,
    Refused,
    /// It holds the adapter already.
    Already,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Load(String),
    Unload(String),
}

/// Who sent an order, and when it checked that it may.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) life: (String, u64),
    pub(crate) fence: Fence,
    pub(crate) checked: Time,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) fencing: bool,
    pub(crate) slots: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) resident: BTreeSet<String>,
    /// Adapter of each running request.
    pub(crate) running: BTreeMap<u64, String>,
    pub(crate) newest: Fence,
}

/// What an order did wrong, for the checker.
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
                let answer = if fresh { Answer::Done } else { Answer::Already };
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

    /// Takes a request; tells whether it runs.
    pub(crate) fn start(&mut self, id: u64, adapter: &str) -> bool {
        let known = self.resident.contains(adapter);
        if known {
            self.running.insert(id, adapter.to_owned());
        }
        known
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.resident.clear();
        self.running.clear();
        self.newest = Fence(0);
    }
}
