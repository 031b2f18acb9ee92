//! Fingerprints of the keys of one brand.

use std::collections::{BTreeMap, BTreeSet};

use base::record;

/// Keys with a date are kept in buckets of one minute and forgotten by bucket.
const BUCKET_MS: u64 = 60_000;
/// Number of new fingerprints that are merged into the sorted set at once.
const FRESH_MAX: usize = 4_096;

record! {
    /// The fingerprints of one brand. The lowest bit of a fingerprint tells whether the
    /// request certainly ran.
    #[derive(Default)]
    pub(crate) struct Prints {
        undated: Set,
        /// Number of keys without date that are remembered in full, and will each need a
        /// fingerprint in `undated`.
        reserved: usize,
        dated: BTreeMap<u64, Set>,
        /// Total size of the sets in `dated`, which would take too long to add up for
        /// each key.
        dated_len: usize,
        /// Keys with an earlier date were forgotten; in milliseconds since 1970.
        floor: u64,
    }

    /// A set of fingerprints of 8 bytes each: most of them sorted, the newest in a small
    /// tree until they are merged.
    #[derive(Default)]
    struct Set {
        sorted: Vec<u64>,
        fresh: BTreeSet<u64>,
    }
}

impl Prints {
    pub(crate) fn len(&self) -> usize {
        self.undated.len() + self.dated_len
    }

    /// Returns the number of keys without date, including those still remembered in full.
    pub(crate) fn undated(&self) -> usize {
        self.undated.len() + self.reserved
    }

    /// Returns whether the request of a key certainly ran; none for an unknown key.
    pub(crate) fn find(&self, dated: Option<u64>, print: u64) -> Option<bool> {
        let minute = dated.and_then(|date| self.dated.get(&(date / BUCKET_MS)));
        let by_date = minute.and_then(|set| set.find(print));
        by_date.or_else(|| self.undated.find(print))
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

    pub(crate) fn add(&mut self, dated: Option<u64>, print: u64, ran: bool) {
        let print = print | u64::from(ran);
        let date = match dated {
            None => return self.undated.add(print),
            // The bucket was forgotten while this key was remembered in full.
            Some(date) if self.forgot(date) => return,
            Some(date) => date,
        };
        let set = self.dated.entry(date / BUCKET_MS).or_default();
        let before = set.len();
        set.add(print);
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
        self.sorted.len() + self.fresh.len()
    }

    fn find(&self, print: u64) -> Option<bool> {
        let at = self.sorted.partition_point(|p| *p < print);
        let sorted = self.sorted.get(at).copied();
        let fresh = self.fresh.range(print..).next().copied();
        let hit = [sorted, fresh]
            .into_iter()
            .flatten()
            .find(|p| p & !1 == print)?;
        Some(hit & 1 == 1)
    }

    fn add(&mut self, print: u64) {
        self.fresh.insert(print);
        if self.fresh.len() >= FRESH_MAX {
            let fresh = std::mem::take(&mut self.fresh);
            self.sorted.reserve_exact(fresh.len());
            self.sorted.extend(fresh);
            self.sorted.sort_unstable();
        }
    }
}
