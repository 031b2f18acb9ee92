//! Requests that crash targets: takes evidence, and proposes verdicts as the leader.

use std::time::Duration;

use base::Time;
use quarantine::Logged;
use wire::quarantine::CrashReport;

use super::{Control, Event, Output, What, answer::Waiting};
use crate::Hold;

impl Control {
    /// Adds what an entry instance has seen. The leader lifts verdicts on requests that
    /// were answered in full.
    pub(super) fn add_evidence(&mut self, now: Time, report: &CrashReport, out: &mut Vec<Output>) {
        self.crash_register.add(now, report);
        if self.replica.leads(now) {
            self.propose_lifts(now, out);
        }
    }

    fn propose_lifts(&mut self, now: Time, out: &mut Vec<Output>) {
        for fingerprint in self.crash_register.lifts(now) {
            self.propose(now, What::Lift(fingerprint), Waiting::Nobody, out);
        }
    }

    /// Proposes the verdicts that are due, and their lifts.
    pub(super) fn judge(&mut self, now: Time, out: &mut Vec<Output>) {
        self.crash_register.expire(now);
        self.propose_lifts(now, out);
        for verdict in self.crash_register.due(now) {
            let hold = Hold {
                time: super::millis(verdict.time),
                crashes: verdict.crashes,
            };
            let what = What::Hold(verdict.fingerprint, hold);
            self.propose(now, what, Waiting::Nobody, out);
        }
    }

    /// Takes over the verdicts in the log.
    pub(super) fn verdicts_logged(&mut self, now: Time, out: &mut Vec<Output>) {
        let at = self.state.at();
        let all = self.state.quarantine().all().iter();
        let all = all.map(|(fingerprint, sentence)| Logged {
            fingerprint: *fingerprint,
            index: sentence.index,
            left: Duration::from_millis(sentence.until.saturating_sub(at)),
            crashes: sentence.crashes,
            lifted: sentence.lifted,
        });
        let changes = self.crash_register.logged(now, all);
        out.extend(
            changes
                .into_iter()
                .map(|change| Output::Event(Event::Quarantine(change))),
        );
    }
}
