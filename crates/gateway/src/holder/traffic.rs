//! Requests under way and prompts not read yet, as entry instances tell them.
//!
//! Sums are kept as they change: an answer to one of many entry instances costs as
//! much as there are targets, whatever runs there.

use std::collections::BTreeMap;

use base::{InstanceName, Time};
use wire::fleet::Running;

use super::ENTRY_SILENT;

/// What runs at targets.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    entries: BTreeMap<InstanceName, Entry>,
    targets: BTreeMap<String, Sums>,
}

#[derive(Debug, Default)]
struct Entry {
    heard: Time,
    running: Vec<Running>,
    unread: Vec<(String, u64)>,
}

/// What all entry instances have at one target.
#[derive(Debug, Default)]
struct Sums {
    running: u32,
    adapters: BTreeMap<String, u32>,
    unread: u64,
}

impl Traffic {
    /// Notes that an entry instance lives.
    pub(super) fn heard(&mut self, now: Time, instance: &InstanceName) {
        let entry = self.entries.entry(instance.clone()).or_default();
        entry.heard = now;
    }

    /// Takes what an entry instance has under way.
    pub(super) fn told(
        &mut self,
        instance: &InstanceName,
        running: Vec<Running>,
        unread: Vec<(String, u64)>,
    ) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        let before = std::mem::take(&mut entry.running);
        let before = (before, std::mem::take(&mut entry.unread));
        add(&mut self.targets, &running, &unread);
        (entry.running, entry.unread) = (running, unread);
        subtract(&mut self.targets, &before.0, &before.1);
    }

    /// Drops entry instances that were silent for too long.
    pub(super) fn forget(&mut self, now: Time) {
        let targets = &mut self.targets;
        self.entries.retain(|_, entry| {
            let lives = now.since(entry.heard) < ENTRY_SILENT;
            if !lives {
                subtract(targets, &entry.running, &entry.unread);
            }
            lives
        });
    }

    /// Returns how many entry instances are heard.
    pub(super) fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns requests under way at a target.
    pub(super) fn at(&self, id: &str) -> u32 {
        self.targets.get(id).map_or(0, |sums| sums.running)
    }

    /// Returns requests under way at a target that use an adapter.
    pub(super) fn of(&self, id: &str, adapter: &str) -> u32 {
        let sums = self.targets.get(id);
        let count = sums.and_then(|sums| sums.adapters.get(adapter));
        count.copied().unwrap_or(0)
    }

    /// Returns requests under way at each target, but for those of `asker`.
    pub(super) fn running_without(&self, asker: Option<&InstanceName>) -> Vec<(String, u32)> {
        let own = asker.and_then(|asker| self.entries.get(asker));
        let own = own.map_or(&[][..], |entry| &entry.running);
        let others = self.targets.iter().map(|(id, sums)| {
            let own = own.iter().filter(|running| running.target == *id);
            let own: u32 = own.map(|running| running.count).sum();
            (id, sums.running.saturating_sub(own))
        });
        let others = others.filter(|(_, count)| *count > 0);
        others.map(|(id, count)| (id.clone(), count)).collect()
    }

    /// Returns prompt tokens not read yet at each target, but for those of `asker`.
    pub(super) fn unread_without(&self, asker: Option<&InstanceName>) -> Vec<(String, u64)> {
        let own = asker.and_then(|asker| self.entries.get(asker));
        let own = own.map_or(&[][..], |entry| &entry.unread);
        let others = self.targets.iter().map(|(id, sums)| {
            let own = own.iter().filter(|(target, _)| target == id);
            let own: u64 = own.map(|(_, tokens)| *tokens).sum();
            (id, sums.unread.saturating_sub(own))
        });
        let others = others.filter(|(_, tokens)| *tokens > 0);
        others.map(|(id, tokens)| (id.clone(), tokens)).collect()
    }
}

fn add(targets: &mut BTreeMap<String, Sums>, running: &[Running], unread: &[(String, u64)]) {
    for running in running {
        let sums = targets.entry(running.target.clone()).or_default();
        sums.running += running.count;
        *sums.adapters.entry(running.adapter.clone()).or_default() += running.count;
    }
    for (target, tokens) in unread {
        targets.entry(target.clone()).or_default().unread += tokens;
    }
}

fn subtract(targets: &mut BTreeMap<String, Sums>, running: &[Running], unread: &[(String, u64)]) {
    for running in running {
        let Some(sums) = targets.get_mut(&running.target) else {
            continue;
        };
        sums.running -= running.count;
        if let Some(count) = sums.adapters.get_mut(&running.adapter) {
            *count -= running.count;
            if *count == 0 {
                sums.adapters.remove(&running.adapter);
            }
        }
    }
    for (target, tokens) in unread {
        if let Some(sums) = targets.get_mut(target) {
            sums.unread -= tokens;
        }
    }
    targets.retain(|_, sums| sums.running > 0 || sums.unread > 0 || !sums.adapters.is_empty());
}
