//! When a request that is answered late is sent to a second target as well.
//!
//! A few targets answer late while others have room. A request that may be repeated goes to
//! a second one once most others like it would have been answered, and its caller gets
//! whichever answer begins first. What that costs is bounded by a part of the requests which
//! the operators set ([`HedgeLimit`]); each instance keeps to it by its own requests, so it
//! holds for all together without an exchange.

mod limit;
mod times;

use std::{collections::BTreeMap, fmt, time::Duration};

use base::Time;

use self::{limit::Counts, times::RouteTimes};
use crate::table::Route;

pub use self::limit::{BadHedgeLimit, HedgeLimit, WINDOW_SECONDS};

/// Part of the requests of a route that are answered sooner than an extra send goes out.
const LATE: f32 = 0.95;

/// Part of the requests that an extra send allows for when it has to be in time itself.
const LIKELY: f32 = 0.9;

/// Part of the requests that take no longer than what is typical.
const TYPICAL: f32 = 0.5;

/// How many times what is typical passes before an extra send. Where all take about as long,
/// a second target is no faster.
const TYPICAL_TIMES: u32 = 2;

/// Longest time that a second target may be expected to take, as a part of the time that the
/// first one has taken.
const FASTER_PART: f64 = 0.7;

/// How long a refusal by this instance counts: as long as callers wait before they come back.
const PRESSED_FOR: Duration = Duration::from_secs(1);

/// How long the times of a route are kept that has no requests.
const ROUTE_KEPT: Duration = Duration::from_mins(10);

/// Why an extra send that was due didn't go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Withheld {
    /// The request has run on as many targets as its route allows.
    Attempts,
    /// A part of the request is suspected of crashing targets.
    Suspect,
    /// This instance has been refusing requests.
    Pressed,
    /// Too little time is left for a second answer.
    Deadline,
    /// The operators' limit is used up.
    Limit,
    /// No other target is expected to be clearly faster and has room.
    Room,
    /// Half of the retry budget is used.
    Budget,
    /// The target gives no permit.
    Permit,
}

impl Withheld {
    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Withheld::Attempts => "attempts",
            Withheld::Suspect => "suspect",
            Withheld::Pressed => "pressed",
            Withheld::Deadline => "deadline",
            Withheld::Limit => "limit",
            Withheld::Room => "room",
            Withheld::Budget => "budget",
            Withheld::Permit => "permit",
        }
    }
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// When a second target is tried for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Time after the first send.
    pub delay: Duration,
    /// What is typical for requests like it.
    pub typical: Duration,
}

/// A request whose extra send is due.
#[derive(Clone, Copy, Debug)]
pub struct Due<'a> {
    /// Its service.
    pub service: &'a str,
    /// What is typical for requests like it.
    pub typical: Duration,
    /// Time since it was sent to its first target.
    pub waited: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// Whether it may run on one more target.
    pub may_repeat: bool,
    /// Whether a part of it is suspected of crashing targets.
    pub suspect: bool,
    /// Whether requests are being refused for want of room.
    pub pressed: bool,
}

/// The second target that a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// What is typical for requests like it, at a typical target without a queue.
    pub typical: Duration,
    /// The time within which it has to be expected to answer.
    pub within: Duration,
}

/// Decides about the extra sends of an instance.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    limit: Option<HedgeLimit>,
    started: Time,
    tight: bool,
    counts: BTreeMap<String, Counts>,
    times: BTreeMap<String, RouteTimes>,
    /// When a request was last refused.
    refused: Option<Time>,
}

impl Hedging {
    /// Creates the decisions of an instance that starts now; without a limit nothing is ever
    /// sent in addition.
    #[must_use]
    pub fn new(limit: Option<HedgeLimit>, now: Time) -> Self {
        Hedging {
            limit,
            started: now,
            ..Hedging::default()
        }
    }

    /// Sets whether a route has a tight goal; see [`crate::table::Table::has_tight_goals`].
    pub fn set_tight(&mut self, tight: bool) {
        self.tight = tight;
    }

    /// Counts a caller's request for `service`.
    pub fn request(&mut self, now: Time, service: &str) {
        if self.limit.is_none() {
            return;
        }
        if let Some(counts) = self.counts.get_mut(service) {
            return counts.request(now);
        }
        let counts = self.counts.entry(service.to_owned()).or_default();
        counts.request(now);
    }

    /// Notes that this instance has refused a request for want of room.
    pub fn refused(&mut self, now: Time) {
        self.refused = Some(now);
    }

    /// Returns whether this instance has refused requests lately.
    #[must_use]
    pub fn is_pressed(&self, now: Time) -> bool {
        let refused = self.refused;
        refused.is_some_and(|at| now.since(at) < PRESSED_FOR)
    }

    /// Notes that a request of `route` with a prompt of so many tokens had its first event after
    /// `took`, or was left after that time without one.
    pub fn answered(&mut self, now: Time, route: &Route, tokens: u64, took: Duration) {
        if !self.concerns(route) {
            return;
        }
        if let Some(times) = self.times.get_mut(&route.name) {
            return times.note(now, tokens, took);
        }
        self.times
            .retain(|_, times| now.since(times.noted) < ROUTE_KEPT);
        let times = self.times.entry(route.name.clone()).or_default();
        times.note(now, tokens, took);
    }

    /// Returns when a second target is tried for a request of `route` with a prompt of so many
    /// tokens that is sent to its first target `held` after its arrival; none if no other one
    /// may be.
    ///
    /// Until the time that the goal leaves is only enough for another one to answer, the first
    /// one is likely to be in time.
    #[must_use]
    pub fn plan(&self, route: &Route, tokens: u64, held: Duration) -> Option<Plan> {
        if !self.concerns(route) {
            return None;
        }
        let times = self.times.get(&route.name)?.of(tokens);
        let (typical, likely) = (times.quantile(TYPICAL)?, times.quantile(LIKELY)?);
        let goal = route.goal?.saturating_sub(held);
        let late = times.quantile(LATE)?.max(typical * TYPICAL_TIMES);
        let delay = late.max(goal.saturating_sub(likely));
        Some(Plan { delay, typical })
    }

    /// Decides whether an extra send that is due goes out, counts it if so, and returns to
    /// where. `choose` looks for a target that is expected to answer in time, and `charge`
    /// charges the retry budget unless failures need it.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it doesn't.
    pub fn decide(
        &mut self,
        now: Time,
        due: &Due<'_>,
        choose: impl FnOnce(Wanted) -> Option<String>,
        charge: impl FnOnce() -> bool,
    ) -> Result<String, Withheld> {
        check(due)?;
        let limit = self.limit.ok_or(Withheld::Limit)?;
        let counts = self.counts.get_mut(due.service);
        let counts = counts.ok_or(Withheld::Limit)?;
        // Failure: an instance sends what the limit allows, is restarted and does so again. What
        // it sent before counts for a window.
        let restarted = now.since(self.started) < Duration::from_secs(WINDOW_SECONDS);
        if restarted || !counts.allow(now, limit) {
            return Err(Withheld::Limit);
        }
        let wanted = Wanted {
            typical: due.typical,
            within: due.waited.mul_f64(FASTER_PART),
        };
        let target = choose(wanted).ok_or(Withheld::Room)?;
        if !charge() {
            return Err(Withheld::Budget);
        }
        counts.hedge(now);
        Ok(target)
    }

    /// Returns whether requests of `route` may get an extra send.
    fn concerns(&self, route: &Route) -> bool {
        let repeatable = route.kind.retryable() && route.attempts > 1;
        self.limit.is_some() && self.tight && route.goal.is_some() && repeatable
    }
}

fn check(due: &Due<'_>) -> Result<(), Withheld> {
    if !due.may_repeat {
        return Err(Withheld::Attempts);
    }
    if due.suspect {
        return Err(Withheld::Suspect);
    }
    if due.pressed {
        return Err(Withheld::Pressed);
    }
    if due.left < due.typical * TYPICAL_TIMES {
        return Err(Withheld::Deadline);
    }
    Ok(())
}
