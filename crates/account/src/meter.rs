//! Decides at an entry instance which requests of an account are within its limit.
//!
//! An instance keeps one estimate of the account's allowance for each control instance
//! that tells what the others have used, and goes by the lowest recent one. Between two
//! answers it assumes that the others go on as before. While no control instance answers,
//! it assumes that they use all but its own share of the limit, by its share of the
//! demand: instances that can't hear each other then share the limit in the same way, and
//! their sum holds it.
//!
//! Pattern: one account asks for many times its usual, at all instances at the same
//! moment. Until the next exchange nobody knows of the others' part, so what an instance
//! admits between two answers is bounded by its share of what was left.

mod estimate;

use std::{collections::BTreeMap, time::Duration};

use base::{AccountName, Time};
use wire::account::{AccountUsage, OthersUsage, Usage};

use self::estimate::{Estimate, RECENT, fullness};
use crate::{Account, DEMAND_MEMORY, Limit, rate::Rate};

/// Accounts that weren't used for this long are forgotten.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Accounts that were used within this time are reported.
const REPORTED_FOR: Duration = Duration::from_secs(10);

/// Most accounts in one report, those used last.
const MAX_REPORTED: usize = 512;

/// Part of the fixed number of units by which a limit may be exceeded that is added to the
/// burst. The rest, and the ratio, are for what others use before it is known.
const EXTRA_USED: f64 = 0.22;

/// Estimates whose silent parts of the demand differ by less are equally good.
const SILENT_TOLERANCE: f64 = 0.02;

/// Part of the fixed slack that an instance may use between two answers though its share
/// is less. Accounts have their callers at some of the instances only.
const FLOOR_PART: f64 = 1.0 / 32.0;

/// Part of the allowance that an instance starts with that doesn't know what was used
/// before it started.
const START_PART: f64 = 0.25;

/// Shortest and longest time after which a refused caller is told to come back; the
/// shortest is that between two exchanges.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Time in which others use units that a control instance which begins anew doesn't count:
/// two exchanges.
const UNCOUNTED: Duration = Duration::from_millis(500);

/// A refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Time after which the account may have units left.
    pub wait: Duration,
    /// Whether there are units left by what is known, and an exchange with a control
    /// instance may show that this one may use them.
    pub unsure: bool,
}

/// What is known to be left of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    /// Units that all instances together may still use; below 0 if more were used.
    pub units: f64,
    /// Time since a control instance has told what others use; none if none has.
    pub age: Option<Duration>,
}

/// How far the sum of all instances may exceed a limit over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slack {
    /// Length of the window.
    pub window: Duration,
    /// Ratio of the limit that may be exceeded.
    pub overrun: f64,
    /// Units that may be exceeded in addition.
    pub extra: f64,
}

/// The use of accounts at one entry instance. `S` names control instances.
#[derive(Clone, Debug)]
pub struct Meter<S> {
    slack: Slack,
    epoch: u64,
    instances: u32,
    accounts: BTreeMap<AccountName, Metered<S>>,
}

#[derive(Clone, Debug)]
struct Metered<S> {
    limit: Limit,
    /// Units admitted and units asked for, since the instance started.
    used: f64,
    asked: f64,
    demand: Rate,
    last: Time,
    start: Estimate,
    views: BTreeMap<S, View>,
}

/// What one control instance has said.
#[derive(Clone, Copy, Debug)]
struct View {
    serial: u64,
    used: i64,
    asked: i64,
    estimate: Estimate,
}

impl<S: Ord + Copy> Meter<S> {
    /// Creates the meter of an instance. `epoch` has to differ between its runs.
    #[must_use]
    pub fn new(slack: Slack, epoch: u64) -> Self {
        Meter {
            slack,
            epoch,
            instances: 1,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the number of entry instances, by which the limit is shared until the others'
    /// use is known.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Admits a request that counts for `cost` units if that is within the account's
    /// limit.
    ///
    /// # Errors
    ///
    /// Returns when to come back, and whether it may be admitted after an exchange. Such a
    /// request is tried again by [`Self::admit_again`].
    pub fn admit(&mut self, now: Time, account: &Account, cost: f64) -> Result<(), Denied> {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let (slack, share) = (self.slack, 1.0 / f64::from(self.instances));
        let metered = self.accounts.entry(account.name.clone());
        let metered = metered.or_insert_with(|| Metered::new(now, limit, slack, share));
        metered.set_limit(now, limit, slack);
        metered.last = now;
        metered.asked += cost;
        metered.demand.add(now, cost);
        if metered.views.is_empty() {
            return Err(Denied {
                wait: SHORTEST_WAIT,
                unsure: true,
            });
        }
        metered.admit(now, slack, cost)
    }

    /// Admits a request that [`Self::admit`] has denied before.
    ///
    /// # Errors
    ///
    /// As [`Self::admit`] does.
    pub fn admit_again(&mut self, now: Time, account: &Account, cost: f64) -> Result<(), Denied> {
        match self.accounts.get_mut(&account.name) {
            Some(metered) => metered.admit(now, self.slack, cost),
            None => self.admit(now, account, cost),
        }
    }

    /// Returns what is left of an account's limit; none if it has none, or if this instance had
    /// no request of it lately.
    #[must_use]
    pub fn left(&self, now: Time, account: &Account) -> Option<Left> {
        account.limit?;
        let metered = self.accounts.get(&account.name)?;
        let estimate = metered.estimate(now, &self.slack);
        let full = capacity(&metered.limit, &self.slack, 1.0);
        Some(Left {
            units: estimate.level(now, &metered.limit, full, metered.used),
            age: estimate.at.map(|at| now.since(at)),
        })
    }

    /// Gives back what a request counted for that hasn't run.
    pub fn give_back(&mut self, account: &AccountName, cost: f64) {
        if let Some(metered) = self.accounts.get_mut(account) {
            metered.used = (metered.used - cost).max(0.0);
        }
    }

    /// Returns what to tell control instances.
    #[must_use]
    pub fn usage(&self, now: Time) -> Usage {
        let used = self.accounts.iter();
        let used = used.filter(|(_, metered)| now.since(metered.last) < REPORTED_FOR);
        let mut used: Vec<_> = used.collect();
        if used.len() > MAX_REPORTED {
            used.sort_by_key(|(_, metered)| std::cmp::Reverse(metered.last));
            used.truncate(MAX_REPORTED);
        }
        let accounts = used.into_iter().map(|(account, metered)| AccountUsage {
            account: account.clone(),
            used: metered.used as u64,
            asked: metered.asked as u64,
        });
        Usage {
            epoch: self.epoch,
            accounts: accounts.collect(),
        }
    }

    /// Takes over what a control instance says of the others, in answer to `reported`.
    pub fn told(&mut self, now: Time, source: S, reported: &Usage, others: &[OthersUsage]) {
        for told in others {
            let own = reported.accounts.iter();
            let own = own.filter(|own| own.account == told.account);
            let own = own.map(|own| own.used as f64).next_back();
            if let (Some(metered), Some(own)) = (self.accounts.get_mut(&told.account), own) {
                metered.told(now, self.slack, source, own, told);
            }
        }
    }

    /// Forgets accounts that weren't used for long.
    pub fn expire(&mut self, now: Time) {
        self.accounts
            .retain(|_, metered| now.since(metered.last) < KEPT_FOR);
    }

    /// Returns the number of accounts that are metered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account is metered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Returns the most units that the allowance can hold, for instances with this `part` of
/// the demand. The fixed part is everyone's: it is far more than few requests count for,
/// and instances that are cut off from others fall into few groups.
fn capacity(limit: &Limit, slack: &Slack, part: f64) -> f64 {
    part * limit.burst + fixed(slack)
}

fn fixed(slack: &Slack) -> f64 {
    EXTRA_USED * slack.extra
}

impl<S: Ord + Copy> Metered<S> {
    fn new(now: Time, limit: Limit, slack: Slack, share: f64) -> Self {
        Metered {
            limit,
            used: 0.0,
            asked: 0.0,
            demand: Rate::new(DEMAND_MEMORY),
            last: now,
            start: Estimate {
                at: None,
                since: now,
                level: capacity(&limit, &slack, 1.0) * START_PART,
                own: 0.0,
                others_used: Rate::new(RECENT),
                others_asked: Rate::new(DEMAND_MEMORY),
                silent: 0.0,
                share,
                counted: false,
                own_left: (share * capacity(&limit, &slack, 1.0) * START_PART)
                    .max(slack.extra * FLOOR_PART),
                own_at: now,
            },
            views: BTreeMap::new(),
        }
    }

    /// Takes over another limit: what is left grows by what the allowance holds more, and
    /// shrinks to what it holds now.
    fn set_limit(&mut self, now: Time, limit: Limit, slack: Slack) {
        if limit == self.limit {
            return;
        }
        let (before, after) = (
            capacity(&self.limit, &slack, 1.0),
            capacity(&limit, &slack, 1.0),
        );
        let (old, used) = (self.limit, self.used);
        let floor = slack.extra * FLOOR_PART;
        for estimate in self.estimates() {
            let level = estimate.level(now, &old, before, used);
            let more = (after - before).max(0.0);
            estimate.level = (level + more).min(after);
            estimate.own = used;
            estimate.since = now;
            estimate.share_out(now, floor);
        }
        self.limit = limit;
    }

    fn admit(&mut self, now: Time, slack: Slack, cost: f64) -> Result<(), Denied> {
        let (limit, full) = (self.limit, capacity(&self.limit, &slack, 1.0));
        for estimate in self.estimates() {
            estimate.refill_own(now, &limit, full);
        }
        self.check(now, slack)?;
        self.used += cost;
        for estimate in self.estimates() {
            estimate.own_left -= cost;
        }
        Ok(())
    }

    fn estimates(&mut self) -> impl Iterator<Item = &mut Estimate> {
        let views = self.views.values_mut().map(|view| &mut view.estimate);
        views.chain([&mut self.start])
    }

    fn check(&self, now: Time, slack: Slack) -> Result<(), Denied> {
        let estimate = self.estimate(now, &slack);
        let limit = &self.limit;
        let full = capacity(limit, &slack, 1.0);
        let level = estimate.level(now, limit, full, self.used);
        if level <= 0.0 {
            return Err(Denied {
                wait: wait(-level / limit.rate.max(f64::MIN_POSITIVE)),
                unsure: false,
            });
        }
        let views = self.views.values().map(|view| &view.estimate);
        let mut recent = views.filter(|estimate| estimate.is_recent(now));
        let may = estimate.own_left > 0.0 || recent.any(|recent| recent.own_left > 0.0);
        if !may {
            return Err(Denied {
                wait: SHORTEST_WAIT,
                unsure: true,
            });
        }
        Ok(())
    }

    /// Returns the lowest of the recent estimates that count the most of the demand, or else
    /// the most recent one.
    ///
    /// Once a cut has healed, a control instance on the other side takes all but its own
    /// side for silent until it has heard of them.
    fn estimate(&self, now: Time, slack: &Slack) -> &Estimate {
        let all = self.views.values().map(|view| &view.estimate);
        let recent = all.clone().filter(|estimate| estimate.is_recent(now));
        let silent = recent.clone().map(|estimate| estimate.silent);
        let least = silent.fold(1.0, f64::min) + SILENT_TOLERANCE;
        let full = capacity(&self.limit, slack, 1.0);
        let level = |e: &Estimate| e.level(now, &self.limit, full, self.used);
        recent
            .filter(|estimate| estimate.silent <= least)
            .min_by(|a, b| level(a).total_cmp(&level(b)))
            .or_else(|| all.max_by_key(|estimate| estimate.at))
            .unwrap_or(&self.start)
    }

    /// Returns the estimate with what the others are assumed to have used since it was
    /// made, for a control instance whose counts begin anew.
    fn assumed(&self, now: Time, slack: &Slack) -> Estimate {
        let mut estimate = *self.estimate(now, slack);
        let full = capacity(&self.limit, slack, 1.0);
        estimate.level = estimate.level(now, &self.limit, full, self.used);
        // The others have used their shares of what was left as this instance has used its
        // own, and what they use until their first report isn't counted.
        if !estimate.is_recent(now) {
            if estimate.share > 0.0 {
                estimate.level = estimate.level.min(estimate.own_left / estimate.share);
            }
            let others = self.limit.rate * (1.0 - estimate.share);
            estimate.level -= others * UNCOUNTED.as_secs_f64();
        }
        estimate.own = self.used;
        estimate.others_used.hold(estimate.since, now);
        if estimate.share > 0.0 {
            let own = self.demand.at(now);
            estimate.others_asked.set(now, own / estimate.share - own);
        }
        estimate.since = now;
        estimate.at = Some(now);
        estimate
    }

    /// Returns the first estimate, by how much is used lately.
    fn first(&self, now: Time, full: f64, told: &OthersUsage) -> Estimate {
        let mut estimate = self.start;
        if let Some(rate) = told.rate {
            estimate.level = full * fullness(rate as f64, self.limit.rate);
        }
        estimate.own = self.used;
        estimate.since = now;
        estimate.at = Some(now);
        estimate
    }

    fn told(&mut self, now: Time, slack: Slack, source: S, own: f64, told: &OthersUsage) {
        let full = capacity(&self.limit, &slack, 1.0);
        let known = self.views.get(&source).copied();
        let known = known.filter(|view| view.serial == told.serial);
        let mut estimate = match known {
            Some(view) => {
                let mut estimate = view.estimate;
                let others = (told.used - view.used, told.asked - view.asked);
                estimate.count(now, &self.limit, full, own, others);
                estimate
            }
            // An assumed share isn't known demand of the others.
            None if !self.views.values().any(|view| view.estimate.counted) => {
                self.first(now, full, told)
            }
            None => self.assumed(now, &slack),
        };
        let silent = f64::from(told.silent.min(1_000)) / 1_000.0;
        estimate.leave_to_silent(now, silent, self.limit.rate, fixed(&slack));
        let most = capacity(&self.limit, &slack, 1.0 - silent);
        estimate.level = estimate.level.min(most);
        if known.is_some() {
            estimate.set_share(now, &self.demand);
        }
        estimate.share_out(now, slack.extra * FLOOR_PART);
        let view = View {
            serial: told.serial,
            used: told.used,
            asked: told.asked,
            estimate,
        };
        self.views.insert(source, view);
    }
}

/// Returns when to come back, if what is left is back above zero after `seconds`.
fn wait(seconds: f64) -> Duration {
    let seconds = seconds.min(LONGEST_WAIT.as_secs_f64());
    Duration::from_secs_f64(seconds).max(SHORTEST_WAIT)
}
