//! Editions that entry instances are getting, cut and packed once for all.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Bytes, Time};
use telemetry::prom_metrics;
use wire::{
    fleet::{Edition, Part},
    patch::digest,
};

/// How long an edition is kept after anybody asked for a part of it: longer than an
/// entry instance needs to ask another source after a lost one.
const KEPT: Duration = Duration::from_secs(3);

/// The most that editions take beside the newest one; those that were asked for longest
/// ago go first.
const KEPT_MOST: Bytes = Bytes(32 << 20);

/// The newest editions, the last one last.
#[derive(Debug, Default)]
pub(super) struct Handout {
    kept: VecDeque<Kept>,
}

#[derive(Debug)]
struct Kept {
    edition: Edition,
    digest: u64,
    /// When it came or was last asked for.
    used: Time,
    /// Parts that were asked for, by where they begin.
    parts: BTreeMap<u64, Part>,
}

impl Handout {
    /// Returns the number of the newest edition.
    pub(super) fn newest(&self) -> Option<u64> {
        self.kept.back().map(|kept| kept.edition.number)
    }

    /// Keeps the newest edition beside those before it.
    ///
    /// Failure: an entry instance has got half of an edition when its source dies and
    /// a newer one is published. The others never handed it out; had they kept only
    /// what was asked for there, it would begin anew.
    ///
    /// Failure: an edition comes more slowly than four changes follow each other. Had
    /// only so many been kept, it would be gone before it was whole, and the next as well.
    pub(super) fn keep(&mut self, now: Time, edition: &Edition) {
        self.kept.retain(|kept| now.since(kept.used) < KEPT);
        while self.bytes() > KEPT_MOST.get() {
            self.drop_oldest();
        }
        self.kept.push_back(Kept {
            edition: edition.clone(),
            digest: digest(&edition.body),
            used: now,
            parts: BTreeMap::new(),
        });
    }

    fn bytes(&self) -> u64 {
        let sizes = self.kept.iter().map(|kept| kept.edition.body.len() as u64);
        sizes.sum()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.kept.iter().map(|kept| kept.used).min();
        let at = self.kept.iter().position(|kept| Some(kept.used) == oldest);
        if let Some(at) = at {
            self.kept.remove(at);
        }
    }

    /// Returns a part of an edition that is kept.
    pub(super) fn part(&mut self, now: Time, number: u64, from: u64) -> Option<Part> {
        let mut kept = self.kept.iter_mut();
        let kept = kept.find(|kept| kept.edition.number == number)?;
        kept.used = now;
        let part = kept.part(from)?;
        prom_metrics().edition_bytes(part.packed.len());
        Some(part)
    }
}

impl Kept {
    fn part(&mut self, from: u64) -> Option<Part> {
        if let Some(part) = self.parts.get(&from) {
            return Some(part.clone());
        }
        let part = Part::of(&self.edition, self.digest, from)?;
        self.parts.insert(from, part.clone());
        Some(part)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/handout.rs"]
mod tests;
