//! What a run came to, exactly as defined here.
//!
//! - **Load stall** of a request, in seconds: all the time that it waits
//!   before an engine that does not hold its adapter, over all its attempts,
//!   whether it is answered in the end or not.
//! - **Batch efficiency**, in tokens per engine-second: tokens generated
//!   divided by the seconds in which engines had a request in their batch.
//! - **First token**, in seconds from arrival; a live request without one
//!   counts with its caller's patience.
//! - Requests for an adapter that can't be loaded at all count with their load
//!   stalls only: nobody could answer them.
//! - **Answered** and **done**: the part of live requests whose first token,
//!   and of batch requests whose last token, came by the deadline.
//! - **Fairness**: the least part of its due that a brand got, in tokens of
//!   answers given in time; its due is what it asked for, or its part of all
//!   that was given if that is less.
//! - **Worth**, in tokens by weight: an answer of an engine counts with its
//!   tokens times the weight of its class if it began by its deadline and was
//!   whole by the time at which somebody has read it who began then; batch work
//!   if it was whole by its deadline.

use std::{collections::BTreeMap, time::Duration};

use base::{BrandNo, Class, Time};

use crate::workload::Arrival;

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Time it waited for loads.
    pub stall: Duration,
    /// When its first token came.
    pub first: Option<Time>,
    /// When its last token came.
    pub done: Option<Time>,
    /// Whether it was refused.
    pub refused: bool,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Load stalls of live requests, in seconds.
    pub stalls: Vec<f64>,
    /// First tokens of live requests, in seconds.
    pub firsts: Vec<f64>,
    /// Live requests answered in time.
    pub answered: u64,
    /// Live requests refused.
    pub refused: u64,
    /// Critical requests not answered in time.
    pub lost: u64,
    /// Batch requests, and those of them done by their time.
    pub batch: (u64, u64),
    /// Tokens asked for and given in time, by brand.
    pub brands: BTreeMap<BrandNo, (u64, u64)>,
    /// Worth that was asked for and that was given.
    pub worth: (u64, u64),
    /// Tokens generated.
    pub tokens: u64,
    /// Seconds in which engines had work.
    pub busy_secs: f64,
    /// Loads that the store began.
    pub loads: u64,
    /// Rules broken: an adapter evicted in use, a request sent to an engine
    /// without its adapter, more adapters than slots.
    pub broken: u64,
}

impl Figures {
    /// Adds one request; `possible` is false when its adapter can't be loaded
    /// by anybody, and then only its load stall counts.
    pub fn add(&mut self, arrival: &Arrival, told: &Told, possible: bool) {
        if !possible {
            if arrival.class == Class::Live {
                self.stalls.push(told.stall.as_secs_f64());
            }
            return;
        }
        let first = told.first.filter(|at| *at <= arrival.deadline);
        let given = match arrival.class {
            Class::Critical => {
                self.lost += u64::from(first.is_none());
                return;
            }
            Class::Live => {
                let patience = arrival.deadline.since(arrival.at);
                let wait = first.map_or(patience, |at| at.since(arrival.at));
                self.firsts.push(wait.as_secs_f64());
                self.stalls.push(told.stall.as_secs_f64());
                self.answered += u64::from(first.is_some());
                self.refused += u64::from(told.refused);
                first.is_some()
            }
            Class::Batch => {
                let done = told.done.is_some_and(|at| at <= arrival.deadline);
                self.batch.0 += 1;
                self.batch.1 += u64::from(done);
                done
            }
        };
        let brand = self.brands.entry(arrival.brand).or_default();
        brand.0 += u64::from(arrival.tokens);
        brand.1 += u64::from(arrival.tokens) * u64::from(given);
    }

    /// Adds the worth of one request.
    pub fn add_worth(&mut self, arrival: &Arrival, told: &Told) {
        let began = told.first.is_some_and(|at| at <= arrival.deadline);
        let whole = told.done.is_some_and(|at| at <= arrival.whole_by());
        let given = whole && (began || arrival.class == Class::Batch);
        self.worth.0 += arrival.worth();
        self.worth.1 += arrival.worth() * u64::from(given);
    }

    /// Adds another run.
    pub fn merge(&mut self, other: Figures) {
        self.stalls.extend(other.stalls);
        self.firsts.extend(other.firsts);
        self.answered += other.answered;
        self.refused += other.refused;
        self.lost += other.lost;
        self.batch.0 += other.batch.0;
        self.batch.1 += other.batch.1;
        for (brand, (asked, given)) in other.brands {
            let sum = self.brands.entry(brand).or_default();
            *sum = (sum.0 + asked, sum.1 + given);
        }
        self.worth.0 += other.worth.0;
        self.worth.1 += other.worth.1;
        self.tokens += other.tokens;
        self.busy_secs += other.busy_secs;
        self.loads += other.loads;
        self.broken += other.broken;
    }

    /// Returns all load stalls of live requests together, in seconds.
    #[must_use]
    pub fn stall_secs(&self) -> f64 {
        self.stalls.iter().sum()
    }

    /// Returns the part of live requests that stalled.
    #[must_use]
    pub fn stalled_part(&self) -> f64 {
        let stalled = self.stalls.iter().filter(|s| **s > 0.0).count();
        stalled as f64 / self.stalls.len().max(1) as f64
    }

    /// Returns the part of live requests answered in time.
    #[must_use]
    pub fn answered_part(&self) -> f64 {
        self.answered as f64 / self.firsts.len().max(1) as f64
    }

    /// Returns the part of batch requests done by their time.
    #[must_use]
    pub fn done_part(&self) -> f64 {
        match self.batch.0 {
            0 => 1.0,
            all => self.batch.1 as f64 / all as f64,
        }
    }

    /// Returns the tokens generated per engine-second.
    #[must_use]
    pub fn efficiency(&self) -> f64 {
        self.tokens as f64 / self.busy_secs.max(f64::MIN_POSITIVE)
    }

    /// Returns the least part of its due that a brand got.
    #[must_use]
    pub fn fairness(&self) -> f64 {
        let all: u64 = self.brands.values().map(|(_, given)| given).sum();
        let part = all as f64 / self.brands.len().max(1) as f64;
        let parts = self
            .brands
            .values()
            .map(|(asked, given)| *given as f64 / (*asked as f64).min(part).max(1.0));
        parts.fold(1.0, f64::min)
    }

    /// Returns one row of the table.
    #[must_use]
    pub fn row(&self, work: &str, policy: &str) -> String {
        let stall = |q| quantile(&self.stalls, q);
        format!(
            "| {work} | {policy} | {:.0} | {:.2} {:.2} {:.2} | {:.1}% | {:.0} | {:.2} | {:.1}% | {} | {:.1}% | {:.2} | {} |",
            self.stall_secs(),
            stall(0.5),
            stall(0.95),
            stall(0.99),
            self.stalled_part() * 100.0,
            self.efficiency(),
            quantile(&self.firsts, 0.95),
            self.answered_part() * 100.0,
            self.lost,
            self.done_part() * 100.0,
            self.fairness(),
            self.loads,
        )
    }
}

/// Head of the table that [`Figures::row`] makes rows for.
pub const HEAD: &str = "\
| workload | policy | live stalls s | p50 p95 p99 s | stalled | tokens/engine-s | first token p95 s | live answered | critical lost | batch done | fairness | loads |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (q * sorted.len() as f64).ceil() as usize;
    sorted.get(at.max(1) - 1).copied().unwrap_or(0.0)
}
