//! Finds out whether a target has crashed after connections to it broke, and which
//! requests crash targets.
//!
//! A broken connection alone doesn't say: a network resets connections, and a target may
//! lose an answer and go on. A target that crashed no longer listens.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{Fingerprint, Time};
use daemon::{Fate, log_quarantine};
use quarantine::{BrokenRun, Change, Evidence, Guard};
use telemetry::{event, prom_metrics};
use tokio::time::sleep;
use wire::quarantine::QuarantineChange;

use super::state::State;

/// Time between the first broken connection to a target and the check: the others break
/// within some milliseconds, and a process closes its listener last.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Most runs that are remembered for one check.
const MAX_RUNS: usize = 512;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// Its answer isn't complete.
    Cut,
    /// Its target closed the connection in order, by which the answer may be complete.
    Closed,
    /// The same, and the answer says nothing for its request; see [`quarantine::clears`].
    ClosedUnsound,
}

/// A run that ended with its connection to its target.
#[derive(Clone, Debug)]
pub(super) struct EndedRun {
    /// The caller's id of the request.
    pub(super) request: String,
    pub(super) adapter: String,
    pub(super) ended: Ended,
    pub(super) run: BrokenRun,
}

/// Runs that ended at targets that are being checked, by target.
pub(super) type EndedRuns = BTreeMap<String, Vec<EndedRun>>;

/// Notes that a run at `target` ended with its connection. The first one starts a check of
/// the target.
pub(super) fn run_ended(state: &Arc<State>, target: &str, run: EndedRun) {
    let addr = state.view().addr(target).map(str::to_owned);
    let Some(addr) = addr.and_then(|addr| addr.parse().ok()) else {
        return;
    };
    let first = match state.ended_runs().entry(target.to_owned()) {
        Entry::Vacant(none) => {
            none.insert(vec![run]);
            true
        }
        Entry::Occupied(mut runs) => {
            if runs.get().len() < MAX_RUNS {
                runs.get_mut().push(run);
            }
            false
        }
    };
    if first {
        tokio::spawn(check(Arc::clone(state), target.to_owned(), addr));
    }
}

async fn check(state: Arc<State>, target: String, addr: SocketAddr) {
    sleep(CHECK_DELAY).await;
    let fate = state.paths.fate(addr).await;
    let runs = state.ended_runs().remove(&target).unwrap_or_default();
    // A target that still runs has ended its answers itself.
    let (runs, ended): (Vec<_>, Vec<_>) = runs
        .into_iter()
        .partition(|run| run.ended == Ended::Cut || fate == Fate::Crashed);
    prom_metrics().broken_runs(fate.as_str(), runs.len());
    if fate == Fate::Crashed {
        state.view().ended(state.now(), &target);
        crashed(&state, &target, &runs);
    }
    if fate == Fate::Running {
        for run in ended.iter().filter(|run| run.ended == Ended::Closed) {
            note_whole(&state, &run.run);
        }
    }
    for EndedRun {
        request,
        adapter,
        run,
        ..
    } in runs
    {
        event!(
            telemetry::Event::RunBroken,
            request = request,
            fingerprint = run.fingerprint.to_string(),
            adapter = adapter,
            parts = text(&run.parts),
            target = target,
            fate = fate.as_str(),
            ran_ms = run.ran.as_millis()
        );
    }
}

/// Returns fingerprints for the log.
fn text(fingerprints: &[Fingerprint]) -> String {
    let all: Vec<_> = fingerprints.iter().map(ToString::to_string).collect();
    all.join(",")
}

/// Notes an answer that ended with its connection, at a target that goes on.
fn note_whole(state: &State, run: &BrokenRun) {
    parts_answered(state, &run.parts, run.at - run.ran);
    answered(state, run.fingerprint);
}

/// Reports what ended as a target crashed.
fn crashed(state: &State, target: &str, runs: &[EndedRun]) {
    let runs: Vec<_> = runs.iter().map(|run| run.run.clone()).collect();
    let evidence = state.guard().target_crashed(state.now(), target, &runs);
    report(state, evidence);
}

/// Reports what counts against parts of prompts from now on.
pub(super) fn report_ripe(state: &State) {
    let evidence = state.guard().ripe_crashes(state.now());
    report(state, evidence);
}

fn report(state: &State, evidence: Evidence) {
    for (at, run) in evidence {
        state.controls.report_crash(at, run);
    }
}

/// Notes that a run that was sent at `sent` was answered in full, by the parts of its prompt.
pub(super) fn parts_answered(state: &State, parts: &[Fingerprint], sent: Time) {
    clear_parts(state, parts, |guard, now, part| {
        guard.part_answered(now, *part, sent)
    });
}

/// Notes that a run that was sent at `sent` has written its answer for `wrote`, by the parts of its
/// prompt.
pub(super) fn parts_written(state: &State, parts: &[Fingerprint], sent: Time, wrote: Duration) {
    clear_parts(state, parts, |guard, now, part| {
        guard.part_written(now, part, sent, wrote)
    });
}

/// Notes that parts of a prompt are sound, and reports those for which `note` says so.
fn clear_parts(
    state: &State,
    parts: &[Fingerprint],
    note: impl Fn(&mut Guard, Time, &Fingerprint) -> bool,
) {
    let now = state.now();
    let mut guard = state.guard();
    let told = parts.iter().filter(|part| note(&mut guard, now, part));
    let told: Vec<_> = told.copied().collect();
    drop(guard);
    for part in told {
        state.controls.report_answered(part);
    }
}

/// Decides by the evidence of this instance while no control instance is heard from.
pub(super) fn judge_alone(state: &State) {
    let now = state.now();
    if !state.controls.any_heard(now) {
        let changes = state.guard().judge(now);
        for change in &changes {
            log_quarantine(change, "instance");
        }
    }
}

/// Notes that a request was answered in full.
pub(super) fn answered(state: &State, fingerprint: Fingerprint) {
    let suspected = state.guard().answered(state.now(), fingerprint);
    if suspected {
        state.controls.report_answered(fingerprint);
    }
}

/// Applies verdicts on requests that a control instance has sent.
pub(super) fn apply_verdicts(state: &State, verdicts: &[QuarantineChange]) {
    let now = state.now();
    let mut guard = state.guard();
    let changes = guard.told(now, verdicts);
    guard.expire(now);
    prom_metrics().held_requests(guard.len(now));
    drop(guard);
    for change in &changes {
        if let Change::Disputed(fingerprint) = change {
            state.controls.report_answered(*fingerprint);
        }
        log_quarantine(change, "log");
    }
}
