//! Targets, according to the platform's list and to observations of them.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, PoolName, TargetName, Time, ZoneName, value};
use thiserror::Error;
use wire::platform::{List, State};

value! {
    /// Counts the changes that invalidate earlier observations of a target: a new
    /// incarnation, a drain, a return to the list. Numbers are never reused, not even for
    /// a target that leaves the list and comes back.
    pub struct Epoch(pub u64);

    /// Whether a target accepts new work, according to the platform's list.
    pub enum Phase {
        /// Accepts new work.
        Live,
        /// Shutting down soon: finishes its running work and gets no new work.
        Leaving,
    }

    /// Identifies an observation that is under way. Returned by [`Targets::begin`] and
    /// handed back when the observation ends.
    pub struct Observation {
        /// The target's epoch when it began.
        epoch: Epoch,
        /// Its number, in the order in which observations of all targets began.
        serial: u64,
    }
}

/// Why an observation was discarded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Outdated {
    /// The target restarted, was drained or came back after it began.
    #[error("the target changed while it was observed")]
    Changed,
    /// An observation that began later has already been taken in.
    #[error("a newer observation is known")]
    Newer,
    /// The target is no longer listed.
    #[error("the target is gone")]
    Gone,
}

/// Whether an accepted observation found a new incarnation of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The same incarnation as before, or the first one seen.
    Same,
    /// A new incarnation: all adapters loaded before are gone.
    Restarted,
}

/// A target as one process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its pool, from the platform's list.
    pub pool: PoolName,
    /// Its availability zone, from the platform's list.
    pub zone: ZoneName,
    /// IP and port of its HTTP listener, from the platform's list.
    pub address: String,
    /// Whether it accepts new work, from the platform's list.
    pub phase: Phase,
    /// Its incarnation, once observed.
    pub incarnation: Option<Incarnation>,
    /// When the newest accepted observation began.
    pub seen: Option<Time>,
    epoch: Epoch,
    /// Observations that began before this serial are outdated.
    accepted: u64,
}

/// The targets as one process sees them.
#[derive(Debug, Default)]
pub struct Targets {
    /// Serial of the newest list.
    list: u64,
    /// The last epoch given to a target.
    epochs: u64,
    /// The last serial given to an observation.
    serials: u64,
    all: BTreeMap<TargetName, Target>,
}

impl Targets {
    /// Takes in the platform's list; returns the targets that were added, removed or
    /// changed. A list older than the last is ignored.
    ///
    /// A target that the list calls leaving gets no new work from this call on, whatever
    /// observations of it say.
    pub fn apply_list(&mut self, list: &List) -> Vec<TargetName> {
        if list.serial < self.list {
            return Vec::new();
        }
        self.list = list.serial;
        let mut changed = self.drop_unlisted(list);
        for entry in &list.targets {
            if self.update(entry) {
                changed.push(entry.name.clone());
            }
        }
        changed
    }

    /// Begins an observation, such as a report, a probe or a load. Returns none for an
    /// unknown target.
    pub fn begin(&mut self, name: &TargetName) -> Option<Observation> {
        let epoch = self.all.get(name)?.epoch;
        self.serials += 1;
        Some(Observation {
            epoch,
            serial: self.serials,
        })
    }

    /// Ends `observation`, which began at `began` and found the target's
    /// `incarnation`, if the target reports it.
    ///
    /// # Errors
    ///
    /// Fails if the observation is outdated. Then none of it may be used, neither a
    /// success nor a failure.
    pub fn finish(
        &mut self,
        name: &TargetName,
        observation: Observation,
        began: Time,
        incarnation: Option<Incarnation>,
    ) -> Result<Observed, Outdated> {
        let target = self.all.get_mut(name).ok_or(Outdated::Gone)?;
        // Guard: a slow report from an engine's former incarnation, or one begun before a
        // drain, may arrive after that change. It would show adapters that are gone, or
        // mark a drained target as usable. Its epoch is outdated, so it is discarded
        // here.
        if observation.epoch != target.epoch {
            base::hit!(outdated_by_change);
            return Err(Outdated::Changed);
        }
        if observation.serial < target.accepted {
            base::hit!(outdated_by_newer);
            return Err(Outdated::Newer);
        }
        target.accepted = observation.serial;
        target.seen = Some(began);
        let old = target.incarnation;
        target.incarnation = incarnation.or(old);
        if old.is_none() || target.incarnation == old {
            return Ok(Observed::Same);
        }
        self.epochs += 1;
        target.epoch = Epoch(self.epochs);
        Ok(Observed::Restarted)
    }

    /// Ends the order that `observation` stands for, a load or an unload that was answered.
    ///
    /// # Errors
    ///
    /// Fails if the target restarted, was drained or came back meanwhile: the effect of
    /// the order is lost.
    pub fn finish_order(
        &mut self,
        name: &TargetName,
        observation: Observation,
    ) -> Result<(), Outdated> {
        let serial = self.serials;
        let target = self.all.get_mut(name).ok_or(Outdated::Gone)?;
        if observation.epoch != target.epoch {
            return Err(Outdated::Changed);
        }
        // Guard: a report that began before the order was answered may show the engine's
        // state from before the order. If it were accepted after an unload, requests
        // would use the unloaded adapter, which another owner may load and unload again
        // at any time.
        target.accepted = serial + 1;
        self.serials += 1;
        Ok(())
    }

    /// Ends `observation`, which failed. A failure counts under the same
    /// conditions as a success.
    ///
    /// # Errors
    ///
    /// Fails if the observation is outdated.
    pub fn fail(&mut self, name: &TargetName, observation: Observation) -> Result<(), Outdated> {
        let target = self.all.get_mut(name).ok_or(Outdated::Gone)?;
        if observation.epoch != target.epoch {
            return Err(Outdated::Changed);
        }
        if observation.serial < target.accepted {
            return Err(Outdated::Newer);
        }
        target.accepted = observation.serial;
        Ok(())
    }

    /// Returns one target.
    #[must_use]
    pub fn get(&self, name: &TargetName) -> Option<&Target> {
        self.all.get(name)
    }

    /// Returns all targets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &Target)> {
        self.all.iter()
    }

    /// Returns whether `name` may get new work.
    #[must_use]
    pub fn takes_work(&self, name: &TargetName) -> bool {
        self.all.get(name).is_some_and(|t| t.phase == Phase::Live)
    }

    fn drop_unlisted(&mut self, list: &List) -> Vec<TargetName> {
        let listed: BTreeSet<_> = list.targets.iter().map(|t| &t.name).collect();
        let gone = self.all.keys().filter(|name| !listed.contains(name));
        let gone: Vec<_> = gone.cloned().collect();
        for name in &gone {
            self.all.remove(name);
        }
        gone
    }

    fn update(&mut self, entry: &wire::platform::Target) -> bool {
        let phase = match entry.state {
            State::Live => Phase::Live,
            State::Leaving => Phase::Leaving,
        };
        let old = self.all.get(&entry.name);
        let same = old.is_some_and(|old| {
            old.phase == phase
                && old.address == entry.address
                && old.pool == entry.pool
                && old.zone == entry.zone
        });
        if same {
            return false;
        }
        self.epochs += 1;
        let moved = old.is_none_or(|old| old.address != entry.address);
        let target = Target {
            pool: entry.pool.clone(),
            zone: entry.zone.clone(),
            address: entry.address.clone(),
            phase,
            incarnation: old.and_then(|o| o.incarnation).filter(|_| !moved),
            seen: old.and_then(|o| o.seen).filter(|_| !moved),
            epoch: Epoch(self.epochs),
            accepted: old.map_or(0, |o| o.accepted),
        };
        self.all.insert(entry.name.clone(), target);
        true
    }
}
