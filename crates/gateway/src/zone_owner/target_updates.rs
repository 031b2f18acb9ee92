//! Numbered target updates for entry instances.
//!
//! Each change of a target gets the next number. An entry instance sends the last number
//! that it has and gets the changes since. State that grows with engines and adapters is
//! thus sent to each entry instance once, and again only where it changes.

use std::collections::{BTreeMap, VecDeque};

use base::Time;
use wire::fleet::{Resident, Target, TargetStart};

/// Number of removed targets that are remembered; a requester with an older number gets
/// the full state.
const MAX_GONE: usize = 1_000;

/// Low bits of a number that count changes; the bits above differ between incarnations.
const COUNT_BITS: u32 = 40;

/// The state of targets, with the number of each one's last change.
#[derive(Debug)]
pub(super) struct TargetUpdates {
    last: u64,
    /// The oldest number from which all changes are still known.
    floor: u64,
    entries: BTreeMap<String, Entry>,
    gone: VecDeque<(u64, String)>,
}

/// A target and the number of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    number: u64,
    /// The target; the times of its residents are in [`Entry::ready`] and not in
    /// `ready_in`.
    target: Target,
    ready: Vec<Time>,
    born: u64,
}

/// The changes that a requester does not have yet.
#[derive(Debug, Default)]
pub(super) struct Delta {
    pub(super) targets: Option<Vec<Target>>,
    /// When they started.
    pub(super) starts: Vec<TargetStart>,
    pub(super) full: bool,
    pub(super) gone: Vec<String>,
}

impl TargetUpdates {
    /// Creates an empty state; `serial` has to differ between incarnations of the
    /// process.
    pub(super) fn new(serial: u64) -> Self {
        let first = (serial % (1 << (64 - COUNT_BITS))).max(1) << COUNT_BITS;
        TargetUpdates {
            last: first + 1,
            floor: first + 1,
            entries: BTreeMap::new(),
            gone: VecDeque::new(),
        }
    }

    /// Returns the number of the last change.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Discards all state, so that every requester gets the full state; for a change of
    /// the owned zones.
    pub(super) fn reset(&mut self) {
        self.last += 1;
        self.floor = self.last;
        self.entries.clear();
        self.gone.clear();
    }

    /// Sets the current state of a target that started at `born`. The `ready_in` of its residents
    /// is zero; `ready` holds their absolute times.
    pub(super) fn set(&mut self, target: Target, ready: Vec<Time>, born: u64) {
        let old = self.entries.get(&target.id);
        let same = |old: &Entry| old.target == target && old.ready == ready && old.born == born;
        if old.is_some_and(same) {
            return;
        }
        self.last += 1;
        let entry = Entry {
            number: self.last,
            ready,
            target,
            born,
        };
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, id: &str) {
        if self.entries.remove(id).is_none() {
            return;
        }
        self.last += 1;
        self.gone.push_back((self.last, id.to_owned()));
        if self.gone.len() > MAX_GONE
            && let Some((number, _)) = self.gone.pop_front()
        {
            self.floor = number;
        }
    }

    /// Returns the ids of all current targets.
    pub(super) fn ids(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the changes since the number `known`, and in any case the targets `resend`.
    /// Returns the full state if `known` is from another incarnation or too old.
    pub(super) fn since(&self, now: Time, known: u64, resend: &[String]) -> Delta {
        let full = known < self.floor || known > self.last;
        let new =
            |entry: &&Entry| full || entry.number > known || resend.contains(&entry.target.id);
        let new = self.entries.values().filter(new);
        let targets: Vec<_> = new.clone().map(|entry| entry.at(now)).collect();
        let gone = self.gone.iter().rev();
        let gone = gone.take_while(|(number, _)| !full && *number > known);
        let gone = gone.filter(|(_, id)| !self.entries.contains_key(id));
        Delta {
            targets: (full || !targets.is_empty()).then_some(targets),
            starts: new.map(Entry::start).collect(),
            full,
            gone: gone.map(|(_, id)| id.clone()).collect(),
        }
    }
}

impl Entry {
    fn start(&self) -> TargetStart {
        TargetStart {
            target: self.target.id.clone(),
            born: self.born,
        }
    }

    fn at(&self, now: Time) -> Target {
        let residents = self.target.residents.iter().zip(&self.ready);
        let residents = residents.map(|(resident, ready)| Resident {
            ready_in: ready.since(now),
            ..resident.clone()
        });
        Target {
            residents: residents.collect(),
            ..self.target.clone()
        }
    }
}
