//! What an entry instance knows: which requests it refuses, and until when.

use std::{collections::BTreeMap, time::Duration};

use base::{Fingerprint, Time};
use wire::quarantine::{CrashedRun, QuarantineChange};

use crate::{Ledger, answered::Answered};

/// How long an instance refuses a request by its own evidence alone: long enough for the
/// verdict of the leader, or for a leader to be elected.
const OWN_TIME: Duration = Duration::from_secs(30);

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
}

#[derive(Clone, Copy, Debug)]
struct Entry {
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
        let disputed = self.answered.contains(&id);
        let entry = Entry {
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
