//! Random choice among targets with about equal load.
//!
//! Pattern: many instances choose by loads that all of them received a quarter of a
//! second ago. Each takes the same least loaded target, all at once, until they hear of
//! each other's requests: the more instances there are, the longer the queue they build
//! up there while other targets are idle. With a random choice among targets that differ
//! little, no target is taken by all.

use base::{StableHash, stable_hash};

use super::{TargetState, View};
use crate::explain::{Passed, Watch};

/// Number of targets drawn, of which the less loaded one is taken. However many instances
/// there are, the least loaded of many targets gets no more than twice its share.
const CANDIDATES: usize = 2;

/// Maximum excess over the lowest cost for a target to be drawn: half of its slots.
/// Beyond that the target has a backlog, fails or can't be reached.
const MAX_EXCESS: f64 = 0.5;

impl View {
    /// Returns the less loaded of [`CANDIDATES`] targets, drawn among those in the zone
    /// of the target with the lowest cost, and tells `watch` why others are passed over.
    pub(super) fn pick<'a>(
        &self,
        rated: &[(f64, &'a TargetState)],
        watch: &impl Watch,
    ) -> Option<&'a TargetState> {
        let least = |a: &&(f64, &TargetState), b: &&(f64, &TargetState)| a.0.total_cmp(&b.0);
        let best = rated.iter().min_by(least)?;
        let (lowest, zone) = (best.0, &best.1.target.zone);
        let near = rated.iter().filter(|(cost, known)| {
            let near = *cost <= lowest + MAX_EXCESS;
            watch.check(&known.target, near, || Passed::Dearer)
        });
        let near = near.filter(|(_, known)| {
            watch.check(&known.target, known.target.zone == *zone, || {
                Passed::Elsewhere
            })
        });
        let mut near: Vec<_> = near.collect();
        near.sort_by_cached_key(|(_, known)| self.rank(known));
        for (_, known) in near.iter().skip(CANDIDATES) {
            watch.check(&known.target, false, || Passed::NotDrawn);
        }
        near.truncate(CANDIDATES);
        let (_, picked) = near.iter().copied().min_by(least)?;
        for (_, known) in near {
            let taken = known.target.id == picked.target.id;
            watch.check(&known.target, taken, || Passed::Dearer);
        }
        Some(picked)
    }

    /// Returns a pseudo-random number that depends on instance, request and target.
    pub(super) fn rank(&self, known: &TargetState) -> StableHash {
        let id = known.target.id.as_bytes();
        stable_hash(&[&self.seed.to_le_bytes(), &self.sent.to_le_bytes(), id])
    }
}
