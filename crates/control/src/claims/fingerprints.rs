//! Fingerprints of the keys of one brand.

use std::collections::{BTreeMap, BTreeSet};

use base::record;

/// Keys with a date are kept in buckets of one minute and forgotten by bucket.
const BUCKET_MS: u64 = 60_000;
/// Number of new fingerprints that are merged into the sorted list at once.
const UNMERGED_MAX: usize = 4_096;

record! {
    /// The fingerprints of one brand. The lowest bit of a fingerprint tells whether the
    /// request certainly ran.
    #[derive(Default)]
    pub(crate) struct Fingerprints {
        /// Fingerprints of keys without date.
        undated: Set,
        /// Number of keys without date that are remembered in full, and will each need a
        /// fingerprint in `undated`.
        reserved: usize,
        /// Fingerprints of keys with date, by bucket.
        dated: BTreeMap<u64, Set>,
        /// Total size of the sets in `dated`, which would take too long to add up for
        /// each key.
        dated_len: usize,
        /// Keys with an earlier date were forgotten; in milliseconds since 1970.
        floor: u64,
    }

    /// A set of fingerprints of 8 bytes each: most of them in a sorted list, the newest in
    /// a small tree until they are merged into it.
    #[derive(Default)]
    struct Set {
        sorted: Vec<u64>,
        unmerged: BTreeSet<u64>,
    }
}

impl Fingerprints {
    pub(crate) fn len(&self) -> usize {
        self.undated.len() + self.dated_len
    }

    /// Returns the number of keys without date, including those still remembered in full.
    pub(crate) fn undated(&self) -> usize {
        self.undated.len() + self.reserved
    }

    /// Returns whether the request of a key certainly ran; none for an unknown key.
    pub(crate) fn find(&self, dated: Option<u64>, fingerprint: u64) -> Option<bool> {
        let minute = dated.and_then(|date| self.dated.get(&(date / BUCKET_MS)));
        let by_date = minute.and_then(|set| set.find(fingerprint));
        by_date.or_else(|| self.undated.find(fingerprint))
    }

    /// Returns whether keys of this date may have been forgotten.
    pub(crate) fn forgot(&self, date: u64) -> bool {
        date < self.floor
    }

    pub(crate) fn reserve(&mut self, dated: Option<u64>) {
        self.reserved += usize::from(dated.is_none());
    }

    pub(crate) fn release(&mut self, dated: Option<u64>) {
        self.reserved -= usize::from(dated.is_none()).min(self.reserved);
    }

    pub(crate) fn add(&mut self, dated: Option<u64>, fingerprint: u64, ran: bool) {
        let fingerprint = fingerprint | u64::from(ran);
        let date = match dated {
            None => return self.undated.add(fingerprint),
            // The bucket was forgotten while this key was remembered in full.
            Some(date) if self.forgot(date) => return,
            Some(date) => date,
        };
        let set = self.dated.entry(date / BUCKET_MS).or_default();
        let before = set.len();
        set.add(fingerprint);
        self.dated_len += set.len() - before;
    }

    /// Forgets the oldest buckets until at most `max` keys with date are left, and
    /// records up to which date keys were forgotten.
    pub(crate) fn trim(&mut self, max: usize) {
        while self.dated_len > max {
            let Some((minute, set)) = self.dated.pop_first() else {
                return;
            };
            self.dated_len -= set.len();
            self.floor = self.floor.max((minute + 1) * BUCKET_MS);
        }
    }
}

impl Set {
    fn len(&self) -> usize {
        self.sorted.len() + self.unmerged.len()
    }

    fn find(&self, fingerprint: u64) -> Option<bool> {
        let at = self.sorted.partition_point(|p| *p < fingerprint);
        let sorted = self.sorted.get(at).copied();
        let unmerged = self.unmerged.range(fingerprint..).next().copied();
        let hit = [sorted, unmerged]
            .into_iter()
            .flatten()
            .find(|p| p & !1 == fingerprint)?;
        Some(hit & 1 == 1)
    }

    fn add(&mut self, fingerprint: u64) {
        self.unmerged.insert(fingerprint);
        if self.unmerged.len() >= UNMERGED_MAX {
            let unmerged = std::mem::take(&mut self.unmerged);
            self.sorted.reserve_exact(unmerged.len());
            self.sorted.extend(unmerged);
            self.sorted.sort_unstable();
        }
    }
}
