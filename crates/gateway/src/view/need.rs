//! Targets in need: those that name a limit, and those that fall over when they refuse many
//! requests.

use std::time::Duration;

use base::{PerSecond, Time};
use rest::{EndedRest, Rests};
use wire::limit::SeenLimit;

use super::{TargetState, View};
use crate::{
    brittle::Load,
    target_limit::{KnownLimits, LimitChange, ROOM, Standing},
};

impl View {
    /// Returns the limits that targets name.
    pub fn limits(&mut self) -> &mut KnownLimits {
        &mut self.limits
    }

    /// Has the limits of targets in `zones` reported again, as their owner may not know them.
    pub fn report_limits_again(&mut self, zones: &[String]) {
        let targets = &self.targets;
        let in_zones = |id: &str| {
            let known = targets.get(id);
            known.is_some_and(|known| zones.contains(&known.target.zone))
        };
        self.limits.report_again(in_zones);
    }

    /// Removes and returns what has to be reported of limits to the owner of some zones: what
    /// answers said, and what was sent before.
    pub fn take_limit_report(
        &mut self,
        now: Time,
        owned: impl Fn(&str) -> bool,
    ) -> (Vec<SeenLimit>, Vec<(String, u32)>) {
        let targets = &self.targets;
        self.limits.take_report(now, |id| {
            targets
                .get(id)
                .is_some_and(|known| owned(&known.target.zone))
        })
    }

    /// Removes and returns what zone owners have said of limits.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Forgets what is known of limits of targets that are gone.
    pub fn expire_limits(&mut self, now: Time) {
        let targets = &self.targets;
        self.limits.expire(now, |id| targets.contains_key(id));
        self.brittle.retain(|id| targets.contains_key(id));
        self.expire_leavers(now);
    }

    /// Returns the time for which a target takes no request: it has asked for rest, or its limit
    /// is used up.
    pub(super) fn blocked_for(&self, now: Time, known: &TargetState) -> Option<Duration> {
        let limit = match self.limits.standing(now, &known.target.id) {
            Standing::Blocked(wait) => Some(wait),
            Standing::Free | Standing::Limited => None,
        };
        let rest = self.rests.wait(now, &known.target.id);
        rest.max(limit).max(self.brittle_blocked(now, known))
    }

    /// Returns whether a target that holds an adapter has asked this instance for rest.
    #[must_use]
    pub fn has_resting_holder(&self, now: Time, adapter: &str) -> bool {
        let mut resting = self.rests.resting(now);
        resting.any(|(id, _)| {
            let known = self.targets.get(id);
            known.is_some_and(|known| self.holds(known, adapter))
        })
    }

    /// Returns whether a target takes no request for `wait`, as it has asked for rest.
    pub(super) fn rests_for(&self, now: Time, known: &TargetState, wait: Duration) -> bool {
        self.rests.wait(now, &known.target.id) == Some(wait)
    }

    /// Returns whether a target can take requests over from targets that name limits or rest.
    ///
    /// Failure: most engines name limits, and all that goes beyond these is sent to the
    /// others. Their queues grow until their own callers leave as well.
    pub(super) fn takes_over(&self, now: Time, known: &TargetState) -> bool {
        let id = &known.target.id;
        !self.in_need(id) && !self.rests.is_known(now, id) && self.load(known) < ROOM
    }

    /// Takes over what an answer of a target says: how many refusals a second it bears, or
    /// that it isn't brittle. Returns whether that has changed.
    pub fn seen_brittle(&mut self, id: &str, bears: Option<PerSecond>) -> bool {
        let Some(known) = self.targets.get(id) else {
            return false;
        };
        let load = self.load_of(known);
        self.brittle.seen(id, bears, load)
    }

    /// Returns the targets that have asked this instance for rest.
    pub fn rests(&mut self) -> &mut Rests<String> {
        &mut self.rests
    }

    /// Removes and returns the rests that are over.
    pub fn take_ended_rests(&mut self, now: Time) -> Vec<EndedRest<String>> {
        let targets = &self.targets;
        self.rests.take_ended(now, |id| targets.contains_key(id))
    }

    /// Returns whether a request that was chosen a target may be written for it now: the target
    /// takes requests, and hasn't asked for rest.
    #[must_use]
    pub fn may_write(&self, now: Time, id: &str) -> bool {
        let Some(known) = self.targets.get(id) else {
            return false;
        };
        let takes = self.takes_new(now, known) || self.is_last_resort(now, known);
        takes && !self.rests.is_resting(now, id)
    }

    /// Notes that a target refused a request for want of room.
    pub fn no_room(&mut self, now: Time, id: &str) {
        self.brittle.refused(now, id);
        self.rests.refused(now, id);
        self.note_full(now, id);
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
