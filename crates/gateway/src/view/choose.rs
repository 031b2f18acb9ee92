//! Choice of a target for a request.

use std::collections::BTreeSet;

use base::{SoftwareVersion, Time};

use super::{Choice, TargetState, View, usable};

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
        let of_service = self.targets.values();
        let ready = of_service.filter(|k| k.target.service == service && k.target.ready);
        // Nobody waits for a version none of whose targets can take the rest.
        let able = |k: &&TargetState| !k.is_avoided(now) && !tried.contains(&k.target.id);
        let ready: Vec<_> = match wanted {
            None => ready.collect(),
            Some(_) => {
                let alike = ready.filter(|k| self.runs(now, k, wanted));
                alike.filter(able).collect()
            }
        };
        if ready.is_empty() {
            return Choice::NoTarget;
        }
        let holders = ready.iter().filter(|k| self.holds(k, adapter));
        // Failure: the only holder of an adapter has crashed, but is listed for seconds
        // more. Requests would go to it again and again. Another copy can be loaded in a
        // quarter of a second, so an unreachable target counts as no holder.
        let holders: Vec<_> = holders
            .filter(|k| adapter.is_empty() || !(k.is_avoided(now) || tried.contains(&k.target.id)))
            .collect();
        if holders.is_empty() {
            return Choice::Missing;
        }
        let waits = holders
            .iter()
            .map(|k| (self.blocked_for(now, k), &k.target.id));
        if let Some((Some(wait), soonest)) = waits.min() {
            let elsewhere = ready.iter().any(|k| self.takes_over(k));
            return match adapter.is_empty() || !elsewhere {
                true => Choice::Limited(soonest.clone(), wait),
                false => Choice::Missing,
            };
        }
        let holders = holders.into_iter();
        let holders = holders.filter(|k| self.blocked_for(now, k).is_none());
        let holders: Vec<_> = holders.collect();
        if self.tight {
            let holders: Vec<&TargetState> = holders.into_iter().copied().collect();
            return self.choose_by_time(now, &holders, adapter, tried);
        }
        let usable = holders.iter().filter(|k| usable(k, now, adapter));
        let rated: Vec<_> = usable.map(|k| (self.cost(now, k, tried), **k)).collect();
        if let Some(best) = self.pick(&rated) {
            return Choice::Send(best.target.id.clone());
        }
        let at = holders.iter().filter_map(|k| k.residents.get(adapter));
        let soonest = at.map(|held| held.ready.since(now)).min();
        Choice::Wait(soonest.unwrap_or_default())
    }
}
