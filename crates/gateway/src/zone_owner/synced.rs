//! What a zone owner answers an entry instance: changed targets, traffic of the others, waits.

use std::time::Duration;

use base::Time;
use wire::fleet::{Resident, Synced, Target};

use super::{PendingSync, SYNC_WAIT, ZoneOwner, engine::Engine};

impl ZoneOwner {
    pub(super) fn synced_for(&self, now: Time, zones: &[String], sync: &PendingSync) -> Synced {
        let delta = self.updates.since(now, sync.known, &sync.resend);
        let requester = sync.requester.as_ref();
        let mut synced = Synced {
            update: self.updates.last(),
            targets: delta.targets,
            starts: delta.starts,
            full: delta.full,
            removed: delta.gone,
            waits: self.waits(&sync.wants),
            zones: zones.to_vec(),
            entries: u32::try_from(self.traffic.entries()).unwrap_or(u32::MAX),
            ..Synced::default()
        };
        if sync.brief {
            return synced;
        }
        if self.tight && !self.traffic.is_known(now) {
            synced.set_running_unknown();
        } else {
            synced.running = self.traffic.running_without(requester);
            synced.unread = self.traffic.unread_without(requester);
        }
        synced
    }

    /// Assigns update numbers to the targets of `zones` that have changed.
    pub(super) fn number_changes(&mut self, zones: &[String]) {
        for id in std::mem::take(&mut self.changed) {
            let listed = self.targets.get(&id);
            let Some(listed) = listed.filter(|listed| zones.contains(&listed.zone)) else {
                self.updates.remove(&id);
                continue;
            };
            let engine = self.engines.get(&id);
            let held = engine.map(Engine::residents).unwrap_or_default();
            let (residents, ready): (Vec<Resident>, Vec<Time>) = held.into_iter().unzip();
            let target = Target {
                id,
                service: listed.service.clone(),
                addr: listed.addr.clone(),
                zone: listed.zone.clone(),
                slots: listed.slots,
                ready: listed.ready,
                slowness: self.slowness.factor(&listed.id),
                weights: engine.map(Engine::weights).unwrap_or_default(),
                residents,
                limit: self.limits.limit(&listed.id),
            };
            self.updates.set(target, ready, listed.born);
        }
    }

    /// Returns whether an adapter is so far back in the queue for the store that the
    /// requester should get its estimated wait at once.
    pub(super) fn waits_too_long(&self, adapter: &str) -> bool {
        self.queue
            .get(adapter)
            .is_some_and(|wait| *wait > SYNC_WAIT)
    }

    fn waits(&self, wants: &[String]) -> Vec<(String, Duration)> {
        let waits = wants
            .iter()
            .filter_map(|a| Some((a.clone(), *self.queue.get(a)?)));
        waits.collect()
    }
}
