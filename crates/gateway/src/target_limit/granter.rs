//! Permits for requests to limited targets, granted by the zone owner.

mod turns;

use std::{collections::BTreeMap, time::Duration};

use account::Rate;
use base::{InstanceName, RequestRate, Time};
use wire::limit::{LimitReport, Permit, PermitRequest, TargetLimit};

use self::turns::Turns;
use super::{EXTRA, LONGEST_WAIT, LimitChange, SHORTEST_WAIT, WINDOW, burst, send_rate};

/// Time after a target has named a limit in which all instances hear of it and say what
/// they sent before.
const HEARING_TIME: Duration = Duration::from_millis(600);

/// An instance that was denied within this time still waits.
const WAITING_FOR: Duration = Duration::from_secs(2);

/// Permits that are asked for on average where one may be granted: with fewer, some would
/// find nobody who asks.
const ASKED_FOR_EACH: f64 = 4.0;

/// Part of the unused limit that one instance gets beyond the permit it asked for, divided
/// by the number of instances.
const SPARE_PART: f64 = 0.5;

/// Most permits that are granted at once.
const MAX_PERMITS: u32 = 64;

/// The limits of the targets of a zone owner.
#[derive(Debug, Default)]
pub struct Granter {
    targets: BTreeMap<String, Limited>,
}

#[derive(Debug)]
struct Limited {
    /// `None` if the target no longer names a limit.
    limit: Option<RequestRate>,
    /// When the answer came that said so.
    said: Time,
    /// Permits that may be granted now, as of `filled`.
    level: f64,
    filled: Time,
    /// Permits granted lately.
    granted: Rate,
    /// Instances that were denied lately.
    waiting: BTreeMap<InstanceName, Time>,
    turns: Turns,
    opening: Option<Opening>,
}

/// The time after a limit was named or lowered.
#[derive(Debug)]
struct Opening {
    since: Time,
    /// Requests sent before, by the instance that said so, and when it did.
    before: BTreeMap<Option<InstanceName>, (f64, Time)>,
    /// Permits granted since.
    granted: f64,
}

impl Granter {
    /// Takes over what an entry instance has heard and what it sent before. Returns what
    /// has changed.
    pub fn report(&mut self, now: Time, report: &LimitReport) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for seen in &report.seen {
            let said = now - seen.ago;
            if self.set(now, &seen.target, said, seen.limit) {
                changes.push(LimitChange {
                    target: seen.target.clone(),
                    limit: seen.limit,
                    age: Some(seen.ago),
                });
            }
        }
        for (target, sent) in &report.before {
            let opening = self.targets.get_mut(target);
            if let Some(opening) = opening.and_then(|limited| limited.opening.as_mut()) {
                let instance = Some(report.instance.clone());
                opening.before.insert(instance, (f64::from(*sent), now));
            }
        }
        changes
    }

    /// Sets the limit of a target as its answer said it at `said`, and returns whether it
    /// has changed.
    fn set(&mut self, now: Time, target: &str, said: Time, limit: Option<RequestRate>) -> bool {
        let known = self.targets.get_mut(target);
        if known.as_ref().is_some_and(|known| said < known.said) {
            return false;
        }
        match (known, limit) {
            (Some(known), limit) => {
                let changed = known.limit != limit;
                known.change(now, said, limit);
                changed
            }
            (None, Some(limit)) => {
                let limited = Limited::new(now, said, limit);
                self.targets.insert(target.to_owned(), limited);
                true
            }
            (None, None) => false,
        }
    }

    /// Answers a request for permits of `instance`, one of `instances` entry instances.
    pub fn ask(
        &mut self,
        now: Time,
        instance: &InstanceName,
        want: &PermitRequest,
        instances: usize,
    ) -> Permit {
        match self.targets.get_mut(&want.target) {
            Some(limited) => limited.ask(now, instance, want, instances),
            None => Permit::Unlimited,
        }
    }

    /// Returns what entry instances have to know of a target's limit.
    #[must_use]
    pub fn limit(&self, target: &str) -> Option<TargetLimit> {
        let known = self.targets.get(target)?;
        Some(TargetLimit { rate: known.limit })
    }

    /// Returns whether a target names a limit.
    #[must_use]
    pub fn is_limited(&self, target: &str) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| known.limit.is_some())
    }

    /// Returns whether any target names a limit.
    #[must_use]
    pub fn any_limited(&self) -> bool {
        self.targets.values().any(|known| known.limit.is_some())
    }

    /// Ends the limit of a target that began anew: what was said of it before doesn't hold.
    pub fn end(&mut self, now: Time, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.change(now, now, None);
        }
    }

    /// Forgets the limits of targets that are gone.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }

    /// Returns the number of targets that name a limit, or did.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

impl Limited {
    fn new(now: Time, said: Time, limit: RequestRate) -> Self {
        Limited {
            limit: Some(limit),
            said,
            level: 0.0,
            filled: now,
            granted: Rate::new(WINDOW),
            waiting: BTreeMap::new(),
            turns: Turns::default(),
            opening: Some(Opening::new(now)),
        }
    }

    fn change(&mut self, now: Time, said: Time, limit: Option<RequestRate>) {
        self.refill(now);
        self.said = said;
        let before = std::mem::replace(&mut self.limit, limit);
        match (before, limit) {
            (None, Some(limit)) => {
                // Answers overtake each other, so a limit may end and be named again within
                // a moment. What was sent before counts all the same.
                let opening = self.opening.take();
                *self = Limited::new(now, said, limit);
                let before = opening.map(|opening| opening.before);
                self.opening = Some(Opening {
                    before: before.unwrap_or_default(),
                    ..Opening::new(now)
                });
            }
            (Some(before), Some(limit)) if limit < before => {
                // What was granted under the higher limit counts under the lower one.
                let sent = self.granted.at(now) * WINDOW.as_secs_f64();
                let opening = self.opening.get_or_insert_with(|| Opening::new(now));
                opening.before.insert(None, (sent, now));
                self.level = self.level.min(burst(send_rate(limit)));
            }
            _ => {}
        }
    }

    fn refill(&mut self, now: Time) {
        let Some(limit) = self.limit else {
            return;
        };
        let rate = send_rate(limit);
        let refill = rate * now.since(self.filled).as_secs_f64();
        self.level = (self.level + refill).min(burst(rate));
        self.filled = now;
    }

    fn ask(
        &mut self,
        now: Time,
        instance: &InstanceName,
        want: &PermitRequest,
        instances: usize,
    ) -> Permit {
        let Some(limit) = self.limit else {
            return Permit::Unlimited;
        };
        self.refill(now);
        self.turns.asked(now, want);
        let rate = send_rate(limit);
        let wait = match self.opening_wait(now, rate) {
            Some(wait) => Some(wait),
            None => {
                let reserve = self.turns.reserve(now, want, self.level, burst(rate));
                let lacking = 1.0 + reserve - self.level;
                (lacking > 0.0).then(|| Duration::from_secs_f64(lacking / rate))
            }
        };
        if let Some(wait) = wait {
            return self.deny(now, instance, rate, wait);
        }
        self.waiting.remove(instance);
        let spare = (self.level - 1.0) * SPARE_PART / instances.max(1) as f64;
        let count = 1 + (spare.max(0.0) as u32).min(MAX_PERMITS - 1);
        self.grant(now, want, f64::from(count));
        Permit::Granted(count)
    }

    /// Denies a permit that can't be granted for `wait`. Whoever else waits asks as well, so
    /// all are told to come back when there is something for some of them.
    fn deny(&mut self, now: Time, instance: &InstanceName, rate: f64, wait: Duration) -> Permit {
        self.waiting.retain(|_, at| now.since(*at) < WAITING_FOR);
        self.waiting.insert(instance.clone(), now);
        let ahead = self.waiting.len() as f64 / ASKED_FOR_EACH / rate;
        let ahead = Duration::from_secs_f64(ahead.min(LONGEST_WAIT.as_secs_f64()));
        Permit::Denied {
            again: wait.max(ahead).clamp(SHORTEST_WAIT, LONGEST_WAIT),
        }
    }

    fn grant(&mut self, now: Time, want: &PermitRequest, count: f64) {
        self.level -= count;
        self.granted.add(now, count);
        self.turns.granted(now, want, count);
        if let Some(opening) = &mut self.opening {
            opening.granted += count;
        }
    }

    /// Returns the time until the first permit may be granted after a limit was named, or
    /// `None` if that is over.
    fn opening_wait(&mut self, now: Time, rate: f64) -> Option<Duration> {
        let opening = self.opening.as_mut()?;
        let gone = now.since(opening.since);
        if gone < HEARING_TIME {
            return Some(HEARING_TIME - gone);
        }
        let before = opening.before(now);
        if before <= 0.0 {
            self.opening = None;
            return None;
        }
        let most = rate * WINDOW.as_secs_f64() + EXTRA;
        let over = before + opening.granted + 1.0 - most;
        let part = (over / before).min(1.0);
        (over > 0.0).then(|| WINDOW.mul_f64(part).min(WINDOW))
    }
}

impl Opening {
    fn new(now: Time) -> Self {
        Opening {
            since: now,
            before: BTreeMap::new(),
            granted: 0.0,
        }
    }

    /// Returns how many of the requests sent before are within the window that ends now.
    fn before(&mut self, now: Time) -> f64 {
        self.before.retain(|_, (_, at)| now.since(*at) < WINDOW);
        let left = self.before.values().map(|(sent, at)| {
            let gone = now.since(*at).as_secs_f64() / WINDOW.as_secs_f64();
            sent * (1.0 - gone)
        });
        left.sum()
    }
}
