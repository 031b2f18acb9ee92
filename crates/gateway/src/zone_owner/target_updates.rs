//! Numbered target updates for entry instances.
//!
//! Each change of a target gets the next number. An entry instance sends the last number
//! that it has and gets the changes since. State that grows with engines and adapters is
//! thus sent to each entry instance once, and again only where it changes.

use std::collections::{BTreeMap, VecDeque};

use base::Time;
use wire::fleet::{Resident, Target};

/// Number of removed targets that are remembered; a requester with an older number gets
/// the full state.
const GONE_MOST: usize = 1_000;

/// Low bits of a number that count changes; the bits above differ between incarnations.
const COUNT_BITS: u32 = 40;

/// The state of targets, with the number of each one's last change.
#[derive(Debug)]
pub(super) struct News {
    last: u64,
    /// The oldest number from which all changes are still known.
    floor: u64,
    shown: BTreeMap<String, Shown>,
    gone: VecDeque<(u64, String)>,
}

/// A target and the number of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Shown {
    number: u64,
    /// The target; the times of its residents are in [`Shown::ready`] and not in
    /// `ready_in`.
    target: Target,
    ready: Vec<Time>,
}

/// The changes that a requester does not have yet.
#[derive(Debug, Default)]
pub(super) struct Told {
    pub(super) targets: Option<Vec<Target>>,
    pub(super) whole: bool,
    pub(super) gone: Vec<String>,
}

impl News {
    /// Creates an empty state; `serial` has to differ between incarnations of the
    /// process.
    pub(super) fn new(serial: u64) -> Self {
        let first = (serial % (1 << (64 - COUNT_BITS))).max(1) << COUNT_BITS;
        News {
            last: first + 1,
            floor: first + 1,
            shown: BTreeMap::new(),
            gone: VecDeque::new(),
        }
    }

    /// Returns the number of the last change.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Discards all state, so that every requester gets the full state; for a change of
    /// the owned zones.
    pub(super) fn restart(&mut self) {
        self.last += 1;
        self.floor = self.last;
        self.shown.clear();
        self.gone.clear();
    }

    /// Sets the current state of a target. The `ready_in` of its residents is zero;
    /// `ready` holds their absolute times.
    pub(super) fn show(&mut self, target: Target, ready: Vec<Time>) {
        let old = self.shown.get(&target.id);
        if old.is_some_and(|old| old.target == target && old.ready == ready) {
            return;
        }
        self.last += 1;
        let shown = Shown {
            number: self.last,
            ready,
            target,
        };
        self.shown.insert(shown.target.id.clone(), shown);
    }

    /// Removes a target.
    pub(super) fn drop_target(&mut self, id: &str) {
        if self.shown.remove(id).is_none() {
            return;
        }
        self.last += 1;
        self.gone.push_back((self.last, id.to_owned()));
        if self.gone.len() > GONE_MOST
            && let Some((number, _)) = self.gone.pop_front()
        {
            self.floor = number;
        }
    }

    /// Returns the ids of all current targets.
    pub(super) fn ids(&self) -> Vec<String> {
        self.shown.keys().cloned().collect()
    }

    /// Returns the changes since the number `known`, and in any case the targets `again`.
    /// Returns the full state if `known` is from another incarnation or too old.
    pub(super) fn since(&self, now: Time, known: u64, again: &[String]) -> Told {
        let whole = known < self.floor || known > self.last;
        let new =
            |shown: &&Shown| whole || shown.number > known || again.contains(&shown.target.id);
        let targets: Vec<_> = self
            .shown
            .values()
            .filter(new)
            .map(|s| s.told(now))
            .collect();
        let gone = self.gone.iter().rev();
        let gone = gone.take_while(|(number, _)| !whole && *number > known);
        let gone = gone.filter(|(_, id)| !self.shown.contains_key(id));
        Told {
            targets: (whole || !targets.is_empty()).then_some(targets),
            whole,
            gone: gone.map(|(_, id)| id.clone()).collect(),
        }
    }
}

impl Shown {
    fn told(&self, now: Time) -> Target {
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
