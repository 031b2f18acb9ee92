//! What an entry instance knows: which requests it refuses, and until when.

use std::{collections::BTreeMap, time::Duration};

use base::{Fingerprint, Time};
use wire::quarantine::{CrashedRun, QuarantineChange};

use crate::{
    Evidence, Ledger,
    answered::Answered,
    parts::{DOUBT_TIME, Parts},
};

/// How long an instance refuses a request by its own evidence alone: long enough for the
/// verdict of the leader, or for a leader to be elected.
const OWN_TIME: Duration = Duration::from_secs(30);

/// How much longer than twice as long as those that ended in crashes a run goes on that shows a
/// part of its prompt to be sound.
const OUTLIVED_BY: Duration = Duration::from_millis(500);

/// Most requests that are held.
const MAX_HELD: usize = 2_048;

/// A request that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// For how much longer.
    pub left: Duration,
    /// The number of crashes that it was part of.
    pub crashes: u32,
}

/// A change of what an instance refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A request is refused from now on.
    Held(Fingerprint, Held),
    /// A request is no longer refused.
    Lifted(Fingerprint),
    /// A request would be refused, but was answered in full here lately. The control
    /// instances have to be told.
    Disputed(Fingerprint),
}

/// Decides at an entry instance which requests are refused.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    ledger: Ledger,
    held: BTreeMap<Fingerprint, Entry>,
    answered: Answered,
    parts: Parts,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Runs that were sent after this and go well show a part of a prompt to be sound.
    since: Time,
    until: Time,
    crashes: u32,
    /// Index of the log entry with the verdict; 0 for a verdict of this instance alone.
    index: u64,
    /// Whether the request was answered in full here.
    disputed: bool,
}

impl Guard {
    /// Returns whether a request is refused: by a verdict, or as one is on its way.
    ///
    /// Failure: a request that crashes targets at once is sent again at once. Until the verdict
    /// comes it would end several more.
    #[must_use]
    pub fn held(&self, now: Time, fingerprint: &Fingerprint) -> Option<Held> {
        self.judged(now, fingerprint).or_else(|| {
            if self.parts.is_known(now, fingerprint) {
                return None;
            }
            let (left, crashes) = self.ledger.awaited(now, fingerprint)?;
            Some(Held { left, crashes })
        })
    }

    fn judged(&self, now: Time, fingerprint: &Fingerprint) -> Option<Held> {
        let entry = self.held.get(fingerprint)?;
        let holds = entry.until > now && !entry.disputed;
        holds.then(|| Held {
            left: entry.until.since(now),
            crashes: entry.crashes,
        })
    }

    /// Returns whether anything speaks against a request or a part of a prompt, also if it is too
    /// little for a verdict.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        let known = self.held.contains_key(fingerprint) || self.ledger.suspects(fingerprint);
        known || self.parts.waits(fingerprint)
    }

    /// Returns whether nothing speaks against any request.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.held.is_empty() && self.ledger.is_empty()
    }

    /// Returns the number of requests that are refused.
    #[must_use]
    pub fn len(&self, now: Time) -> usize {
        let held = self.held.keys();
        held.filter(|id| self.judged(now, id).is_some()).count()
    }

    /// Adds a run of this instance that ended as its target crashed.
    pub fn crashed(&mut self, now: Time, run: &CrashedRun) {
        self.ledger.crashed(now, run);
    }

    /// Adds a crash that a part of a prompt was part of. Returns whether the control instances
    /// have to be told now.
    pub(crate) fn part_crashed(&mut self, now: Time, run: &CrashedRun) -> bool {
        let counts = self.parts.crashed(now, run);
        if counts {
            self.ledger.crashed(now, run);
        }
        counts
    }

    /// Adds the crashes that count against parts of prompts only now, and returns them with
    /// their times: the control instances have to be told.
    pub fn ripe_crashes(&mut self, now: Time) -> Evidence {
        let ripe = self.parts.ripe(now);
        for (at, run) in &ripe {
            let ago = now.since(*at);
            self.ledger.crashed(now, &CrashedRun { ago, ..run.clone() });
        }
        ripe
    }

    /// Notes that a run which was sent at `sent` was answered in full, and that a part of its
    /// prompt is sound. Returns whether the control instances have to be told.
    pub fn part_answered(&mut self, now: Time, part: Fingerprint, sent: Time) -> bool {
        self.parts.answered(now, part, sent);
        self.part_is_sound(now, &part, sent)
    }

    /// Notes that a run which was sent at `sent` has written its answer for `wrote`, and goes
    /// on. A part that crashes targets does so after about the same time each time. Returns
    /// whether the control instances have to be told that it is sound.
    pub fn part_written(
        &mut self,
        now: Time,
        part: &Fingerprint,
        sent: Time,
        wrote: Duration,
    ) -> bool {
        let runs = [self.parts.longest_run(part), self.ledger.longest_run(part)];
        let Some(longest) = runs.into_iter().flatten().max() else {
            return false;
        };
        if wrote < longest * 2 + OUTLIVED_BY {
            return false;
        }
        self.parts.outlived(part, sent);
        self.part_is_sound(now, part, sent)
    }

    fn part_is_sound(&mut self, now: Time, part: &Fingerprint, sent: Time) -> bool {
        let first = self.ledger.first_crash(part);
        let cleared = first.is_some_and(|at| sent > at);
        if cleared {
            self.ledger.answered(part);
        }
        match self.held.get_mut(part) {
            Some(entry) if entry.until > now && !entry.disputed && sent > entry.since => {
                entry.disputed = true;
                true
            }
            _ => cleared,
        }
    }

    /// Returns whether crashes wait to be counted against parts of prompts.
    #[must_use]
    pub fn watches_parts(&self) -> bool {
        !self.parts.is_calm() || !self.is_calm()
    }

    /// Decides by the evidence of this instance alone, for the time in which no control
    /// instance is heard from.
    pub fn judge(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for verdict in self.ledger.due(now) {
            let (id, crashes) = (verdict.fingerprint, verdict.crashes);
            self.ledger.judged(now, &verdict);
            let time = verdict.time.min(OWN_TIME);
            let held = self
                .held
                .get(&id)
                .filter(|_| self.judged(now, &id).is_some());
            if held.is_some_and(|held| held.index > 0 || held.until <= now + time) {
                continue;
            }
            changes.push(self.hold(now, id, time, crashes, 0));
        }
        changes
    }

    /// Notes that a request was answered in full. Returns whether the control instances
    /// have to be told, as they may hold it for a cause.
    pub fn answered(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.answered.add(now, fingerprint);
        let suspected = self.ledger.suspects(&fingerprint);
        self.ledger.answered(&fingerprint);
        match self.held.get_mut(&fingerprint) {
            Some(entry) if entry.until > now => {
                let first = !entry.disputed;
                entry.disputed = true;
                first
            }
            _ => suspected,
        }
    }

    /// Applies changes that a control instance has sent.
    pub fn told(&mut self, now: Time, changes: &[QuarantineChange]) -> Vec<Change> {
        let applied = changes.iter().filter_map(|change| {
            let id = change.fingerprint;
            let known = self.held.get(&id);
            if known.is_some_and(|known| known.index >= change.index) {
                let disputed = known.is_some_and(|known| known.disputed && known.until > now);
                // Another control instance has the same verdict.
                return (disputed && !change.left.is_zero()).then_some(Change::Disputed(id));
            }
            if change.left.is_zero() {
                return self.lift(now, id, change.index);
            }
            Some(self.hold(now, id, change.left, change.crashes, change.index))
        });
        applied.collect()
    }

    /// Forgets what has ended.
    pub fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.answered.expire(now);
        self.parts.expire(now);
        self.held.retain(|_, entry| entry.until > now);
    }

    fn hold(
        &mut self,
        now: Time,
        id: Fingerprint,
        time: Duration,
        crashes: u32,
        index: u64,
    ) -> Change {
        self.make_room(&id);
        let disputed = match id.is_part() {
            true => self.parts.disputes(now, &id, crashes),
            false => self.answered.contains(&id),
        };
        let entry = Entry {
            since: now - DOUBT_TIME,
            until: now + time,
            crashes,
            index,
            disputed,
        };
        self.held.insert(id, entry);
        if disputed {
            return Change::Disputed(id);
        }
        Change::Held(
            id,
            Held {
                left: time,
                crashes,
            },
        )
    }

    fn lift(&mut self, now: Time, id: Fingerprint, index: u64) -> Option<Change> {
        self.ledger.answered(&id);
        let entry = self.held.get_mut(&id)?;
        let held = entry.until > now;
        // The index stays, so that an older verdict that arrives late has no effect.
        entry.index = index;
        entry.disputed = true;
        held.then_some(Change::Lifted(id))
    }

    fn make_room(&mut self, id: &Fingerprint) {
        if self.held.len() < MAX_HELD || self.held.contains_key(id) {
            return;
        }
        let first = self.held.iter().min_by_key(|(_, entry)| entry.until);
        if let Some(first) = first.map(|(id, _)| *id) {
            self.held.remove(&first);
        }
    }
}
