//! What entry instances have been told of targets, by number.
//!
//! Each change of a target gets the next number. Whoever names the number that it
//! has is told of what has changed since. State that grows with engines and
//! adapters thus travels once to each entry instance, and again only where it
//! changes.

use std::collections::{BTreeMap, VecDeque};

use base::Time;
use wire::fleet::{Resident, Target};

/// Targets that are gone and remembered for whoever hasn't been told; with an older
/// number all is told anew.
const GONE_MOST: usize = 1_000;

/// Bits of a number that count; those above tell lives apart.
const COUNT_BITS: u32 = 40;

/// The numbered state of targets.
#[derive(Debug)]
pub(super) struct News {
    last: u64,
    /// The number from which changes are known one by one.
    floor: u64,
    shown: BTreeMap<String, Shown>,
    gone: VecDeque<(u64, String)>,
}

/// A target as it was numbered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Shown {
    number: u64,
    /// Its residents say when they can be used in [`Shown::ready`].
    target: Target,
    ready: Vec<Time>,
}

/// What an asker is told.
#[derive(Debug, Default)]
pub(super) struct Told {
    pub(super) targets: Option<Vec<Target>>,
    pub(super) whole: bool,
    pub(super) gone: Vec<String>,
}

impl News {
    /// Begins to count; `serial` differs between lives.
    pub(super) fn new(serial: u64) -> Self {
        let first = (serial % (1 << (64 - COUNT_BITS))).max(1) << COUNT_BITS;
        News {
            last: first + 1,
            floor: first + 1,
            shown: BTreeMap::new(),
            gone: VecDeque::new(),
        }
    }

    /// Returns the newest number.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Makes everybody be told of all targets anew, as they belong to other zones now.
    pub(super) fn restart(&mut self) {
        self.last += 1;
        self.floor = self.last;
        self.shown.clear();
        self.gone.clear();
    }

    /// Takes a target as it is now; its residents name no time, `ready` does.
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

    /// Notes that a target is gone.
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

    /// Returns the ids of all targets that were shown.
    pub(super) fn ids(&self) -> Vec<String> {
        self.shown.keys().cloned().collect()
    }

    /// Returns what has changed since the number `known`, and in any case the targets
    /// `again`; all where `known` is of another life or too old.
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
