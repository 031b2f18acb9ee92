//! Targets whose answers say that they leave, whatever lists say of them.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::{ListedStart, TargetState, View};

/// Part of the bound on leaving targets within which one still takes requests while its
/// service has no other target.
const LAST_RESORT_PART: u32 = 2;

/// When the answers of targets said that they leave, for the first and for the last time.
#[derive(Clone, Debug, Default)]
pub(super) struct Leavers {
    said: BTreeMap<String, Said>,
    /// Time within which requests have to stop going to a leaving target.
    pub(super) bound: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    first: Time,
    last: Time,
}

impl Leavers {
    fn said(&self, now: Time, id: &str) -> Option<Said> {
        let said = self.said.get(id).copied()?;
        (now.since(said.last) < rest::LONGEST).then_some(said)
    }

    pub(super) fn has_said(&self, id: &str) -> bool {
        self.said.contains_key(id)
    }
}

impl View {
    /// Sets the time within which requests have to stop going to a leaving target.
    pub fn set_leaving_bound(&mut self, bound: Duration) {
        self.leavers.bound = bound;
    }

    /// Notes that an answer of a target says that it leaves. That holds for as long as its
    /// process runs, whatever a list says.
    pub fn says_leaving(&mut self, now: Time, id: &str) {
        let Some(known) = self.targets.get(id) else {
            return;
        };
        let fresh = Said {
            first: now,
            last: now,
        };
        let said = self.leavers.said.entry(id.to_owned()).or_insert_with(|| {
            if known.target.ready {
                self.left.push(id.to_owned());
            }
            fresh
        });
        said.last = now;
    }

    /// Returns whether an answer of a target has said that it leaves.
    #[must_use]
    pub fn has_said_leaving(&self, now: Time, id: &str) -> bool {
        self.leavers.said(now, id).is_some()
    }

    /// Forgets what targets said that are gone.
    pub(super) fn expire_leavers(&mut self, now: Time) {
        let targets = &self.targets;
        self.processes.retain(|id, _| targets.contains_key(id));
        self.leavers
            .said
            .retain(|id, said| targets.contains_key(id) && now.since(said.last) < rest::LONGEST);
    }

    /// Forgets what a target said whose process has ended.
    pub(super) fn forget_said(&mut self, id: &str) {
        self.leavers.said.remove(id);
        self.rests.forget(id);
    }

    /// Ends what a target asked for before the list that says when it started.
    pub(super) fn end_said(&mut self, now: Time, start: &ListedStart) {
        let said = self.leavers.said.get(&start.target);
        if said.is_some_and(|said| said.last <= start.as_of) {
            self.leavers.said.remove(&start.target);
        }
        self.rests.end(now, start.target.as_str(), start.as_of);
    }

    /// Returns whether a target takes new requests: it is listed so, and hasn't said that it
    /// leaves.
    pub(super) fn takes_new(&self, now: Time, known: &TargetState) -> bool {
        known.target.ready && self.leavers.said(now, &known.target.id).is_none()
    }

    /// Returns whether a target that has said that it leaves may still take requests.
    ///
    /// Failure: all targets of a service are replaced within a second, and the last ones say
    /// that they leave before the new ones are known.
    pub(super) fn is_last_resort(&self, now: Time, known: &TargetState) -> bool {
        let said = self.leavers.said(now, &known.target.id);
        let bound = self.leavers.bound / LAST_RESORT_PART;
        known.target.ready && said.is_some_and(|said| now.since(said.first) < bound)
    }
}
