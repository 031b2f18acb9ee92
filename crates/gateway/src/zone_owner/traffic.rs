//! Running requests and prompt tokens waiting for prefill, as entry instances report
//! them.
//!
//! Sums per target are updated with each report, so that the cost of an answer to an
//! entry instance depends on the number of targets and not on the number of instances or
//! requests.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Time};
use wire::fleet::Running;

use super::ENTRY_TIMEOUT;

/// How long after the first report of an entry instance those of the others have arrived:
/// each reports four times a second.
const KNOWN_AFTER: Duration = Duration::from_millis(600);

/// How long after the first report rates have settled: some three half-lives.
const STEADY_AFTER: Duration = Duration::from_millis(2_100);

/// Pause between two messages of entry instances after which the reports from before it are
/// out of date: the owner was frozen or cut off.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Running requests and unread prompt tokens at targets, by entry instance and in total.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    entries: BTreeMap<InstanceName, Entry>,
    targets: BTreeMap<String, Totals>,
    /// When the last entry instance was heard from, and since when without a pause.
    heard: Option<(Time, Time)>,
}

#[derive(Debug, Default)]
struct Entry {
    heard: Time,
    running: Vec<Running>,
    unread: Vec<(String, u64)>,
}

/// Total of all entry instances at one target.
#[derive(Debug, Default)]
struct Totals {
    running: u32,
    adapters: BTreeMap<String, u32>,
    unread: u64,
}

impl Traffic {
    /// Notes that an entry instance was heard from.
    pub(super) fn heard(&mut self, now: Time, instance: &InstanceName) {
        let entry = self.entries.entry(instance.clone()).or_default();
        entry.heard = now;
        let since = self.heard.filter(|(last, _)| now.since(*last) < MAX_PAUSE);
        self.heard = Some((now, since.map_or(now, |(_, since)| since)));
    }

    /// Notes that targets have come of which entry instances didn't report what runs there.
    pub(super) fn forget(&mut self) {
        self.heard = None;
    }

    /// Returns whether all entry instances have had time to report what runs.
    ///
    /// Failure: an owner had just taken a zone, or was thawed, and answered that nothing ran
    /// at its targets. Entry instances sent their requests to those that were full.
    pub(super) fn is_known(&self, now: Time) -> bool {
        self.heard
            .is_some_and(|(_, since)| now.since(since) >= KNOWN_AFTER)
    }

    /// Returns whether rates that are averaged over about a second are complete.
    pub(super) fn is_steady(&self, now: Time) -> bool {
        self.heard
            .is_some_and(|(_, since)| now.since(since) >= STEADY_AFTER)
    }

    /// Replaces the running requests and unread prompt tokens of an entry instance.
    pub(super) fn set(
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

    /// Removes entry instances not heard from within [`ENTRY_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Time) {
        let targets = &mut self.targets;
        self.entries.retain(|_, entry| {
            let alive = now.since(entry.heard) < ENTRY_TIMEOUT;
            if !alive {
                subtract(targets, &entry.running, &entry.unread);
            }
            alive
        });
    }

    /// Returns the number of entry instances heard from recently.
    pub(super) fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of requests running at a target.
    pub(super) fn at(&self, id: &str) -> u32 {
        self.targets.get(id).map_or(0, |totals| totals.running)
    }

    /// Returns the number of requests running at a target that use an adapter.
    pub(super) fn of(&self, id: &str, adapter: &str) -> u32 {
        let totals = self.targets.get(id);
        let count = totals.and_then(|totals| totals.adapters.get(adapter));
        count.copied().unwrap_or(0)
    }

    /// Returns the number of requests running at each target, without those of `requester`.
    pub(super) fn running_without(&self, requester: Option<&InstanceName>) -> Vec<(String, u32)> {
        let own = requester.and_then(|requester| self.entries.get(requester));
        let own = own.map_or(&[][..], |entry| &entry.running);
        let others = self.targets.iter().map(|(id, totals)| {
            let own = own.iter().filter(|running| running.target == *id);
            let own: u32 = own.map(|running| running.count).sum();
            (id, totals.running.saturating_sub(own))
        });
        let others = others.filter(|(_, count)| *count > 0);
        others.map(|(id, count)| (id.clone(), count)).collect()
    }

    /// Returns the prompt tokens that each target has not read yet, without those of
    /// `requester`.
    pub(super) fn unread_without(&self, requester: Option<&InstanceName>) -> Vec<(String, u64)> {
        let own = requester.and_then(|requester| self.entries.get(requester));
        let own = own.map_or(&[][..], |entry| &entry.unread);
        let others = self.targets.iter().map(|(id, totals)| {
            let own = own.iter().filter(|(target, _)| target == id);
            let own: u64 = own.map(|(_, tokens)| *tokens).sum();
            (id, totals.unread.saturating_sub(own))
        });
        let others = others.filter(|(_, tokens)| *tokens > 0);
        others.map(|(id, tokens)| (id.clone(), tokens)).collect()
    }
}

fn add(targets: &mut BTreeMap<String, Totals>, running: &[Running], unread: &[(String, u64)]) {
    for running in running {
        let totals = targets.entry(running.target.clone()).or_default();
        totals.running += running.count;
        *totals.adapters.entry(running.adapter.clone()).or_default() += running.count;
    }
    for (target, tokens) in unread {
        targets.entry(target.clone()).or_default().unread += tokens;
    }
}

fn subtract(targets: &mut BTreeMap<String, Totals>, running: &[Running], unread: &[(String, u64)]) {
    for running in running {
        let Some(totals) = targets.get_mut(&running.target) else {
            continue;
        };
        totals.running -= running.count;
        if let Some(count) = totals.adapters.get_mut(&running.adapter) {
            *count -= running.count;
            if *count == 0 {
                totals.adapters.remove(&running.adapter);
            }
        }
    }
    for (target, tokens) in unread {
        if let Some(totals) = targets.get_mut(target) {
            totals.unread -= tokens;
        }
    }
    targets
        .retain(|_, totals| totals.running > 0 || totals.unread > 0 || !totals.adapters.is_empty());
}
