//! State of an adapter at a target as an entry instance knows it, updated by the outcome
//! of the first request after a load.

use std::time::Duration;

use base::Time;
use wire::fleet::{FirstUse, Resident};

use super::View;

/// How long a target gets no requests for an adapter after the first refusal because it
/// is not loaded yet, a tenth of a load; doubled with each further refusal.
const EARLY_PAUSE: Duration = Duration::from_millis(30);

/// Number of refusals after which a load counts as lost.
const EARLY_MAX: u32 = 4;

/// Maximum time by which refusals postpone the announced time of a load: the zone owner's
/// announcement is up to a quarter of a second old.
const EARLY_MAX_DELAY: Duration = Duration::from_millis(300);

/// An adapter at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) version: u32,
    /// When it can be used.
    pub(super) ready: Time,
    /// Whether it was being loaded when it was last announced, and no request has shown
    /// since that it can be used.
    unproven: bool,
    /// Number of requests refused because it was not loaded yet.
    refusals: u32,
}

impl Held {
    /// Merges the zone owner's announcement with the state known before.
    pub(super) fn merge(now: Time, resident: &Resident, old: Option<&Held>) -> Self {
        let ready = now + resident.ready_in;
        let announced_loading = resident.ready_in > Duration::ZERO;
        let old = old.filter(|old| old.unproven || !announced_loading);
        Held {
            version: resident.version,
            ready: old.map_or(ready, |old| {
                old.ready.max(ready).min(ready + EARLY_MAX_DELAY)
            }),
            unproven: old.map_or(announced_loading, |old| old.unproven),
            refusals: old.map_or(0, |old| old.refusals),
        }
    }
}

impl View {
    /// Notes that a target refused a request because it doesn't hold the adapter: the
    /// load takes longer than announced, or the announcement is outdated.
    ///
    /// Failure: a load takes longer than announced. The adapter was taken for evicted and
    /// asked for again, and with the next list the request was sent again at once; each
    /// time it was refused, until the retry budget was exhausted and one caller in four
    /// was rejected.
    pub fn adapter_missing(&mut self, now: Time, id: &str, adapter: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let Some(held) = known.residents.get_mut(adapter) else {
            return;
        };
        if !held.unproven || held.refusals >= EARLY_MAX {
            known.residents.remove(adapter);
            self.stale.insert(id.to_owned());
            return;
        }
        base::hit!(sent_too_early);
        held.ready = held.ready.max(now + EARLY_PAUSE * 2_u32.pow(held.refusals));
        held.refusals += 1;
        if held.refusals == 1 {
            let zone = known.target.zone.clone();
            self.note_first(zone, id, adapter, false);
        }
    }

    /// Notes that a target has started to answer a request that uses an adapter.
    pub fn answer_started(&mut self, id: &str, adapter: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let Some(held) = known.residents.get_mut(adapter) else {
            return;
        };
        let first = std::mem::take(&mut held.unproven) && held.refusals == 0;
        if first {
            let zone = known.target.zone.clone();
            self.note_first(zone, id, adapter, true);
        }
    }

    fn note_first(&mut self, zone: String, id: &str, adapter: &str, held: bool) {
        let firsts = self.firsts.entry(zone).or_default();
        firsts.push(FirstUse {
            target: id.to_owned(),
            adapter: adapter.to_owned(),
            held,
        });
    }

    /// Removes and returns the outcomes of first requests in `zones`.
    pub fn take_firsts(&mut self, zones: &[String]) -> Vec<FirstUse> {
        let lists = zones.iter().filter_map(|zone| self.firsts.remove(zone));
        lists.flatten().collect()
    }
}
