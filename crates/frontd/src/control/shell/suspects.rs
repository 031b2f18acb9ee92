//! Evidence against requests that crash targets, and the verdicts on it.
//!
//! Every control instance keeps the evidence that entry instances report. The leader puts
//! verdicts into the replicated log, so that all instances have the same ones, also after
//! a restart.

use std::{collections::BTreeMap, time::Duration};

use base::{Fingerprint, Ticket, Time};
use control::{Hold, Input, What};
use quarantine::{Ledger, Verdict};
use telemetry::{event, prom_metrics};
use wire::quarantine::{CrashReport, Quarantine, QuarantineChange};

use super::Shell;

/// Time after which a verdict that isn't in the log is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_secs(1);

/// Most changes in one answer: some 40 KB.
const MAX_CHANGES: usize = 1_000;

/// Evidence and verdicts as known here.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    ledger: Ledger,
    /// Verdicts in the log, in its order, by the index of their entry.
    verdicts: BTreeMap<u64, Known>,
    /// What was proposed, and when.
    proposed: BTreeMap<Fingerprint, Time>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    fingerprint: Fingerprint,
    until: Time,
    crashes: u32,
    lifted: bool,
}

impl Suspects {
    /// Returns the changes that a requester with those up to `known` lacks.
    pub(super) fn since(&self, now: Time, known: u64) -> Quarantine {
        let last = self.verdicts.keys().next_back().copied().unwrap_or(0);
        // A requester that knows more has heard it of another log.
        let from = if known > last { 0 } else { known };
        let newer = self.verdicts.range(from + 1..).take(MAX_CHANGES);
        let newer: Vec<_> = newer.collect();
        let last = newer.last().map_or(last, |(index, _)| **index);
        let changes = newer.into_iter().map(|(index, verdict)| QuarantineChange {
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

    fn may_propose(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.proposed.retain(|_, at| now.since(*at) < PROPOSE_AGAIN);
        self.proposed.insert(fingerprint, now).is_none()
    }

    fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
        self.verdicts.retain(|_, known| known.until > now);
    }
}

impl Shell {
    /// Adds what an entry instance has seen.
    pub(super) fn add_evidence(&mut self, report: &CrashReport) {
        let now = self.clock.now();
        for run in &report.runs {
            self.suspects.ledger.crashed(now, run);
        }
        for fingerprint in &report.answered {
            self.suspects.ledger.answered(fingerprint);
            let held = self.suspects.verdicts.values().any(|known| {
                known.fingerprint == *fingerprint && !known.lifted && known.until > now
            });
            if held && self.suspects.may_propose(now, *fingerprint) {
                self.propose(What::Lift(*fingerprint));
            }
        }
    }

    /// Proposes the verdicts that are due, if this instance leads.
    pub(super) fn judge(&mut self) {
        let now = self.clock.now();
        if !self.control.leads(now) {
            return;
        }
        for verdict in self.suspects.ledger.due(now) {
            if self.suspects.may_propose(now, verdict.fingerprint) {
                self.propose(What::Hold(verdict.fingerprint, hold(verdict)));
            }
        }
    }

    /// Forgets what has ended, and counts the rest.
    pub(super) fn expire_suspects(&mut self) {
        self.suspects.expire(self.clock.now());
        prom_metrics().suspects(self.suspects.ledger.len());
        let held = self
            .suspects
            .verdicts
            .values()
            .filter(|known| !known.lifted);
        prom_metrics().held_requests(held.count());
    }

    /// Takes over what has changed in the log.
    pub(super) fn verdicts_changed(&mut self) {
        let now = self.clock.now();
        let state = self.control.state();
        let (at, all) = (state.at(), state.quarantine().all());
        let suspects = &mut self.suspects;
        let known = &suspects.verdicts;
        let news = all
            .iter()
            .filter(|(_, sentence)| sentence.until > at && !known.contains_key(&sentence.index));
        let news: Vec<_> = news.collect();
        for (id, sentence) in news {
            suspects
                .verdicts
                .retain(|_, known| known.fingerprint != *id);
            let left = Duration::from_millis(sentence.until.saturating_sub(at));
            let new = Known {
                fingerprint: *id,
                until: now + left,
                crashes: sentence.crashes,
                lifted: sentence.lifted,
            };
            suspects.verdicts.insert(sentence.index, new);
            if sentence.lifted {
                suspects.ledger.answered(id);
                event!(
                    telemetry::Event::RequestCleared,
                    fingerprint = id.to_string()
                );
            } else {
                let verdict = Verdict {
                    fingerprint: *id,
                    crashes: sentence.crashes,
                    time: left,
                };
                suspects.ledger.judged(now, &verdict);
                event!(
                    telemetry::Event::RequestHeld,
                    fingerprint = id.to_string(),
                    crashes = sentence.crashes,
                    left_ms = left.as_millis(),
                    by = "log"
                );
            }
        }
    }

    /// Proposes an entry of the log whose result nobody waits for.
    fn propose(&mut self, what: What) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.input(Input::Publish { ticket, what });
    }
}

fn hold(verdict: Verdict) -> Hold {
    Hold {
        time: u64::try_from(verdict.time.as_millis()).unwrap_or(u64::MAX),
        crashes: verdict.crashes,
    }
}
