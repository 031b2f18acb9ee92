//! The entry's choice of a target.

use base::{AdapterNo, Failure, Refusal, TargetNo, Time, Version};

use crate::{Ask, Choice, News, Target, ZoneNo};

/// An entry instance's directory of targets and its choice among them.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneNo,
    targets: Vec<(Target, u32)>,
}

impl Router {
    /// Makes a router for an instance in `zone`; `seed` breaks ties.
    #[must_use]
    pub fn new(zone: ZoneNo, _seed: u64) -> Self {
        Router {
            zone,
            targets: Vec::new(),
        }
    }

    /// Takes in one change.
    pub fn note(&mut self, _now: Time, news: News) {
        match news {
            News::Target(target) => self.targets.push((target, 0)),
            News::Removed(gone) | News::Leaving(gone) => {
                self.targets.retain(|(t, _)| t.target != gone);
            }
            _ => {}
        }
    }

    /// Chooses the target for one attempt, passing over those in `avoid`.
    ///
    /// # Errors
    ///
    /// Fails as `not run` when no target of the pool can take it.
    pub fn choose(&mut self, _now: Time, ask: &Ask, avoid: &[TargetNo]) -> Result<Choice, Failure> {
        let fit = |t: &&(Target, u32)| t.0.pool == ask.pool && !avoid.contains(&t.0.target);
        let best = self.targets.iter().filter(fit);
        let best = best.min_by_key(|(t, n)| (*n, t.zone != self.zone, t.target));
        match best {
            Some((t, _)) => Ok(Choice {
                target: t.target,
                resident: false,
            }),
            None => Err(Failure::not_run(Refusal::Unavailable)),
        }
    }

    /// Returns the version to pin a new request to: `newest`, or during a
    /// roll the version before it, until the newest is loaded somewhere.
    #[must_use]
    pub fn pin(&self, _now: Time, _adapter: AdapterNo, newest: Version) -> Version {
        newest
    }
}
