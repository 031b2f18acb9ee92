//! Requests that crash targets, as this instance knows of them: what is refused, and what
//! has to be reported to the leader.
//!
//! When an attempt breaks, the driver checks whether its target still listens. If it does
//! not, all attempts that broke there become evidence. It goes to the leader with the
//! heartbeats, whose replies bring the verdicts.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use base::{Fingerprint, TargetNo, Time};
use quarantine::{BrokenRun, Change, Evidence, Guard};
use wire::quarantine::{CrashReport, CrashedRun, Quarantine};

/// Most broken attempts that are remembered for one target.
const MAX_BROKEN: usize = 512;

/// Most crashed runs, and most answered requests, that wait to be reported.
const MAX_UNREPORTED: usize = 8_192;

/// Time without a reply from the leader after which this instance judges alone.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// What an instance knows of requests that crash targets.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    guard: Guard,
    /// Attempts that broke at targets that are being checked.
    broken: BTreeMap<TargetNo, Vec<BrokenRun>>,
    /// Crashed runs, and when, that aren't in any heartbeat yet.
    unreported: VecDeque<(Time, CrashedRun)>,
    /// Requests that were answered though there is evidence against them.
    answered: BTreeSet<Fingerprint>,
    /// The report in the outstanding heartbeat, and when it was made.
    sent: Option<(Time, CrashReport)>,
    /// Index of the last verdict that the leader has sent.
    known: u64,
    last_reply: Time,
}

impl Crashes {
    /// Returns for how much longer a request is refused, if it is, by its content or a part of its
    /// prompt.
    pub(crate) fn held(
        &self,
        now: Time,
        content: &Fingerprint,
        parts: &[Fingerprint],
    ) -> Option<Duration> {
        let ids = parts.iter().chain([content]);
        let held = ids.filter_map(|id| self.guard.held(now, id));
        held.map(|held| held.left).max()
    }

    /// Notes that an attempt broke. Returns whether the target has to be checked.
    pub(crate) fn broke(&mut self, target: TargetNo, run: BrokenRun) -> bool {
        let broken = self.broken.entry(target).or_default();
        if broken.len() < MAX_BROKEN {
            broken.push(run);
        }
        broken.len() == 1
    }

    /// Takes the result of a check. Returns whether there is something to report.
    pub(crate) fn checked(
        &mut self,
        now: Time,
        target: TargetNo,
        name: &str,
        crashed: bool,
    ) -> bool {
        let broken = self.broken.remove(&target).unwrap_or_default();
        if !crashed {
            return false;
        }
        let evidence = self.guard.target_crashed(now, name, &broken);
        self.add_unreported(evidence);
        !broken.is_empty()
    }

    /// Notes that a request that was sent at `sent` was answered in full. Returns whether there is
    /// something to report.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        content: Fingerprint,
        parts: &[Fingerprint],
        sent: Time,
    ) -> bool {
        let mut cleared = Vec::new();
        if self.guard.answered(now, content) {
            cleared.push(content);
        }
        for part in parts {
            if self.guard.part_answered(now, *part, sent) {
                cleared.push(*part);
            }
        }
        let any = !cleared.is_empty();
        for id in cleared {
            self.add_answered(id);
        }
        any
    }

    /// Returns what the next heartbeat reports.
    pub(crate) fn report(&mut self, now: Time) -> CrashReport {
        self.not_replied();
        let ripe = self.guard.ripe_crashes(now);
        self.add_unreported(ripe);
        let runs = self.unreported.drain(..).map(|(at, run)| CrashedRun {
            ago: now.since(at),
            ..run
        });
        let report = CrashReport {
            runs: runs.collect(),
            answered: std::mem::take(&mut self.answered).into_iter().collect(),
            known: self.known,
        };
        self.sent = Some((now, report.clone()));
        report
    }

    /// Keeps the report of a heartbeat that got no reply, to send it again.
    pub(crate) fn not_replied(&mut self) {
        let Some((at, report)) = self.sent.take() else {
            return;
        };
        for run in report.runs.into_iter().rev() {
            self.unreported.push_front((at - run.ago, run));
        }
        self.unreported.truncate(MAX_UNREPORTED);
        for fingerprint in report.answered {
            self.add_answered(fingerprint);
        }
    }

    /// Applies what the leader replied.
    pub(crate) fn replied(&mut self, now: Time, quarantine: &Quarantine) -> Vec<Change> {
        self.sent = None;
        self.last_reply = now;
        self.known = quarantine.last;
        let changes = self.guard.told(now, &quarantine.changes);
        for change in &changes {
            if let Change::Disputed(fingerprint) = change {
                self.add_answered(*fingerprint);
            }
        }
        self.guard.expire(now);
        changes
    }

    /// Judges by the evidence of this instance while the leader doesn't reply.
    pub(crate) fn judge_alone(&mut self, now: Time) -> Vec<Change> {
        if now.since(self.last_reply) < LEADER_TIMEOUT {
            return Vec::new();
        }
        self.guard.judge(now)
    }

    fn add_unreported(&mut self, evidence: Evidence) {
        self.unreported.extend(evidence);
        let excess = self.unreported.len().saturating_sub(MAX_UNREPORTED);
        self.unreported.drain(..excess);
    }

    fn add_answered(&mut self, fingerprint: Fingerprint) {
        self.answered.insert(fingerprint);
        if self.answered.len() > MAX_UNREPORTED {
            self.answered.pop_first();
        }
    }
}
