//! Targets whose answers say that they leave, whatever lists say of them.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use super::{TargetState, View};

/// Part of the bound on leaving targets within which one still takes requests while its
/// service has no other target.
const LAST_RESORT_PART: u32 = 2;

/// When the answers of targets said that they leave, for the first and for the last time.
#[derive(Clone, Debug, Default)]
pub(super) struct Leavers {
    said: BTreeMap<String, Said>,
    /// Time within which requests have to stop going to a leaving target.
    bound: Duration,
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
}

impl View {
    /// Sets the time within which requests have to stop going to a leaving target.
    pub fn set_leaving_bound(&mut self, bound: Duration) {
        self.leavers.bound = bound;
    }

    /// Takes over when targets started; 0 if that isn't known. Returns those that have started
    /// anew under their ids.
    ///
    /// Failure: a target that leaves, or has asked for rest, ends and starts again under its id.
    /// Nothing is sent there, so nobody sees its process end, and the next one would get nothing
    /// for as long as the word of the one before stands.
    pub fn set_starts(
        &mut self,
        now: Time,
        told: impl IntoIterator<Item = (String, u64)>,
    ) -> Vec<String> {
        let mut anew = Vec::new();
        for (id, born) in told {
            let known = self.starts.entry(id.clone()).or_insert(born);
            let before = std::mem::replace(known, born.max(*known));
            if before == 0 || born <= before {
                continue;
            }
            self.leavers.said.remove(&id);
            self.rests.end(now, id.as_str());
            anew.push(id);
        }
        anew
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
        self.starts.retain(|id, _| targets.contains_key(id));
        self.leavers
            .said
            .retain(|id, said| targets.contains_key(id) && now.since(said.last) < rest::LONGEST);
    }

    /// Forgets what a target said whose process has ended.
    pub(super) fn forget_said(&mut self, id: &str) {
        self.leavers.said.remove(id);
        self.rests.forget(id);
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
