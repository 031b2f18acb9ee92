//! The checker: what has to hold over the whole history of a run.

use std::collections::BTreeMap;

use base::{Fence, TextVersion, Time};
use wire::operator::{Applied, Why};

use crate::engine::{Evicted, Order, Sender};

/// An unload in flight for longer than this may hit a request: the engine
/// ignores fencing numbers, and its owner was frozen between check and send.
/// The design notes name this as what remains.
const FLIGHT_MS: u64 = 600;

#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) errors: Vec<String>,
    fences: BTreeMap<(String, Fence), (String, u64)>,
    texts: BTreeMap<(String, u64), TextVersion>,
    winners: BTreeMap<u64, String>,
    accepted: BTreeMap<String, (TextVersion, String)>,
    refused: BTreeMap<(String, u64, String), Applied>,
    runs: BTreeMap<String, u32>,
    pub(crate) late: u32,
    /// Requests of instances that the platform had dropped long before.
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
            .or_insert_with(|| sender.life.clone())
            .clone();
        if first != sender.life {
            let fence = sender.fence;
            self.fail(
                now,
                format!("{target}: {first:?} and {:?} under {fence}", sender.life),
            );
        }
        let Some(evicted) = evicted else {
            return;
        };
        let flight = now.since(sender.checked).as_millis();
        if !fencing && flight > u128::from(FLIGHT_MS) {
            self.late += 1;
            return;
        }
        let what = format!(
            "{target}: {order:?} of {sender:?} after {flight} ms took {} from requests {:?}",
            evicted.adapter, evicted.requests
        );
        self.fail(now, what);
    }

    pub(crate) fn owners(&mut self, now: Time, target: &str, full: &[String]) {
        if full.len() > 1 {
            self.fail(now, format!("{target}: in charge at once: {full:?}"));
        }
    }

    /// Takes the text that an instance has in force.
    pub(crate) fn text(&mut self, now: Time, life: (String, u64), version: TextVersion) {
        let last = self.texts.entry(life.clone()).or_default();
        if version < *last {
            let last = *last;
            self.fail(now, format!("{life:?}: text went from {last} to {version}"));
            return;
        }
        *last = version;
    }

    /// Takes what an operator was told.
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

    /// A resend under the same id and text may name another base; what counts
    /// is the version that the change became.
    fn accept(&mut self, now: Time, change: &str, text: &str, version: TextVersion) {
        let base = version.get() - 1;
        let key = (change.to_owned(), base, text.to_owned());
        if self.refused.contains_key(&key) {
            self.fail(now, format!("{change}: refused, then accepted"));
        }
        let fresh = || change.to_owned();
        let winner = self.winners.entry(base).or_insert_with(fresh).clone();
        if winner != change {
            self.fail(now, format!("base {base}: both {winner} and {change} won"));
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

    /// Takes the history that is in force at the end.
    pub(crate) fn history(&mut self, now: Time, found: &BTreeMap<TextVersion, String>) {
        for (change, (version, ..)) in std::mem::take(&mut self.accepted) {
            if found.get(&version) != Some(&change) {
                self.fail(now, format!("{change}: accepted as {version}, and lost"));
            }
        }
    }

    pub(crate) fn ran(&mut self, now: Time, key: &str) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 {
            let runs = *runs;
            self.fail(now, format!("key {key} ran {runs} times"));
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }
}
