//! Through which other instance an entry instance that is cut off from all targets reaches
//! them.
//!
//! Control instances keep a [`Roster`] of entry instances and tell each one some
//! [`Helpers`].

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Seed, Time, stable_hash};
use wire::helper::{EntryReport, Helper};

/// Most helpers that an instance is told.
const MAX_HELPERS: usize = 8;

/// Time after its last report from which on an instance is no helper.
const REPORT_MAX_AGE: Duration = Duration::from_secs(6);

/// How long a helper isn't used that was no help.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Entry instances by what they have reported.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceName, (Time, EntryReport)>,
}

impl Roster {
    /// Takes a report of an entry instance, and returns the helpers for it: those of its own
    /// zone first, as traffic between zones costs money, and spread over all that reach
    /// targets.
    pub fn report(&mut self, now: Time, report: &EntryReport) -> Vec<Helper> {
        self.entries
            .retain(|_, (at, _)| now.since(*at) < REPORT_MAX_AGE);
        let asking = report.instance.as_str();
        self.entries
            .insert(report.instance.clone(), (now, report.clone()));
        let others = self.entries.values().map(|(_, other)| other);
        let others = others.filter(|other| other.helps && other.instance != report.instance);
        let mut others: Vec<_> = others.collect();
        others.sort_by_cached_key(|other| {
            let spread = stable_hash(&[asking.as_bytes(), other.instance.as_str().as_bytes()]);
            (other.zone != report.zone, spread)
        });
        let near = others.into_iter().take(MAX_HELPERS);
        near.map(|other| Helper {
            instance: other.instance.clone(),
            zone: other.zone.clone(),
        })
        .collect()
    }
}

/// The instances that help one entry instance.
#[derive(Clone, Debug)]
pub struct Helpers {
    zone: String,
    seed: u64,
    known: BTreeMap<InstanceName, Known>,
    /// Number of requests that were sent through others.
    drawn: u64,
}

#[derive(Clone, Debug)]
struct Known {
    zone: String,
    avoid_until: Option<Time>,
}

impl Helpers {
    /// Creates the state of an instance in `zone` that knows no others. `seed` has to differ
    /// between instances.
    #[must_use]
    pub fn new(zone: impl Into<String>, seed: Seed) -> Self {
        Helpers {
            zone: zone.into(),
            seed: seed.0,
            known: BTreeMap::new(),
            drawn: 0,
        }
    }

    /// Replaces the known helpers. An empty list changes nothing: whoever told it has just
    /// started, or knows of no instance that reaches targets.
    pub fn told(&mut self, helpers: Vec<Helper>) {
        if helpers.is_empty() {
            return;
        }
        let mut old = std::mem::take(&mut self.known);
        for helper in helpers {
            let avoid_until = old.remove(&helper.instance).and_then(|k| k.avoid_until);
            let known = Known {
                zone: helper.zone,
                avoid_until,
            };
            self.known.insert(helper.instance, known);
        }
    }

    /// Notes that a helper could not be reached or reaches no targets itself.
    pub fn no_help(&mut self, now: Time, helper: &InstanceName) {
        if let Some(known) = self.known.get_mut(helper) {
            known.avoid_until = Some(now + PAUSE);
        }
    }

    /// Chooses a helper for the next connection, one of the own zone if there is any; where all
    /// were no help lately, the one for which that is longest ago.
    pub fn choose(&mut self, now: Time) -> Option<InstanceName> {
        self.drawn += 1;
        let (seed, drawn) = (self.seed.to_le_bytes(), self.drawn.to_le_bytes());
        let best = self.known.iter().min_by_key(|(name, known)| {
            let avoided = known.avoid_until.filter(|until| now < *until);
            let spread = stable_hash(&[&seed, &drawn, name.as_str().as_bytes()]);
            (avoided, known.zone != self.zone, spread)
        });
        best.map(|(name, _)| name.clone())
    }
}
