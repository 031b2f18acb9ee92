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
use quarantine::{Change, Guard};
use wire::quarantine::{CrashReport, CrashedRun, Quarantine};

/// Most broken attempts that are remembered for one target.
const MAX_BROKEN: usize = 512;

/// Most crashed runs, and most answered requests, that wait to be reported.
const MAX_UNREPORTED: usize = 1_024;

/// Time without a reply from the leader after which this instance judges alone.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// What an instance knows of requests that crash targets.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    guard: Guard,
    /// Attempts that broke at targets that are being checked.
    broken: BTreeMap<TargetNo, Vec<Broken>>,
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

/// An attempt whose connection to its target broke.
#[derive(Clone, Copy, Debug)]
struct Broken {
    fingerprint: Fingerprint,
    at: Time,
    ran: Duration,
}

impl Crashes {
    /// Returns for how much longer a request is refused, if it is.
    pub(crate) fn held(&self, now: Time, fingerprint: &Fingerprint) -> Option<Duration> {
        let held = self.guard.held(now, fingerprint)?;
        Some(held.left)
    }

    /// Notes that an attempt that was sent at `sent` broke. Returns whether the target
    /// has to be checked.
    pub(crate) fn broke(
        &mut self,
        now: Time,
        target: TargetNo,
        fingerprint: Fingerprint,
        sent: Time,
    ) -> bool {
        let broken = self.broken.entry(target).or_default();
        if broken.len() < MAX_BROKEN {
            broken.push(Broken {
                fingerprint,
                at: now,
                ran: now.since(sent),
            });
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
        for attempt in &broken {
            let run = CrashedRun {
                fingerprint: attempt.fingerprint,
                target: name.to_owned(),
                ago: now.since(attempt.at),
                ran: attempt.ran,
            };
            self.guard.crashed(now, &run);
            self.unreported.push_back((attempt.at, run));
            if self.unreported.len() > MAX_UNREPORTED {
                self.unreported.pop_front();
            }
        }
        !broken.is_empty()
    }

    /// Notes that a request was answered in full. Returns whether there is something to
    /// report.
    pub(crate) fn answered(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspected = self.guard.answered(now, fingerprint);
        if suspected {
            self.add_answered(fingerprint);
        }
        suspected
    }

    /// Returns what the next heartbeat reports.
    pub(crate) fn report(&mut self, now: Time) -> CrashReport {
        self.not_replied();
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

    fn add_answered(&mut self, fingerprint: Fingerprint) {
        self.answered.insert(fingerprint);
        if self.answered.len() > MAX_UNREPORTED {
            self.answered.pop_first();
        }
    }
}
