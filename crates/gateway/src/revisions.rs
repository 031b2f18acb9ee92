//! Named versions of adapters, told to each asker once.
//!
//! Failure: every answer of a control instance carried all versions that were ever
//! named. With some thousands the link of an entry instance carried nothing else, and
//! exchanges were lost by their time limit. Each change has a number here, and an
//! asker is told what came after the number that it knows, a bounded part at a time.

use std::collections::BTreeMap;

/// Versions in one answer: some 20 KB, which a link of 10 Mbit/s carries in 16 ms.
pub const TOLD_MAX: usize = 1_000;

/// The newest version of each adapter, in the order of the changes.
#[derive(Clone, Debug)]
pub struct Revisions {
    /// The number before the first change.
    first: u64,
    /// The number of the last change.
    last: u64,
    named: BTreeMap<String, Named>,
    /// Adapters by the number of their last change.
    order: BTreeMap<u64, String>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u32,
    change: u64,
}

/// What an asker doesn't know yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Adapters and their newest versions.
    pub versions: Vec<(String, u32)>,
    /// The number that the asker knows with them.
    pub known: u64,
}

impl Revisions {
    /// Begins without any version; `first` begins the numbers, and differs between
    /// lives, so that what an asker knows of another life matches nothing.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Revisions {
            first,
            last: first,
            named: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Takes all newest versions, and numbers those that have changed.
    pub fn take(&mut self, versions: &BTreeMap<String, u32>) {
        for (adapter, version) in versions {
            let held = self.named.get(adapter);
            if held.is_some_and(|held| held.version == *version) {
                continue;
            }
            if let Some(held) = held {
                self.order.remove(&held.change);
            }
            self.last += 1;
            let named = Named {
                version: *version,
                change: self.last,
            };
            self.named.insert(adapter.clone(), named);
            self.order.insert(self.last, adapter.clone());
        }
    }

    /// Returns what was named after the change `known`, the oldest first and at most
    /// [`TOLD_MAX`]; from the first change on where `known` is of another life.
    #[must_use]
    pub fn since(&self, known: u64) -> Told {
        let ours = (self.first..=self.last).contains(&known);
        let from = if ours { known } else { self.first };
        let newer = self.order.range(from + 1..).take(TOLD_MAX);
        let newer: Vec<_> = newer.collect();
        let known = newer.last().map_or(self.last, |(change, _)| **change);
        let versions = newer.into_iter().map(|(_, adapter)| {
            let version = self.named[adapter].version;
            (adapter.clone(), version)
        });
        Told {
            versions: versions.collect(),
            known,
        }
    }
}
