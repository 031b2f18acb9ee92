//! When refused callers come back.
//!
//! Who comes back soon finds the same shortage, and takes room from a new request that would
//! begin in time. Callers who have long come back late, so that some do after the shortage.
//! But then a rank whose callers have long would be served more than a more urgent one whose
//! callers can't wait: of such a rank, only so many come back late as leave the order as it is.

use std::{collections::BTreeMap, time::Duration};

/// Shortest time after which a refused caller comes back: that between two exchanges.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);

/// Callers who have less time than this come back soon: they won't outlast the shortage.
const PATIENT_FROM: Duration = Duration::from_secs(6);

/// Callers who have more time than this are taken to have no more.
const PATIENT_TO: Duration = Duration::from_secs(20);

/// Parts of its time left at which a patient caller comes back.
const LATE: (f64, f64) = (0.4, 0.8);

/// Part of its time left within which another caller comes back.
const SOON: f64 = 0.32;

/// Ranks of refused requests, and the part of each that is let in over all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits {
    parts: BTreeMap<u8, f64>,
    /// Most time that refused callers had.
    left: BTreeMap<u8, Duration>,
}

impl Waits {
    /// Takes over what is offered and let in, by rank.
    pub(super) fn update(&mut self, ranks: impl Iterator<Item = (u8, f64, f64)>) {
        let mut sums: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
        for (rank, offered, given) in ranks {
            let sum = sums.entry(rank).or_default();
            *sum = (sum.0 + offered, sum.1 + given);
        }
        let parts = sums.into_iter().filter(|(_, (offered, _))| *offered > 0.0);
        self.parts = parts
            .map(|(rank, (offered, given))| (rank, given / offered))
            .collect();
    }

    /// Returns the time after which a refused caller comes back; `later` and `drawn` are drawn
    /// from 0 to 1.
    pub(super) fn again(
        &mut self,
        rank: u8,
        left: Duration,
        (later, drawn): (f64, f64),
    ) -> Duration {
        let left = left.min(PATIENT_TO);
        let most = self.left.entry(rank).or_default();
        *most = left.max(*most);
        let urgent = self.left.range(..rank).map(|(_, left)| *left).min();
        let left = match urgent {
            Some(urgent) if later >= self.spare(rank) => left.min(urgent),
            _ => left,
        };
        let (begin, end) = match left >= PATIENT_FROM {
            true => (left.mul_f64(LATE.0), left.mul_f64(LATE.1)),
            false => (SHORTEST_WAIT.min(left.mul_f64(SOON)), left.mul_f64(SOON)),
        };
        let ahead = self.parts.range(..rank).count();
        let ranks = self.parts.len().max(ahead + 1);
        begin + (end - begin).mul_f64((ahead as f64 + drawn) / ranks as f64)
    }

    /// Returns the part by which a rank is served less than any more urgent one.
    fn spare(&self, rank: u8) -> f64 {
        let own = self.parts.get(&rank).copied().unwrap_or(1.0);
        let urgent = self.parts.range(..rank).map(|(_, part)| *part);
        urgent.fold(1.0, f64::min) - own
    }
}
