//! Where the memory of a run is kept as well, and where it may be used.
//!
//! Memory means something only to the weights and the version of the adapter that made
//! it. Engines that hold the same adapter may differ in both.

use std::collections::BTreeSet;

use base::Time;

use super::{Known, View, usable};

/// What the memory of a run was made with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Version of the base model's weights.
    pub weights: u32,
    /// Version of the adapter; of the weights, where the base model itself runs.
    pub version: u32,
}

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backup {
    /// The target that keeps it.
    pub target: String,
    /// What it was made with.
    pub origin: Origin,
}

impl View {
    /// Returns another target that can use the adapter now, where the memory of a run
    /// at `id` can be kept for the case that its target dies: one that would make the
    /// same memory. Nothing where that isn't known of both.
    #[must_use]
    pub fn backup(&self, now: Time, service: &str, adapter: &str, id: &str) -> Option<Backup> {
        let origin = self.targets.get(id)?.origin(adapter)?;
        let others = self.targets.values().filter(|k| {
            let of_service = k.target.service == service && k.target.ready;
            of_service && k.target.id != id && !k.rests(now)
        });
        let alike = others.filter(|k| k.origin(adapter) == Some(origin));
        let holders = alike.filter(|k| self.holds(k, adapter) && usable(k, now, adapter));
        let none = BTreeSet::new();
        let best = holders.min_by(|a, b| {
            let (a, b) = (self.cost(now, a, &none), self.cost(now, b, &none));
            a.total_cmp(&b)
        });
        best.map(|known| Backup {
            target: known.target.id.clone(),
            origin,
        })
    }

    /// Tells whether a run may go on from a copy: its target still holds what the memory
    /// was made with.
    #[must_use]
    pub fn restores(&self, now: Time, adapter: &str, backup: &Backup) -> bool {
        let known = self.targets.get(&backup.target);
        known.is_some_and(|known| {
            known.origin(adapter) == Some(backup.origin) && usable(known, now, adapter)
        })
    }

    /// Returns the availability zone of a target.
    #[must_use]
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        self.targets.get(id).map(|k| k.target.zone.as_str())
    }
}

impl Known {
    /// Returns what the memory of runs of `adapter` is made with here, where all of it
    /// is known.
    fn origin(&self, adapter: &str) -> Option<Origin> {
        let held = self.residents.get(adapter)?;
        let model = adapter.split_once('/').map(|(model, _)| model);
        let mut weights = self.target.weights.iter();
        let weights = weights.find(|weights| weights.model == model.unwrap_or(adapter))?;
        let weights = weights.version;
        let version = match model {
            Some(_) => (held.version > 0).then_some(held.version)?,
            None => weights,
        };
        Some(Origin { weights, version })
    }
}
