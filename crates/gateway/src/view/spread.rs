//! Random choice among targets with about equal load.
//!
//! Pattern: many instances choose by loads that all of them received a quarter of a
//! second ago. Each takes the same least loaded target, all at once, until they hear of
//! each other's requests: the more instances there are, the longer the queue they build
//! up there while other targets are idle. With a random choice among targets that differ
//! little, no target is taken by all.

use base::{StableHash, stable_hash};

use super::{TargetState, View};

/// Number of targets drawn, of which the less loaded one is taken. However many instances
/// there are, the least loaded of many targets gets no more than twice its share.
const CANDIDATES: usize = 2;

/// Maximum excess over the lowest cost for a target to be drawn: half of its slots.
/// Beyond that the target has a backlog, fails or can't be reached.
const MAX_EXCESS: f64 = 0.5;

impl View {
    /// Returns the less loaded of [`CANDIDATES`] targets, drawn among those in the zone
    /// of the target with the lowest cost.
    pub(super) fn pick<'a>(&self, rated: &[(f64, &'a TargetState)]) -> Option<&'a TargetState> {
        let least = |a: &&(f64, &TargetState), b: &&(f64, &TargetState)| a.0.total_cmp(&b.0);
        let best = rated.iter().min_by(least)?;
        let (lowest, zone) = (best.0, &best.1.target.zone);
        let near = rated
            .iter()
            .filter(|(cost, _)| *cost <= lowest + MAX_EXCESS);
        let near = near.filter(|(_, known)| known.target.zone == *zone);
        let mut near: Vec<_> = near.collect();
        near.sort_by_cached_key(|(_, known)| self.rank(known));
        let (_, picked) = near.into_iter().take(CANDIDATES).min_by(least)?;
        Some(picked)
    }

    /// Returns a pseudo-random number that depends on instance, request and target.
    pub(super) fn rank(&self, known: &TargetState) -> StableHash {
        let id = known.target.id.as_bytes();
        stable_hash(&[&self.seed.to_le_bytes(), &self.sent.to_le_bytes(), id])
    }
}
