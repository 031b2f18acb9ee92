//! Targets, by the platform's list and by what is seen of them.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, PoolName, TargetName, Time, ZoneName, value};
use thiserror::Error;
use wire::platform::{List, State};

value! {
    /// Counts what makes older observations of a target worthless: a new
    /// incarnation, a drain, a return. Never reused, also not by a target that
    /// leaves the list and comes back.
    pub struct Epoch(pub u64);

    /// Where a target stands.
    pub enum Phase {
        /// Takes new work.
        Live,
        /// To stop soon: finishes what it has, gets nothing new.
        Leaving,
    }

    /// What an observation that has just begun has to bring back.
    pub struct Watch {
        /// The target's epoch when it began.
        epoch: Epoch,
        /// Its place among the observations of all targets.
        serial: u64,
    }
}

/// Why an observation was discarded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Overtaken {
    /// The target restarted, was drained or came back since it began.
    #[error("the target changed while it was observed")]
    Changed,
    /// One that began later has already been taken in.
    #[error("a newer observation is known")]
    Newer,
    /// The target is gone.
    #[error("the target is gone")]
    Gone,
}

/// What an accepted observation says about the target's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Nothing new.
    Same,
    /// A new life: it holds nothing that was loaded before.
    Restarted,
}

/// A target as one process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its pool.
    pub pool: PoolName,
    /// Its zone.
    pub zone: ZoneName,
    /// IP and port of its HTTP listener.
    pub address: String,
    /// Where it stands.
    pub phase: Phase,
    /// Which life of it, once seen.
    pub incarnation: Option<Incarnation>,
    /// When the newest accepted observation began.
    pub seen: Option<Time>,
    epoch: Epoch,
    accepted: u64,
}

/// The targets as one process sees them.
#[derive(Debug, Default)]
pub struct Targets {
    list: u64,
    epochs: u64,
    serials: u64,
    all: BTreeMap<TargetName, Target>,
}

impl Targets {
    /// Takes the platform's list; returns the targets whose phase or address
    /// changed, came or went. One older than the last is ignored.
    ///
    /// A target that the list calls leaving gets no new work from this very
    /// call on, however its observations look.
    pub fn list(&mut self, list: &List) -> Vec<TargetName> {
        if list.serial < self.list {
            return Vec::new();
        }
        self.list = list.serial;
        let mut changed = self.drop_unlisted(list);
        for entry in &list.targets {
            if self.take(entry) {
                changed.push(entry.name.clone());
            }
        }
        changed
    }

    /// Begins an observation: a report, a probe, a load. Returns nothing for
    /// an unknown target.
    pub fn begin(&mut self, name: &TargetName) -> Option<Watch> {
        let epoch = self.all.get(name)?.epoch;
        self.serials += 1;
        Some(Watch {
            epoch,
            serial: self.serials,
        })
    }

    /// Ends an observation that began at `began` with `watch` and has found
    /// the target's life `incarnation`, where the target tells it.
    ///
    /// # Errors
    ///
    /// Fails when the observation was overtaken: nothing of it may be used,
    /// neither good news nor bad.
    pub fn finish(
        &mut self,
        name: &TargetName,
        watch: Watch,
        began: Time,
        incarnation: Option<Incarnation>,
    ) -> Result<Look, Overtaken> {
        let target = self.all.get_mut(name).ok_or(Overtaken::Gone)?;
        // Guard: a slow report of an engine's former life, or one begun before
        // a drain, arrives after the change and would show adapters that are
        // gone, or bring a drained target back. It carries the epoch of its
        // beginning and is dropped here.
        if watch.epoch != target.epoch {
            base::hit!(overtaken_by_change);
            return Err(Overtaken::Changed);
        }
        if watch.serial < target.accepted {
            base::hit!(overtaken_by_newer);
            return Err(Overtaken::Newer);
        }
        target.accepted = watch.serial;
        target.seen = Some(began);
        let old = target.incarnation;
        target.incarnation = incarnation.or(old);
        if old.is_none() || target.incarnation == old {
            return Ok(Look::Same);
        }
        self.epochs += 1;
        target.epoch = Epoch(self.epochs);
        Ok(Look::Restarted)
    }

    /// Ends an order, a load or an unload, that began with `watch` and was
    /// answered.
    ///
    /// # Errors
    ///
    /// Fails when the target restarted, was drained or came back meanwhile:
    /// what the order did is gone.
    pub fn ordered(&mut self, name: &TargetName, watch: Watch) -> Result<(), Overtaken> {
        let serial = self.serials;
        let target = self.all.get_mut(name).ok_or(Overtaken::Gone)?;
        if watch.epoch != target.epoch {
            return Err(Overtaken::Changed);
        }
        // Guard: a report that began before the order's answer may have looked
        // at the engine before the order, and arrive after. It would show an
        // adapter that has just been unloaded, and requests would use it while
        // another owner, who loaded it anew, may unload it.
        target.accepted = serial + 1;
        self.serials += 1;
        Ok(())
    }

    /// Ends an observation that failed: an error counts only under the same
    /// conditions as a success.
    ///
    /// # Errors
    ///
    /// Fails when the observation was overtaken.
    pub fn failed(&mut self, name: &TargetName, watch: Watch) -> Result<(), Overtaken> {
        let target = self.all.get_mut(name).ok_or(Overtaken::Gone)?;
        if watch.epoch != target.epoch {
            return Err(Overtaken::Changed);
        }
        if watch.serial < target.accepted {
            return Err(Overtaken::Newer);
        }
        target.accepted = watch.serial;
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

    fn take(&mut self, entry: &wire::platform::Target) -> bool {
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
