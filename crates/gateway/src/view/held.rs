//! State of an adapter at a target as an entry instance knows it, updated by the outcome
//! of the first request after a load.

use std::time::Duration;

use base::Time;
use wire::fleet::{First, Resident};

use super::View;

/// How long a target gets no requests for an adapter after the first refusal because it
/// is not loaded yet, a tenth of a load; doubled with each further refusal.
const EARLY_PAUSE: Duration = Duration::from_millis(30);

/// Number of refusals after which a load counts as lost.
const EARLY_MAX: u32 = 4;

/// Maximum time by which refusals postpone the announced time of a load: the zone owner's
/// announcement is up to a quarter of a second old.
const EARLY_LONGEST: Duration = Duration::from_millis(300);

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
    early: u32,
}

impl Held {
    /// Merges the zone owner's announcement with the state known before.
    pub(super) fn told(now: Time, resident: &Resident, old: Option<&Held>) -> Self {
        let ready = now + resident.ready_in;
        let coming = resident.ready_in > Duration::ZERO;
        let old = old.filter(|old| old.unproven || !coming);
        Held {
            version: resident.version,
            ready: old.map_or(ready, |old| old.ready.max(ready).min(ready + EARLY_LONGEST)),
            unproven: old.map_or(coming, |old| old.unproven),
            early: old.map_or(0, |old| old.early),
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
    pub fn lacks(&mut self, now: Time, id: &str, adapter: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let Some(held) = known.residents.get_mut(adapter) else {
            return;
        };
        if !held.unproven || held.early >= EARLY_MAX {
            known.residents.remove(adapter);
            self.doubted.insert(id.to_owned());
            return;
        }
        base::hit!(sent_too_early);
        held.ready = held.ready.max(now + EARLY_PAUSE * 2_u32.pow(held.early));
        held.early += 1;
        if held.early == 1 {
            let zone = known.target.zone.clone();
            self.first(zone, id, adapter, false);
        }
    }

    /// Notes that a target has started to answer a request that uses an adapter.
    pub fn used(&mut self, id: &str, adapter: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let Some(held) = known.residents.get_mut(adapter) else {
            return;
        };
        let first = std::mem::take(&mut held.unproven) && held.early == 0;
        if first {
            let zone = known.target.zone.clone();
            self.first(zone, id, adapter, true);
        }
    }

    fn first(&mut self, zone: String, id: &str, adapter: &str, held: bool) {
        let firsts = self.firsts.entry(zone).or_default();
        firsts.push(First {
            target: id.to_owned(),
            adapter: adapter.to_owned(),
            held,
        });
    }

    /// Removes and returns the outcomes of first requests in `zones`.
    pub fn take_firsts(&mut self, zones: &[String]) -> Vec<First> {
        let lists = zones.iter().filter_map(|zone| self.firsts.remove(zone));
        lists.flatten().collect()
    }
}
