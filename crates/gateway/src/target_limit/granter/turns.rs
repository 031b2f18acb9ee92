//! Who gets the permits of a limited target while more are asked for than there are.
//!
//! Pattern: batch work asks for all permits and urgent requests find none, or one account
//! asks for many times as much as the others. Permits that more urgent requests are
//! likely to ask for are left to them, and an account that got more than an even part
//! gets only what the others leave.

use std::{collections::BTreeMap, time::Duration};

use account::Rate;
use base::{AccountName, Time};
use wire::limit::PermitRequest;

use crate::target_limit::{BURST_TIME, WINDOW};

/// Time over which requests for permits are counted.
const ASKED_MEMORY: Duration = Duration::from_secs(1);

/// An account that has asked within this time has its part.
const ACTIVE_FOR: Duration = Duration::from_secs(2);

/// Most accounts that are counted; those that asked last.
const MAX_ACCOUNTS: usize = 1_024;

/// What was asked for and granted lately at one target.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// Permits asked for, by priority.
    asked: BTreeMap<u8, Rate>,
    accounts: BTreeMap<Option<AccountName>, Part>,
}

#[derive(Debug)]
struct Part {
    asked: Time,
    granted: Rate,
}

impl Turns {
    /// Counts a request for a permit.
    pub(super) fn asked(&mut self, now: Time, want: &PermitRequest) {
        let asked = self.asked.entry(want.priority);
        let asked = asked.or_insert_with(|| Rate::new(ASKED_MEMORY));
        asked.add(now, 1.0);
        let part = self.accounts.entry(want.account.clone());
        let part = part.or_insert_with(|| Part {
            asked: now,
            granted: Rate::new(WINDOW),
        });
        part.asked = now;
        if self.accounts.len() > MAX_ACCOUNTS {
            self.accounts
                .retain(|_, part| now.since(part.asked) < ACTIVE_FOR);
        }
    }

    /// Counts permits that were granted.
    pub(super) fn granted(&mut self, now: Time, want: &PermitRequest, count: f64) {
        if let Some(part) = self.accounts.get_mut(&want.account) {
            part.granted.add(now, count);
        }
    }

    /// Returns how many of `level` permits this request has to leave to others; `most` is
    /// the most that there can be.
    pub(super) fn reserve(&self, now: Time, want: &PermitRequest, level: f64, most: f64) -> f64 {
        let spare = most - 1.0;
        let urgent = self.asked.range(..want.priority);
        let urgent: f64 = urgent.map(|(_, asked)| asked.at(now)).sum();
        let for_urgent = (urgent * BURST_TIME.as_secs_f64()).min(spare);
        let half = spare / 2.0;
        if level < 1.0 + half && self.has_more_than_even(now, want) {
            return for_urgent.max(half);
        }
        for_urgent
    }

    fn has_more_than_even(&self, now: Time, want: &PermitRequest) -> bool {
        let active = self.accounts.values();
        let active = active.filter(|part| now.since(part.asked) < ACTIVE_FOR);
        let granted: Vec<f64> = active.map(|part| part.granted.at(now)).collect();
        if granted.len() < 2 {
            return false;
        }
        let even = granted.iter().sum::<f64>() / granted.len() as f64;
        let own = self.accounts.get(&want.account);
        own.is_some_and(|own| own.granted.at(now) > even)
    }
}
