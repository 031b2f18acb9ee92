//! Counts the outcomes of requests and checks them against what the services executed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use anyhow::{Result, ensure};
use base::Verdict;
use hdrhistogram::Histogram;

use super::{
    mix::Kind,
    send::{End, Outcome},
};

/// Largest time in microseconds that the histograms distinguish.
const MAX_MICROS: u64 = 120_000_000;

/// Outcomes of all requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    ends: BTreeMap<Kind, BTreeMap<End, u64>>,
    first: BTreeMap<Kind, Histogram<u64>>,
    /// Idempotency keys with at least one complete answer.
    answered: BTreeSet<String>,
    /// Whether every answer for an idempotency key had the verdict `not run`.
    not_run: BTreeMap<String, bool>,
    /// Requests not sent because too many were in progress.
    pub(crate) skipped: u64,
    pub(crate) took: Duration,
}

/// Returns a histogram of microseconds with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_max(MAX_MICROS, 3);
    histogram.expect("the bounds are constants in range")
}

/// Formats a histogram's quantiles.
pub(crate) fn quantiles(histogram: &Histogram<u64>) -> String {
    let at = |q| histogram.value_at_quantile(q);
    format!(
        "p50 {:>8}  p95 {:>8}  p99 {:>8}  n {}",
        at(0.50),
        at(0.95),
        at(0.99),
        histogram.len()
    )
}

impl Tally {
    pub(crate) fn add(&mut self, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            self.add_one(outcome);
        }
    }

    fn add_one(&mut self, outcome: Outcome) {
        let ends = self.ends.entry(outcome.kind).or_default();
        *ends.entry(outcome.end.clone()).or_default() += 1;
        if let Some(key) = outcome.key {
            let not_run = matches!(
                &outcome.end,
                End::Failed(Verdict::NotRun, _) | End::Unanswered(Verdict::NotRun, _)
            );
            *self.not_run.entry(key.clone()).or_insert(true) &= not_run;
            if outcome.end == End::Complete {
                self.answered.insert(key);
            }
        }
        if let Some(first) = outcome.first {
            let micros = u64::try_from(first.as_micros()).unwrap_or(MAX_MICROS);
            let histogram = self.first.entry(outcome.kind).or_insert_with(histogram);
            histogram.saturating_record(micros);
        }
    }

    pub(crate) fn print(&self) {
        let all: u64 = self.ends.values().flat_map(BTreeMap::values).sum();
        let seconds = self.took.as_secs_f64();
        println!(
            "{all} answers in {seconds:.1} s, {} requests left out",
            self.skipped
        );
        for (kind, ends) in &self.ends {
            for (end, n) in ends {
                println!("{:<8} {:<40} {n:>8}", kind.as_str(), name(end));
            }
        }
        println!("\nfirst token of streams, whole of the rest, microseconds:");
        for (kind, histogram) in &self.first {
            println!("{:<8} {}", kind.as_str(), quantiles(histogram));
        }
    }

    /// Returns how many requests got neither a whole answer nor the reason why not.
    fn wordless(&self) -> u64 {
        let ends = self.ends.values().flatten();
        ends.filter(|(end, _)| matches!(end, End::Cut | End::Short | End::Unanswered(..)))
            .map(|(_, n)| n)
            .sum()
    }

    /// Checks the answers that callers got against the requests that the services ran.
    pub(crate) fn check(&self, ran: &BTreeMap<String, u64>) -> Result<()> {
        let twice = ran.values().filter(|n| **n > 1).count();
        let lost = self.answered.iter().filter(|key| !ran.contains_key(*key));
        let lost = lost.count();
        let not_run = self
            .not_run
            .iter()
            .filter(|(key, not)| **not && ran.contains_key(*key));
        let not_run = not_run.count();
        println!(
            "\nmarked: {} keys sent, {} ran, {twice} ran twice, {lost} answered and never ran, \
             {not_run} `not run` and ran",
            self.not_run.len(),
            ran.len(),
        );
        ensure!(
            twice + lost + not_run == 0,
            "answers to callers contradict what the services ran"
        );
        let wordless = self.wordless();
        ensure!(wordless == 0, "{wordless} requests ended without a word");
        Ok(())
    }
}

fn name(end: &End) -> String {
    match end {
        End::Complete => String::from("whole"),
        End::Short => String::from("short"),
        End::Cut => String::from("cut"),
        End::Broken(verdict, reason) => format!("broken: {verdict}, {reason}"),
        End::Failed(verdict, reason) => format!("{verdict}, {reason}"),
        End::Unanswered(verdict, reason) => format!("no answer: {verdict}, {reason}"),
    }
}
