//! Choice of the targets that keep a copy of a stream's KV cache, and the check before it
//! is used.
//!
//! A KV cache is only valid for the software, the weights and the adapter version that
//! produced it. Engines that hold the same adapter may differ in all three.

use std::{collections::BTreeSet, time::Duration};

use base::{SoftwareVersion, Time};

use super::{TargetState, View, usable};

/// How long after a newer version was received a stream may still continue elsewhere
/// under its own version: a change has to be in force everywhere within this time.
pub(super) const OUTDATED: Duration = Duration::from_secs(3);

/// Weights and adapter version that produced a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Version of the base model's weights.
    pub weights: u32,
    /// Version of the adapter; of the weights if the base model itself runs.
    pub version: u32,
}

/// Reason for which a stream does not continue from a copy of its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unused {
    /// The target is gone.
    Gone,
    /// The target has other weights, or their version is not known.
    Weights,
    /// The target has another version of the adapter, or it is not known.
    Version,
    /// A newer version of the adapter was set too long ago.
    Outdated,
    /// No zone owner that knows what the target holds was heard from recently.
    Silent,
    /// The deadline of the request has passed.
    Deadline,
    /// The retry budget is exhausted.
    Repeats,
    /// The limit that the target names is used up.
    Limited,
    /// The target has asked for rest.
    Resting,
    /// The target leaves.
    Leaving,
    /// The target runs other software, or it isn't known which.
    Software,
}

/// A copy of a stream's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backup {
    /// The target that keeps it.
    pub target: String,
    /// Weights and adapter version that produced it.
    pub origin: Origin,
    /// The software that produced it.
    pub software: SoftwareVersion,
}

impl View {
    /// Returns another target that can keep a copy of the KV cache of a stream at `id`,
    /// in case the latter dies: one that can use the adapter now with the same weights
    /// and version, and runs the same software. Returns `None` if these are not known of both.
    #[must_use]
    pub fn backup(&self, now: Time, service: &str, adapter: &str, id: &str) -> Option<Backup> {
        let origin = self.targets.get(id)?.origin(adapter)?;
        let software = self.software(now, id)?;
        let others = self.targets.values().filter(|k| {
            let of_service = k.target.service == service && self.takes_new(now, k);
            let open = !k.is_avoided(now) && !self.limits.is_limited(&k.target.id);
            let open = open && !self.rests.is_known(now, &k.target.id);
            of_service && k.target.id != id && open
        });
        let alike = others.filter(|k| k.origin(adapter) == Some(origin));
        let alike = alike.filter(|k| self.runs(now, k, Some(software)));
        let holders = alike.filter(|k| self.holds(k, adapter) && usable(k, now, adapter));
        let none = BTreeSet::new();
        let best = holders.min_by(|a, b| {
            let (a, b) = (self.cost(now, a, &none), self.cost(now, b, &none));
            a.total_cmp(&b)
        });
        best.map(|known| Backup {
            target: known.target.id.clone(),
            origin,
            software: software.clone(),
        })
    }

    /// Checks that a stream may continue from a copy: its target must still hold the
    /// weights and version that produced the cache, and run the same software.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the target doesn't, or if that isn't known.
    pub fn check_restore(&self, now: Time, adapter: &str, backup: &Backup) -> Result<(), Unused> {
        let known = self.targets.get(&backup.target).ok_or(Unused::Gone)?;
        let weights = known.weights(adapter);
        let version = known.version(adapter);
        if !self.runs(now, known, Some(&backup.software)) {
            return Err(Unused::Software);
        }
        if weights != Some(backup.origin.weights) {
            return Err(Unused::Weights);
        }
        if version != Some(backup.origin.version) {
            return Err(Unused::Version);
        }
        if self.outdated(now, adapter, backup.origin.version) {
            return Err(Unused::Outdated);
        }
        if self.has_said_leaving(now, &backup.target) {
            return Err(Unused::Leaving);
        }
        if self.rests.wait(now, backup.target.as_str()).is_some() {
            return Err(Unused::Resting);
        }
        Ok(())
    }

    /// Returns whether a newer version was set so long ago that nothing may start on this
    /// one any more, not even the rest of a stream.
    fn outdated(&self, now: Time, adapter: &str, version: u32) -> bool {
        let mut named = self.versions.get(adapter).into_iter().flatten();
        named.any(|named| named.version > version && now.since(named.since) >= OUTDATED)
    }

    /// Returns the availability zone of a target.
    #[must_use]
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        self.targets.get(id).map(|k| k.target.zone.as_str())
    }
}

impl TargetState {
    /// Returns the weights and version that produce KV caches of `adapter` here, if both
    /// are known.
    fn origin(&self, adapter: &str) -> Option<Origin> {
        let (weights, version) = (self.weights(adapter)?, self.version(adapter)?);
        Some(Origin { weights, version })
    }

    /// Returns the version of the weights on which `adapter` runs here.
    fn weights(&self, adapter: &str) -> Option<u32> {
        let model = adapter.split_once('/').map_or(adapter, |(model, _)| model);
        let mut weights = self.target.weights.iter();
        let found = weights.find(|weights| weights.model == model)?;
        Some(found.version)
    }

    /// Returns the version of `adapter` held here; for a base model, that of its weights.
    fn version(&self, adapter: &str) -> Option<u32> {
        let held = self.residents.get(adapter)?;
        if !adapter.contains('/') {
            return self.weights(adapter);
        }
        (held.version > 0).then_some(held.version)
    }
}
