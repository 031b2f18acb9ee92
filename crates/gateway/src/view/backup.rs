//! Where the memory of a run is kept as well, and where it may be used.
//!
//! Memory means something only to the weights and the version of the adapter that made
//! it. Engines that hold the same adapter may differ in both.

use std::{collections::BTreeSet, time::Duration};

use base::Time;

use super::{Known, View, usable};

/// How long after a newer version was heard of a run may still go on elsewhere under its
/// own: a change has to be in force everywhere within this time.
const OUTDATED: Duration = Duration::from_secs(3);

/// What the memory of a run was made with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Version of the base model's weights.
    pub weights: u32,
    /// Version of the adapter; of the weights, where the base model itself runs.
    pub version: u32,
}

/// Why a run doesn't go on from the copy of its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unused {
    /// The target is gone.
    Gone,
    /// The weights may be others.
    Weights,
    /// The version of the adapter may be another.
    Version,
    /// A newer version of the adapter was named too long ago.
    Outdated,
    /// Nobody was heard lately who knows what the target holds.
    Silent,
    /// The caller waits no longer.
    Deadline,
    /// The budget of repeats is used up.
    Repeats,
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

    /// Checks that a run may go on from a copy: its target still holds what the memory was
    /// made with.
    ///
    /// # Errors
    ///
    /// Fails with the reason where it doesn't, or where that isn't known.
    pub fn restores(&self, now: Time, adapter: &str, backup: &Backup) -> Result<(), Unused> {
        let known = self.targets.get(&backup.target).ok_or(Unused::Gone)?;
        let weights = known.weights(adapter);
        let version = known.version(adapter);
        if weights != Some(backup.origin.weights) {
            return Err(Unused::Weights);
        }
        if version != Some(backup.origin.version) {
            return Err(Unused::Version);
        }
        if self.outdated(now, adapter, backup.origin.version) {
            return Err(Unused::Outdated);
        }
        Ok(())
    }

    /// Tells whether a newer version was named so long ago that nothing may begin on this
    /// one any more, not even the rest of a run.
    fn outdated(&self, now: Time, adapter: &str, version: u32) -> bool {
        let named = self.versions.get(adapter);
        named.is_some_and(|named| named.version > version && now.since(named.since) >= OUTDATED)
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
        let (weights, version) = (self.weights(adapter)?, self.version(adapter)?);
        Some(Origin { weights, version })
    }

    /// Returns the version of the weights under which `adapter` runs here.
    fn weights(&self, adapter: &str) -> Option<u32> {
        let model = adapter.split_once('/').map_or(adapter, |(model, _)| model);
        let mut weights = self.target.weights.iter();
        let found = weights.find(|weights| weights.model == model)?;
        Some(found.version)
    }

    /// Returns the version of `adapter` that is held here; that of its weights for a base
    /// model.
    fn version(&self, adapter: &str) -> Option<u32> {
        let held = self.residents.get(adapter)?;
        if !adapter.contains('/') {
            return self.weights(adapter);
        }
        (held.version > 0).then_some(held.version)
    }
}
