//! Checks the invariants that must hold over the whole history of a run.

use std::collections::BTreeMap;

use base::{Fence, TextVersion, Time};
use wire::operator::{Applied, Why};

use crate::engine::{Evicted, Order, Sender};

/// Time in milliseconds between the check and the arrival of an unload, beyond which it
/// may interrupt a request at an engine that ignores fencing numbers.
///
/// It happens when the engine's owner is paused between check and send. The design notes
/// list this as a known limitation.
const TOLERATED_FLIGHT_MS: u64 = 600;

#[derive(Debug, Default)]
pub(crate) struct Checker {
    /// The first few violations.
    pub(crate) errors: Vec<String>,
    /// The incarnation that first used each fencing number of a target.
    fences: BTreeMap<(String, Fence), (String, u64)>,
    /// The newest text version of each incarnation.
    texts: BTreeMap<(String, u64), TextVersion>,
    /// The change accepted on top of each base version.
    winners: BTreeMap<u64, String>,
    /// The version and text as which each change was accepted.
    accepted: BTreeMap<String, (TextVersion, String)>,
    /// Refused changes, by change id, base version and text.
    refused: BTreeMap<(String, u64, String), Applied>,
    /// Executions of each idempotency key.
    runs: BTreeMap<String, u32>,
    /// Unloads of an adapter in use that arrived after [`TOLERATED_FLIGHT_MS`].
    pub(crate) late: u32,
    /// Interrupted requests of instances that the platform no longer lists.
    pub(crate) unlisted: u32,
    pub(crate) orders: u32,
    pub(crate) requests: u32,
    pub(crate) refusals: u32,
}

impl Checker {
    fn fail(&mut self, now: Time, what: String) {
        if self.errors.len() < 5 {
            self.errors.push(format!("{now}: {what}"));
        }
    }

    /// Checks an order that an engine took: one sender per fencing number, and no unload of
    /// an adapter in use.
    pub(crate) fn order(
        &mut self,
        now: Time,
        target: &str,
        fencing: bool,
        sender: &Sender,
        order: &Order,
        evicted: Option<Evicted>,
    ) {
        self.orders += 1;
        let key = (target.to_owned(), sender.fence);
        let first = self
            .fences
            .entry(key)
            .or_insert_with(|| sender.incarnation.clone())
            .clone();
        if first != sender.incarnation {
            let fence = sender.fence;
            self.fail(
                now,
                format!(
                    "{target}: fencing number {fence} used by {first:?} and {:?}",
                    sender.incarnation
                ),
            );
        }
        let Some(evicted) = evicted else {
            return;
        };
        let flight = now.since(sender.checked).as_millis();
        if !fencing && flight > u128::from(TOLERATED_FLIGHT_MS) {
            self.late += 1;
            return;
        }
        let what = format!(
            "{target}: {order:?} of {sender:?} arrived after {flight} ms and unloaded {} in use by requests {:?}",
            evicted.adapter, evicted.requests
        );
        self.fail(now, what);
    }

    /// Checks that at most one instance has full ownership of a target.
    pub(crate) fn owners(&mut self, now: Time, target: &str, owners: &[String]) {
        if owners.len() > 1 {
            self.fail(
                now,
                format!("{target}: several owners at the same time: {owners:?}"),
            );
        }
    }

    /// Checks that the text version in force at an instance never decreases.
    pub(crate) fn text(&mut self, now: Time, incarnation: (String, u64), version: TextVersion) {
        let last = self.texts.entry(incarnation.clone()).or_default();
        if version < *last {
            let last = *last;
            self.fail(
                now,
                format!("{incarnation:?}: text went from {last} to {version}"),
            );
            return;
        }
        *last = version;
    }

    /// Checks the answer to an operator's change against earlier answers.
    pub(crate) fn applied(
        &mut self,
        now: Time,
        change: &str,
        base: u64,
        text: &str,
        applied: &Applied,
    ) {
        match applied {
            Applied::Accepted { version } => self.accept(now, change, text, *version),
            Applied::Refused { why } => {
                let key = (change.to_owned(), base, text.to_owned());
                if matches!(why, Why::Conflict { .. } | Why::ChangeReused) {
                    self.refused.insert(key, applied.clone());
                }
                let known = self.accepted.get(change);
                if known.is_some_and(|(version, accepted)| {
                    version.get() == base + 1 && accepted == text
                }) && matches!(why, Why::Conflict { .. } | Why::ChangeReused)
                {
                    self.fail(now, format!("{change}: accepted, then {applied:?}"));
                }
            }
            Applied::Unknown { .. } => {}
        }
    }

    /// Records an accepted change.
    ///
    /// A retry with the same id and text may name another base version, so the base is
    /// taken from the version as which the change was accepted.
    fn accept(&mut self, now: Time, change: &str, text: &str, version: TextVersion) {
        let base = version.get() - 1;
        let key = (change.to_owned(), base, text.to_owned());
        if self.refused.contains_key(&key) {
            self.fail(now, format!("{change}: refused, then accepted"));
        }
        let fresh = || change.to_owned();
        let winner = self.winners.entry(base).or_insert_with(fresh).clone();
        if winner != change {
            self.fail(
                now,
                format!("base {base}: both {winner} and {change} were accepted"),
            );
        }
        let value = (version, text.to_owned());
        let fresh = || value.clone();
        let first = self.accepted.entry(change.to_owned()).or_insert_with(fresh);
        if *first != value {
            let first = first.clone();
            self.fail(
                now,
                format!("{change}: accepted as {first:?} and {value:?}"),
            );
        }
    }

    /// Checks that every accepted change is in the final history.
    pub(crate) fn history(&mut self, now: Time, found: &BTreeMap<TextVersion, String>) {
        for (change, (version, ..)) in std::mem::take(&mut self.accepted) {
            if found.get(&version) != Some(&change) {
                self.fail(
                    now,
                    format!("{change}: accepted as version {version}, then lost"),
                );
            }
        }
    }

    /// Checks that a marked request runs at most once per idempotency key.
    pub(crate) fn ran(&mut self, now: Time, key: &str) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 {
            let runs = *runs;
            self.fail(now, format!("key {key} ran {runs} times"));
        }
    }

    /// Returns how many idempotency keys were executed.
    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }
}
