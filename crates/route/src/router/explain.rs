//! Explains where a request would go, by choosing the target on a copy.

use base::{TargetNo, Time};

use super::{Member, Router, target_state::TargetState};
use crate::RequestSpec;

/// The target that a request would be sent to, and all targets considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The target that would be chosen; `None` if no target can take the request.
    pub next: Option<TargetNo>,
    /// All targets of the pool; engines are sorted by their rank as the adapter's home.
    pub candidates: Vec<Candidate>,
}

/// One target of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number of the target.
    pub target: TargetNo,
    /// Whether the adapter is resident on it.
    pub holds: bool,
    /// Part of its capacity in use, as far as it counts for the request's class; above
    /// one, requests queue.
    pub load: f32,
    /// Whether the target may be chosen.
    pub eligibility: Eligibility,
}

/// Whether a target may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// The target may be chosen.
    Usable,
    /// The target failed too often and is not chosen for a while.
    Ejected,
    /// The platform announced that the target will stop.
    Leaving,
    /// The target can't be reached from this instance.
    Unreachable,
    /// The target has asked this instance for rest, or has just rested.
    Resting,
}

impl Router {
    /// Explains where a request would go, by [`Router::choose`] on a copy: the demand is
    /// counted and a random number drawn there, so that a query never changes later choices.
    #[must_use]
    pub fn explain(&self, now: Time, spec: &RequestSpec) -> Explanation {
        let chosen = self.clone().choose(now, spec, &[]);
        let next = chosen.ok().map(|chosen| chosen.target);
        let members = self.pools.get(spec.pool.0 as usize);
        let mut members = members.cloned().unwrap_or_default();
        if let Some(key) = spec.key {
            let hash = self.hash(key.adapter);
            members.sort_by_key(|m| std::cmp::Reverse(place::home_rank(hash, m.hash)));
        }
        let candidates = members.iter().filter_map(|m| self.candidate(now, spec, m));
        Explanation {
            next,
            candidates: candidates.collect(),
        }
    }

    fn candidate(&self, now: Time, spec: &RequestSpec, member: &Member) -> Option<Candidate> {
        let state = self.state(member.target)?;
        Some(Candidate {
            target: member.target,
            holds: spec.key.is_some_and(|key| state.residents.contains(&key)),
            load: state.load(now, spec.class, self.first_token),
            eligibility: match self.rests.wait(now, &member.target) {
                Some(_) if state.usable() => Eligibility::Resting,
                _ => state.eligibility(now),
            },
        })
    }
}

impl TargetState {
    fn eligibility(&self, now: Time) -> Eligibility {
        if self.leaving || self.said_leaving {
            return Eligibility::Leaving;
        }
        if !self.reachable {
            return Eligibility::Unreachable;
        }
        match self.is_ejected(now) {
            true => Eligibility::Ejected,
            false => Eligibility::Usable,
        }
    }
}
