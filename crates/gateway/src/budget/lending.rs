//! Retries that an instance lends to others and borrows from them.
//!
//! The design is in docs/design/retry-shares.md.

use std::time::Duration;

use base::{DriftMargin, Time};

use super::{Budget, Counts};

/// How long retries that were lent may be used, from the request to lend them.
pub(super) const LIFE: Duration = Duration::from_secs(2);

/// How far back an instance looks to tell how many retries it needs.
const LOOK_BACK: Duration = Duration::from_secs(1);

/// Retries that an instance expects to need, for each that it needed within the time that it
/// looks back: until what it asks for has come, and for a while.
const EXPECTED: usize = 2;

/// Part of its retries that an instance keeps for itself: one of so many.
const KEPT: usize = 4;

/// Most retries of a service that one instance wants at a time.
const MAX_WANTED: usize = 1_000;

/// Returns how long a lender counts what it has lent, besides the window.
pub(super) fn lent_for() -> Duration {
    DriftMargin::DEFAULT.stretch(LIFE)
}

impl Counts {
    /// Forgets what no longer counts.
    pub(super) fn expire(&mut self, now: Time, window: Duration) {
        while self.needs.front().is_some_and(|at| now.since(*at) > window) {
            self.needs.pop_front();
        }
        let over = |(at, _): &(Time, usize)| now.since(*at) > lent_for() + window;
        while self.lent.front().is_some_and(over) {
            self.lent.pop_front();
        }
        self.borrowed.retain(|(end, _)| now < *end);
    }

    /// Returns the retries that were lent and may still be used, or were within the window.
    pub(super) fn lent(&self) -> usize {
        self.lent.iter().map(|(_, count)| count).sum()
    }

    /// Uses a retry that was borrowed, the one that ends first; returns whether there was one.
    pub(super) fn use_borrowed(&mut self) -> bool {
        let first = self.borrowed.iter().enumerate();
        let first = first.min_by_key(|(_, (end, _))| *end).map(|(no, _)| no);
        let Some(first) = first else {
            return false;
        };
        self.borrowed[first].1 -= 1;
        if self.borrowed[first].1 == 0 {
            self.borrowed.remove(first);
        }
        true
    }

    /// Returns the retries that the instance expects to need.
    fn expected(&self, now: Time) -> usize {
        let recent = self.needs.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) < LOOK_BACK);
        EXPECTED * recent.count()
    }
}

impl Budget {
    /// Sets whether instances lend retries to each other: where a route has a tight goal, see
    /// [`crate::table::Table::has_tight_goals`].
    pub fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
    }

    /// Returns whether instances lend retries to each other.
    #[must_use]
    pub fn is_tight(&self) -> bool {
        self.tight
    }

    /// Returns the retries that this instance wants from others, by service.
    pub fn wanted(&mut self, now: Time) -> Vec<(String, u32)> {
        if !self.tight {
            return Vec::new();
        }
        let services: Vec<_> = self.services.keys().cloned().collect();
        let wanted = services.into_iter().filter_map(|service| {
            let free = self.free(now, &service);
            let counts = self.counts(now, &service);
            let borrowed: usize = counts.borrowed.iter().map(|(_, count)| count).sum();
            let wanted = counts.expected(now).saturating_sub(free + borrowed);
            (wanted > 0).then(|| (service, wanted.min(MAX_WANTED) as u32))
        });
        wanted.collect()
    }

    /// Lends up to `asked` retries, and counts them as sent for as long as they may be used.
    ///
    /// Pattern: this instance keeps what it expects to need, and a part of the rest.
    pub fn lend(&mut self, now: Time, service: &str, asked: u32) -> u32 {
        if !self.tight || !self.services.contains_key(service) {
            return 0;
        }
        let free = self.free(now, service);
        let counts = self.counts(now, service);
        let spare = free - free.div_ceil(KEPT);
        let spare = spare.saturating_sub(counts.needs.len());
        let lent = spare.min(asked as usize);
        if lent > 0 {
            base::hit!(retries_lent);
            counts.lent.push_back((now, lent));
        }
        lent as u32
    }

    /// Takes retries that a control instance has granted in answer to a question of `asked`,
    /// and that may be used for `life` from then on.
    pub fn granted(&mut self, asked: Time, service: &str, count: u32, life: Duration) {
        if count > 0 {
            let end = asked + life.min(LIFE);
            let counts = self.counts(asked, service);
            counts.borrowed.push((end, count as usize));
        }
    }

    /// Returns the retries that this instance may still send by itself.
    fn free(&mut self, now: Time, service: &str) -> usize {
        let (usable, used) = self.usable(now, service);
        let free = usable - used as f64 - self.rounding;
        if free < 0.0 { 0 } else { free as usize + 1 }
    }
}
