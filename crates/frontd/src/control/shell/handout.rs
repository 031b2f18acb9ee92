//! Editions that entry instances are getting, cut and packed once for all.

use std::collections::{BTreeMap, VecDeque};

use telemetry::exposed;
use wire::{
    fleet::{Edition, Part},
    patch::digest,
};

/// Editions kept for whoever has begun to get them. Changes that follow each other
/// within a tenth of a second leave each one there for almost half a second.
const KEPT: usize = 4;

/// The newest editions, the last one last.
#[derive(Debug, Default)]
pub(super) struct Handout {
    kept: VecDeque<Kept>,
}

#[derive(Debug)]
struct Kept {
    edition: Edition,
    digest: u64,
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
    pub(super) fn keep(&mut self, edition: &Edition) {
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept {
            edition: edition.clone(),
            digest: digest(&edition.body),
            parts: BTreeMap::new(),
        });
    }

    /// Returns a part of an edition that is kept.
    pub(super) fn part(&mut self, number: u64, from: u64) -> Option<Part> {
        let mut kept = self.kept.iter_mut();
        let kept = kept.find(|kept| kept.edition.number == number)?;
        let part = kept.part(from)?;
        exposed().edition_bytes(part.packed.len());
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
