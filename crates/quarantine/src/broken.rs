//! What the crash of a target says against the runs that ended with it.

use std::{collections::BTreeMap, time::Duration};

use base::{Fingerprint, Time};
use wire::quarantine::CrashedRun;

use crate::Guard;

/// Most parts of prompts that one crash speaks against.
const MAX_PARTS: usize = 4_096;

/// A run that ended with its connection to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// When it ended.
    pub at: Time,
    /// Time from the send of the request to the end.
    pub ran: Duration,
    /// Time from the beginning of its answer to the end, if it had begun.
    pub wrote: Option<Duration>,
}

/// Evidence, and when it came about, that the control instances have to be told.
pub type Evidence = Vec<(Time, CrashedRun)>;

impl Guard {
    /// Adds what ended as a target crashed. Returns what the control instances have to be told
    /// now.
    pub fn target_crashed(&mut self, now: Time, target: &str, runs: &[BrokenRun]) -> Evidence {
        let mut told = Vec::new();
        for run in runs {
            let seen = run.seen(now, target, run.fingerprint, run.ran);
            self.crashed(now, &seen);
            told.push((run.at, seen));
        }
        for (part, run) in most_suspect(last_begun(runs)) {
            let seen = run.seen(now, target, part, run.begun_before());
            if self.part_crashed(now, &seen) {
                told.push((run.at, seen));
            }
        }
        told
    }
}

/// Returns the parts whose runs began to answer last, if there are too many.
fn most_suspect(parts: BTreeMap<Fingerprint, &BrokenRun>) -> Vec<(Fingerprint, &BrokenRun)> {
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_by_key(|(_, run)| run.begun_before());
    parts.truncate(MAX_PARTS);
    parts
}

/// Returns for each part of a prompt the run with it whose answer began last.
fn last_begun(runs: &[BrokenRun]) -> BTreeMap<Fingerprint, &BrokenRun> {
    let mut last: BTreeMap<Fingerprint, &BrokenRun> = BTreeMap::new();
    for run in runs {
        for part in &run.parts {
            let known = last.entry(*part).or_insert(run);
            if run.begun_before() < known.begun_before() {
                *known = run;
            }
        }
    }
    last
}

impl BrokenRun {
    /// Returns the time from the beginning of its answer to the end. A part crashes a target that
    /// begins to answer on it, so the time in its queue says nothing.
    fn begun_before(&self) -> Duration {
        self.wrote.unwrap_or_default()
    }

    fn seen(&self, now: Time, target: &str, fingerprint: Fingerprint, ran: Duration) -> CrashedRun {
        CrashedRun {
            fingerprint,
            target: target.to_owned(),
            ago: now.since(self.at),
            ran,
        }
    }
}
