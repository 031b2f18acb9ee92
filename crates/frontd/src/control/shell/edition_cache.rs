//! Editions that entry instances download. Each is split into parts and packed once for
//! all of them.

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

/// How long an edition is kept after a part of it was last requested: longer than an
/// entry instance needs to turn to another source after it has lost one.
const RETENTION: Duration = Duration::from_secs(3);

/// Most bytes of editions that are kept besides the newest one. The one requested least
/// recently is evicted first.
const MAX_CACHED: Bytes = Bytes(32 << 20);

/// The newest editions, in the order of publication.
#[derive(Debug, Default)]
pub(super) struct EditionCache {
    editions: VecDeque<CachedEdition>,
}

#[derive(Debug)]
struct CachedEdition {
    edition: Edition,
    digest: u64,
    /// When it was published or last requested.
    last_used: Time,
    /// The parts requested so far, by their offset.
    parts: BTreeMap<u64, Part>,
}

impl EditionCache {
    /// Returns the number of the newest edition.
    pub(super) fn newest(&self) -> Option<u64> {
        self.editions.back().map(|cached| cached.edition.number)
    }

    /// Adds the newest edition and keeps those before it.
    ///
    /// Failure: an entry instance has downloaded half of an edition when its source dies
    /// and a newer one is published. If other instances kept only editions that were
    /// requested from them, the download would start again from the beginning.
    ///
    /// Failure: a link carries an edition more slowly than four changes are made. If only
    /// the last four editions were kept, it would be evicted before its download is
    /// complete, and so would the next.
    pub(super) fn insert(&mut self, now: Time, edition: &Edition) {
        self.editions
            .retain(|cached| now.since(cached.last_used) < RETENTION);
        while self.bytes() > MAX_CACHED.get() {
            self.evict_oldest();
        }
        self.editions.push_back(CachedEdition {
            edition: edition.clone(),
            digest: digest(&edition.body),
            last_used: now,
            parts: BTreeMap::new(),
        });
    }

    fn bytes(&self) -> u64 {
        let sizes = self
            .editions
            .iter()
            .map(|cached| cached.edition.body.len() as u64);
        sizes.sum()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.editions.iter().map(|cached| cached.last_used).min();
        let at = self
            .editions
            .iter()
            .position(|cached| Some(cached.last_used) == oldest);
        if let Some(at) = at {
            self.editions.remove(at);
        }
    }

    /// Returns the part at offset `from` of an edition that is cached.
    pub(super) fn part(&mut self, now: Time, number: u64, from: u64) -> Option<Part> {
        let mut cached = self.editions.iter_mut();
        let cached = cached.find(|cached| cached.edition.number == number)?;
        cached.last_used = now;
        let part = cached.part(from)?;
        prom_metrics().edition_bytes(part.packed.len());
        Some(part)
    }
}

impl CachedEdition {
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
#[path = "../../../tests/unit/edition_cache.rs"]
mod tests;
