//! Choice of a target for a request.

use std::{collections::BTreeSet, time::Duration};

use base::{SoftwareVersion, Time};

use super::{Choice, TargetState, View, usable};
use crate::explain::{Part, Passed, Watch};

/// Longest rest of a target that is waited for rather than have the adapter loaded elsewhere:
/// the time of a load.
pub const BRIEF_REST: Duration = Duration::from_millis(250);

impl View {
    /// Chooses a target of `service` for a request that uses `adapter` (empty for none)
    /// and has already failed on the targets `tried`. It goes on at the software `wanted`, if
    /// it is the rest of a stream.
    #[must_use]
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        adapter: &str,
        tried: &BTreeSet<String>,
        wanted: Option<&SoftwareVersion>,
    ) -> Choice {
        self.choose_watched(now, (service, adapter), tried, wanted, &())
    }

    /// Returns whether any target holds an adapter, or operators set a version of it.
    #[must_use]
    pub fn has_heard_of(&self, adapter: &str) -> bool {
        let mut targets = self.targets.values();
        self.versions.contains_key(adapter)
            || targets.any(|known| known.residents.contains_key(adapter))
    }

    /// As [`Self::choose`], and tells `watch` what is weighed.
    pub(crate) fn choose_watched(
        &self,
        now: Time,
        (service, adapter): (&str, &str),
        tried: &BTreeSet<String>,
        wanted: Option<&SoftwareVersion>,
        watch: &impl Watch,
    ) -> Choice {
        let of_service = self.targets.values();
        let of_service: Vec<_> = of_service.filter(|k| k.target.service == service).collect();
        let none_stays = !of_service.iter().any(|k| self.takes_new(now, k));
        let ready = of_service.into_iter().filter(|k| {
            let takes = self.takes_new(now, k) || none_stays && self.is_last_resort(now, k);
            watch.check(&k.target, takes, || Passed::Leaving)
        });
        // Nobody waits for a version none of whose targets can take the rest.
        let able = |k: &TargetState| {
            watch.check(&k.target, !k.is_avoided(now), || Passed::Unreachable)
                && watch.check(&k.target, !tried.contains(&k.target.id), || Passed::Tried)
        };
        let ready: Vec<_> = match wanted {
            None => ready.collect(),
            Some(_) => {
                let runs = |k: &TargetState| {
                    watch.check(&k.target, self.runs(now, k, wanted), || Passed::Software)
                };
                ready.filter(|k| runs(k) && able(k)).collect()
            }
        };
        if ready.is_empty() {
            return Choice::NoTarget;
        }
        let holds =
            |k: &TargetState| watch.check(&k.target, self.holds(k, adapter), || k.lacks(adapter));
        // Failure: the only holder of an adapter has crashed, but is listed for seconds
        // more. Requests would go to it again and again. Another copy can be loaded in a
        // quarter of a second, so an unreachable target counts as no holder.
        let holders = ready.iter().copied();
        let holders: Vec<_> = holders
            .filter(|k| holds(k) && (adapter.is_empty() || able(k)))
            .collect();
        if holders.is_empty() {
            return Choice::Missing;
        }
        if let Some(blocked) = self.all_blocked(now, adapter, &ready, &holders, watch) {
            return blocked;
        }
        let holders = holders.into_iter();
        let holders = holders.filter(|k| self.blocked_for(now, k).is_none());
        let holders: Vec<&TargetState> = holders.collect();
        if self.tight {
            return self.choose_by_time(now, &holders, adapter, tried, watch);
        }
        let usable = holders.iter().filter(|k| {
            watch.check(&k.target, usable(k, now, adapter), || {
                Passed::Loading(k.loads_for(now, adapter))
            })
        });
        let rated = usable.map(|k| {
            let parts = self.cost_parts(now, k, tried);
            watch.rated(&k.target, &parts);
            (sum(&parts), *k)
        });
        let rated: Vec<_> = rated.collect();
        if let Some(best) = self.pick(&rated, watch) {
            return Choice::Send(best.target.id.clone());
        }
        let at = holders.iter().filter_map(|k| k.residents.get(adapter));
        let soonest = at.map(|held| held.ready.since(now)).min();
        Choice::Wait(soonest.unwrap_or_default())
    }

    /// Returns what follows if all `holders` of an adapter have used up their limits or rest.
    fn all_blocked(
        &self,
        now: Time,
        adapter: &str,
        ready: &[&TargetState],
        holders: &[&TargetState],
        watch: &impl Watch,
    ) -> Option<Choice> {
        let waits = holders.iter().map(|k| {
            let wait = self.blocked_for(now, k);
            watch.check(&k.target, wait.is_none(), || {
                let wait = wait.unwrap_or_default();
                match self.rests_for(now, k, wait) {
                    true => Passed::Resting(wait),
                    false => Passed::Blocked(wait),
                }
            });
            (wait, *k)
        });
        let (wait, soonest) = waits.min_by_key(|(wait, k)| (*wait, &k.target.id))?;
        let wait = wait?;
        let rests = self.rests_for(now, soonest, wait);
        let stays = adapter.is_empty() || rests && wait <= BRIEF_REST;
        let elsewhere = !stays && ready.iter().any(|k| self.takes_over(now, k));
        let id = soonest.target.id.clone();
        Some(match (elsewhere, rests) {
            (true, _) => Choice::Missing,
            (false, true) => Choice::Resting(id, wait),
            (false, false) => Choice::Limited(id, wait),
        })
    }
}

impl TargetState {
    /// Returns why a target that doesn't hold an adapter as required is no holder.
    fn lacks(&self, adapter: &str) -> Passed {
        match self.residents.get(adapter) {
            Some(held) => Passed::OldVersion(held.version),
            None => Passed::NoAdapter,
        }
    }

    /// Returns the time until an adapter that is held can be used.
    pub(super) fn loads_for(&self, now: Time, adapter: &str) -> Duration {
        let held = self.residents.get(adapter);
        held.map_or(Duration::ZERO, |held| held.ready.since(now))
    }
}

/// Returns the cost of a target of these parts.
pub(super) fn sum(parts: &[(Part, f64)]) -> f64 {
    parts.iter().map(|(_, cost)| cost).sum()
}
