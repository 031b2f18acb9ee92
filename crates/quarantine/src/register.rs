//! What a control instance knows: the evidence, and the verdicts in the replicated log.

use std::{collections::BTreeMap, time::Duration};

use base::{Fingerprint, Time};
use wire::quarantine::{CrashReport, Quarantine, QuarantineChange};

use crate::{Change, Held, Ledger, Verdict};

/// Time after which a verdict or a lift that isn't in the log is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_secs(1);

/// Time in which all instances that dispute a verdict say so.
const DISPUTE_TIME: Duration = Duration::from_secs(2);

/// Most changes in one answer: some 40 KB.
const MAX_CHANGES: usize = 1_000;

/// A verdict, or its end, as the log has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Logged {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Index of its entry in the log.
    pub index: u64,
    /// For how much longer it holds.
    pub left: Duration,
    /// The number of crashes that the request was part of.
    pub crashes: u32,
    /// Whether the request was cleared.
    pub lifted: bool,
}

/// Evidence and verdicts at one control instance.
#[derive(Clone, Debug, Default)]
pub struct Register {
    ledger: Ledger,
    /// Verdicts by the index of their entry in the log.
    verdicts: BTreeMap<u64, Known>,
    /// Verdicts that were proposed and aren't in the log yet, by when.
    proposed: BTreeMap<Fingerprint, Time>,
    /// Refused requests that were answered in full, by when their lift was proposed.
    cleared: BTreeMap<Fingerprint, Option<Time>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    fingerprint: Fingerprint,
    since: Time,
    until: Time,
    crashes: u32,
    lifted: bool,
}

impl Register {
    /// Adds what an entry instance has seen.
    pub fn add(&mut self, now: Time, report: &CrashReport) {
        for run in &report.runs {
            self.ledger.crashed(now, run);
        }
        for fingerprint in &report.answered {
            let held = self.holds(now, fingerprint);
            if held {
                self.cleared.entry(*fingerprint).or_default();
            }
            if !held && !self.was_disputed(now, fingerprint) || !fingerprint.is_part() {
                self.ledger.answered(fingerprint);
            }
        }
    }

    /// Returns the requests that are refused but were answered in full, whose verdicts the
    /// leader has to propose to lift now.
    pub fn lifts(&mut self, now: Time) -> Vec<Fingerprint> {
        let waiting = self.cleared.iter_mut();
        let due = waiting.filter(|(_, asked)| asked.is_none_or(|at| is_lost(now, at)));
        due.map(|(id, asked)| {
            *asked = Some(now);
            *id
        })
        .collect()
    }

    /// Returns the verdicts that the leader has to propose now.
    pub fn due(&mut self, now: Time) -> Vec<Verdict> {
        let mut due = self.ledger.due(now);
        due.retain(|verdict| {
            let asked = self.proposed.get(&verdict.fingerprint);
            asked.is_none_or(|at| is_lost(now, *at))
        });
        // Only what is proposed renews the time: a check that proposes nothing must not
        // put off the next proposal.
        let asked = due.iter().map(|verdict| (verdict.fingerprint, now));
        self.proposed.extend(asked);
        due
    }

    /// Takes over the verdicts in the log, and returns what has changed.
    pub fn logged(&mut self, now: Time, all: impl IntoIterator<Item = Logged>) -> Vec<Change> {
        self.expire(now);
        let mut changes = Vec::new();
        for new in all {
            if self.verdicts.contains_key(&new.index) || new.left.is_zero() {
                continue;
            }
            let id = new.fingerprint;
            self.verdicts.retain(|_, known| known.fingerprint != id);
            self.proposed.remove(&id);
            self.cleared.remove(&id);
            let known = Known {
                fingerprint: id,
                since: now,
                until: now + new.left,
                crashes: new.crashes,
                lifted: new.lifted,
            };
            self.verdicts.insert(new.index, known);
            changes.push(self.take_over(now, &new));
        }
        changes
    }

    /// Returns the changes that a requester with those up to `known` lacks.
    #[must_use]
    pub fn since(&self, now: Time, known: u64) -> Quarantine {
        let last = self.verdicts.keys().next_back().copied().unwrap_or(0);
        // A requester that knows more has heard it of another log.
        let from = if known > last { 0 } else { known };
        let newer = self.verdicts.range(from + 1..).take(MAX_CHANGES);
        let newer: Vec<_> = newer.collect();
        let last = newer.last().map_or(last, |(index, _)| **index);
        let newer = newer.into_iter().filter(|(_, verdict)| verdict.until > now);
        let changes = newer.map(|(index, verdict)| QuarantineChange {
            fingerprint: verdict.fingerprint,
            index: *index,
            left: if verdict.lifted {
                Duration::ZERO
            } else {
                verdict.until.since(now)
            },
            crashes: verdict.crashes,
        });
        Quarantine {
            changes: changes.collect(),
            last,
        }
    }

    /// Forgets what has ended.
    pub fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.verdicts.retain(|_, known| known.until > now);
        self.proposed.retain(|_, at| !is_lost(now, *at));
        let mut cleared = std::mem::take(&mut self.cleared);
        cleared.retain(|id, _| self.holds(now, id));
        self.cleared = cleared;
    }

    /// Returns the number of requests with evidence.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the number of requests that are refused.
    #[must_use]
    pub fn held(&self) -> usize {
        self.verdicts.values().filter(|known| !known.lifted).count()
    }

    fn take_over(&mut self, now: Time, new: &Logged) -> Change {
        let id = new.fingerprint;
        if new.lifted {
            if id.is_part() {
                self.ledger.disputed(&id);
            } else {
                self.ledger.answered(&id);
            }
            return Change::Lifted(id);
        }
        let verdict = Verdict {
            fingerprint: id,
            crashes: new.crashes,
            time: new.left,
        };
        self.ledger.judged(now, &verdict);
        Change::Held(
            id,
            Held {
                left: new.left,
                crashes: new.crashes,
            },
        )
    }

    /// Returns whether the verdict on a part of prompts was lifted just now, so that other instances
    /// may still dispute it. They don't clear the part: its evidence stays.
    fn was_disputed(&self, now: Time, part: &Fingerprint) -> bool {
        let mut known = self.verdicts.values();
        known.any(|k| k.fingerprint == *part && k.lifted && now.since(k.since) < DISPUTE_TIME)
    }

    fn holds(&self, now: Time, fingerprint: &Fingerprint) -> bool {
        self.verdicts
            .values()
            .any(|known| known.fingerprint == *fingerprint && !known.lifted && known.until > now)
    }
}

/// Returns whether a proposal made at `asked` has to be made again.
fn is_lost(now: Time, asked: Time) -> bool {
    now.since(asked) >= PROPOSE_AGAIN
}
