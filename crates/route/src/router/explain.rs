//! Says why a request goes where it does, by the very functions that choose.

use base::{TargetNo, Time};

use super::{Member, Router, known::Known};
use crate::Ask;

/// Where the next request would go, and among what.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The target that would be chosen.
    pub next: Option<TargetNo>,
    /// All targets of the pool; engines by their rank as the adapter's home.
    pub candidates: Vec<Candidate>,
}

/// One target of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its number.
    pub target: TargetNo,
    /// Whether it holds the adapter.
    pub holds: bool,
    /// Part of its places in use, as far as they count for the class.
    pub load: f32,
    /// Whether it may be chosen.
    pub standing: Standing,
}

/// Whether a target may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Usable,
    /// It failed too often, and is left out for a while.
    LeftOut,
    /// The platform says that it is to stop.
    Leaving,
    /// It can't be reached from here.
    Unreachable,
}

impl Router {
    /// Explains where a request would go, and changes nothing: no demand is
    /// counted and nothing is drawn, so that looking never moves a request.
    /// Among plain targets that are equally loaded the choice is drawn; the
    /// first of them is named here.
    #[must_use]
    pub fn explain(&self, now: Time, ask: &Ask) -> Explanation {
        let next = match ask.key {
            Some(key) => self.pick(now, ask, key, &[]),
            None => self.least_loaded(now, ask.pool, &[], 0.0),
        };
        let members = self.pools.get(ask.pool.0 as usize);
        let mut members = members.cloned().unwrap_or_default();
        if let Some(key) = ask.key {
            let hash = self.hash(key.adapter);
            members.sort_by_key(|m| std::cmp::Reverse(place::home_rank(hash, m.hash)));
        }
        let candidates = members.iter().filter_map(|m| self.candidate(now, ask, m));
        Explanation {
            next,
            candidates: candidates.collect(),
        }
    }

    fn candidate(&self, now: Time, ask: &Ask, member: &Member) -> Option<Candidate> {
        let known = self.known(member.target)?;
        Some(Candidate {
            target: member.target,
            holds: ask.key.is_some_and(|key| known.residents.contains(&key)),
            load: known.load(now, ask.class, self.begin),
            standing: known.standing(now),
        })
    }
}

impl Known {
    fn standing(&self, now: Time) -> Standing {
        if self.leaving {
            return Standing::Leaving;
        }
        if !self.reachable {
            return Standing::Unreachable;
        }
        match self.is_out(now) {
            true => Standing::LeftOut,
            false => Standing::Usable,
        }
    }
}
