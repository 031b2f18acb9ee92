//! Fingerprints of the keys of one brand.

use std::collections::{BTreeMap, BTreeSet};

use base::record;

/// Keys with a date are forgotten by the minute.
const BUCKET_MS: u64 = 60_000;
/// New fingerprints are sorted into the large set in batches of this size.
const FRESH_MAX: usize = 4_096;

record! {
    /// The fingerprints of one brand. The lowest bit says whether the request
    /// certainly ran.
    #[derive(Default)]
    pub(crate) struct Prints {
        undated: Set,
        /// Undated keys that are remembered in full, and will need room here.
        reserved: usize,
        dated: BTreeMap<u64, Set>,
        /// Keys in `dated`; counting the sets would take long at each key.
        dated_len: usize,
        /// Keys with a date before this were forgotten, in milliseconds.
        floor: u64,
    }

    /// A set of fingerprints, 8 bytes each: sorted, and a few not yet.
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

    /// Returns how many undated keys there are, counting those that are still
    /// remembered in full.
    pub(crate) fn undated(&self) -> usize {
        self.undated.len() + self.reserved
    }

    /// Returns whether a key ran for certain; nothing for an unknown key.
    pub(crate) fn find(&self, dated: Option<u64>, print: u64) -> Option<bool> {
        let minute = dated.and_then(|date| self.dated.get(&(date / BUCKET_MS)));
        let by_date = minute.and_then(|set| set.find(print));
        by_date.or_else(|| self.undated.find(print))
    }

    /// Tells whether keys of this date may have been forgotten.
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
            // The bucket was given up while the key was remembered in full.
            Some(date) if self.forgot(date) => return,
            Some(date) => date,
        };
        let set = self.dated.entry(date / BUCKET_MS).or_default();
        let before = set.len();
        set.add(print);
        self.dated_len += set.len() - before;
    }

    /// Forgets the oldest minutes until at most `max` dated keys are left, and
    /// remembers up to which date.
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
