//! Targets that fall over when they refuse many requests.

use std::time::Duration;

use base::{PerSecond, Time};

use super::{TargetState, View};
use crate::brittle::Load;

impl View {
    /// Takes over what an answer of a target says: how many refusals a second it bears, or
    /// that it isn't brittle. Returns whether that has changed.
    pub fn seen_brittle(&mut self, id: &str, bears: Option<PerSecond>) -> bool {
        let Some(known) = self.targets.get(id) else {
            return false;
        };
        let load = self.load_of(known);
        self.brittle.seen(id, bears, load)
    }

    /// Notes that a target refused a request for want of room.
    pub fn no_room(&mut self, now: Time, id: &str) {
        self.brittle.refused(now, id);
    }

    /// Sets the number of entry instances.
    pub fn set_instances(&mut self, now: Time, instances: u32) {
        self.limits.set_instances(now, instances);
        self.brittle.set_instances(instances);
    }

    /// Divides the free slots of brittle targets in `zones` anew.
    pub(super) fn divide_brittle(&mut self, zones: &[String]) {
        let ids: Vec<String> = self.brittle.ids().map(str::to_owned).collect();
        for id in ids {
            let Some(known) = self.targets.get(&id) else {
                continue;
            };
            if zones.contains(&known.target.zone) {
                let load = self.load_of(known);
                self.brittle.heard(&id, load);
            }
        }
    }

    /// Returns the time for which a brittle target takes no further request.
    pub(super) fn brittle_blocked(&self, now: Time, known: &TargetState) -> Option<Duration> {
        let own = known.own.values().sum();
        self.brittle.blocked_for(now, &known.target.id, own)
    }

    /// Returns whether a target names a limit or is brittle.
    pub(super) fn in_need(&self, id: &str) -> bool {
        self.limits.is_limited(id) || self.brittle.is_brittle(id)
    }

    fn load_of(&self, known: &TargetState) -> Load {
        let others = self.others.get(&known.target.id);
        Load {
            slots: known.target.slots,
            own: known.own.values().sum(),
            others: others.copied().unwrap_or(0),
        }
    }
}
