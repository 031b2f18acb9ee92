//! Choices among targets that are about equally loaded.
//!
//! Pattern: many instances choose by load that all of them heard a quarter of a second
//! ago. Each takes the same least loaded target, all at once, until they hear of it: the
//! more instances there are, the longer the queue that they make there while others are
//! idle. Chosen at random among those that differ by little, none is taken by all.

use base::{StableHash, stable_hash};

use super::{Known, View};

/// Targets that are drawn, of which the less loaded one is taken. However many instances
/// there are, the least loaded of many targets gets no more than twice its part.
const DRAWN: usize = 2;

/// How much more than the least a target may cost to be drawn: half of its slots. Beyond
/// that it is behind, fails or can't be reached.
const WORSE: f64 = 0.5;

impl View {
    /// Returns the less loaded of some targets, drawn among those in the zone of the one
    /// of the least cost.
    pub(super) fn pick<'a>(&self, rated: &[(f64, &'a Known)]) -> Option<&'a Known> {
        let least = |a: &&(f64, &Known), b: &&(f64, &Known)| a.0.total_cmp(&b.0);
        let best = rated.iter().min_by(least)?;
        let (lowest, zone) = (best.0, &best.1.target.zone);
        let near = rated.iter().filter(|(cost, _)| *cost <= lowest + WORSE);
        let near = near.filter(|(_, known)| known.target.zone == *zone);
        let mut near: Vec<_> = near.collect();
        near.sort_by_cached_key(|(_, known)| self.chance(known));
        let (_, picked) = near.into_iter().take(DRAWN).min_by(least)?;
        Some(picked)
    }

    /// Returns a number that differs between instances, requests and targets.
    fn chance(&self, known: &Known) -> StableHash {
        let id = known.target.id.as_bytes();
        stable_hash(&[&self.seed.to_le_bytes(), &self.sent.to_le_bytes(), id])
    }
}
