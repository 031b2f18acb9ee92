//! Values that change seldom, such as the adapter versions set by operators, sent to each
//! entry instance once.
//!
//! Failure: every answer of a control instance carried all versions that were ever set.
//! With some thousands of them an entry instance's link carried nothing else, and
//! exchanges timed out. So each change has a number here, and a requester gets the
//! changes after the number that it knows, a limited number at a time.

use std::collections::BTreeMap;

/// Maximum number of versions in one answer: some 20 KB, which a link of 10 Mbit/s
/// carries in 16 ms.
pub const MAX_PER_ANSWER: usize = 1_000;

/// The newest value of each name, in the order of the changes: by default the version of each
/// adapter.
#[derive(Clone, Debug)]
pub struct Revisions<V = u32> {
    /// The number before the first change.
    first: u64,
    /// The number of the last change.
    last: u64,
    versions: BTreeMap<String, Numbered<V>>,
    /// Names by the number of their last change.
    by_change: BTreeMap<u64, String>,
}

#[derive(Clone, Copy, Debug)]
struct Numbered<V> {
    version: V,
    change: u64,
}

/// The changes that a requester does not know yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewVersions<V = u32> {
    /// Names and their newest values.
    pub versions: Vec<(String, V)>,
    /// The number of the last change that the requester knows once it has these.
    pub known: u64,
}

impl<V: Clone + PartialEq> Revisions<V> {
    /// Creates an empty state. Change numbers start after `first`, which has to differ
    /// between incarnations of the process, so that a number known from another
    /// incarnation matches nothing.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Revisions {
            first,
            last: first,
            versions: BTreeMap::new(),
            by_change: BTreeMap::new(),
        }
    }

    /// Returns whether a name has a value.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.versions.contains_key(name)
    }

    /// Applies the newest value of each name and numbers those that have changed.
    pub fn update(&mut self, versions: &BTreeMap<String, V>) {
        for (name, version) in versions {
            let old = self.versions.get(name);
            if old.is_some_and(|old| old.version == *version) {
                continue;
            }
            if let Some(old) = old {
                self.by_change.remove(&old.change);
            }
            self.last += 1;
            let new = Numbered {
                version: version.clone(),
                change: self.last,
            };
            self.versions.insert(name.clone(), new);
            self.by_change.insert(self.last, name.clone());
        }
    }

    /// Forgets the names that `keep` returns false for.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.versions.retain(|name, _| keep(name));
        let versions = &self.versions;
        self.by_change.retain(|_, name| versions.contains_key(name));
    }

    /// Returns the changes after `known`, oldest first and at most [`MAX_PER_ANSWER`]; all
    /// changes from the first one on if `known` is from another incarnation.
    #[must_use]
    pub fn since(&self, known: u64) -> NewVersions<V> {
        let valid = (self.first..=self.last).contains(&known);
        let from = if valid { known } else { self.first };
        let newer = self.by_change.range(from + 1..).take(MAX_PER_ANSWER);
        let newer: Vec<_> = newer.collect();
        let known = newer.last().map_or(self.last, |(change, _)| **change);
        let versions = newer.into_iter().map(|(_, name)| {
            let version = self.versions[name].version.clone();
            (name.clone(), version)
        });
        NewVersions {
            versions: versions.collect(),
            known,
        }
    }
}
