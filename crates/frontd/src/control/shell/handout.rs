//! Editions that entry instances are getting, cut and packed once for all.

use std::collections::{BTreeMap, VecDeque};

use telemetry::exposed;
use wire::fleet::{Edition, Part};

/// Editions kept for whoever has begun to get them. Changes that follow each other
/// within a tenth of a second leave each one there for almost half a second.
const KEPT: usize = 4;

/// Editions that were asked for, the newest last.
#[derive(Debug, Default)]
pub(super) struct Handout {
    kept: VecDeque<Kept>,
}

#[derive(Debug)]
struct Kept {
    edition: Edition,
    /// Parts by where they begin.
    parts: BTreeMap<u64, Part>,
}

impl Handout {
    /// Returns a part of an edition that is the newest, or was lately.
    pub(super) fn part(
        &mut self,
        newest: Option<&Edition>,
        number: u64,
        from: u64,
    ) -> Option<Part> {
        if let Some(newest) = newest.filter(|newest| newest.number == number) {
            self.keep(newest);
        }
        let kept = &mut self.kept;
        let kept = kept.iter_mut().find(|kept| kept.edition.number == number)?;
        let part = kept.part(from)?;
        exposed().edition_bytes(part.packed.len());
        Some(part)
    }

    fn keep(&mut self, edition: &Edition) {
        if self
            .kept
            .iter()
            .any(|kept| kept.edition.number == edition.number)
        {
            return;
        }
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept {
            edition: edition.clone(),
            parts: BTreeMap::new(),
        });
    }
}

impl Kept {
    fn part(&mut self, from: u64) -> Option<Part> {
        if let Some(part) = self.parts.get(&from) {
            return Some(part.clone());
        }
        let part = Part::of(&self.edition, from)?;
        self.parts.insert(from, part.clone());
        Some(part)
    }
}
