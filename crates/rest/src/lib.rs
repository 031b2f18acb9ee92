//! Targets that turn requests away and ask the instance that sent them for rest.
//!
//! A rest holds for one instance and one target, whatever the target answers to requests that
//! it had taken before. Nothing here reads a clock: the caller passes in the time and asks
//! [`Rests::wait`] before each way in which a request may go to a target, and again when it is
//! written.
//!
//! Pattern: all that was held back while a target rested arrives there in the instant in which
//! the rest ends, from all instances, and the target turns it away again. So each instance
//! begins a little later than it may, by a part that differs between instances, with one
//! request, and sends more as these are answered.

use std::{borrow::Borrow, collections::BTreeMap, time::Duration};

use base::{Seed, Time, stable_hash};

/// Longest time for which a word of a target holds; longer ones are mistakes, and would lose
/// the target for good.
pub const LONGEST: Duration = Duration::from_secs(600);

/// Part of a rest by which an instance begins later than it may, at the most.
const SPREAD_PART: u32 = 8;

/// Longest time by which an instance begins later than it may.
const SPREAD_MAX: Duration = Duration::from_millis(400);

/// Interval at which one more request may be sent to a target that has rested, though none is
/// answered: heads of answers may take seconds.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// Answered requests from which on a target that has rested is used as any other.
const RETURNED: u32 = 15;

/// Time after a rest from which on the target is used as any other.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time after which a request looks again for a target that takes few requests.
const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// Time for which a target takes nothing that has just rested and turns a request away without
/// asking for more rest.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);

/// The targets that have asked one instance for rest, by key.
#[derive(Clone, Debug)]
pub struct Rests<K> {
    seed: Seed,
    targets: BTreeMap<K, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    since: Time,
    /// The latest end that it has asked for.
    until: Time,
    /// When the first request may be sent.
    back: Time,
    /// Requests sent while it rested.
    within: u32,
    /// Requests sent since it is back, and those of them that it has begun to answer.
    sent: u32,
    answered: u32,
    /// Whether its end was told by [`Rests::take_ended`].
    told: bool,
}

/// A rest that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRest<K> {
    /// The target.
    pub target: K,
    /// How long it lasted.
    pub lasted: Duration,
    /// Requests that were sent there meanwhile.
    pub sent: u32,
}

/// Stands for a request that was sent to a target; see [`Rests::begin`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trial(bool);

impl<K> Default for Rests<K> {
    fn default() -> Self {
        Rests {
            seed: Seed(0),
            targets: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Rests<K> {
    /// Creates the state of an instance that no target has asked for rest. `seed` has to differ
    /// between instances.
    #[must_use]
    pub fn new(seed: Seed) -> Self {
        Rests {
            seed,
            ..Rests::default()
        }
    }

    /// Notes that a target has turned a request away and wants nothing for the time `rest`.
    /// Returns whether it wasn't resting before.
    pub fn asked(&mut self, now: Time, target: &K, rest: Duration) -> bool {
        let rest = rest.min(LONGEST);
        let until = now + rest;
        let back = until + self.spread(until, rest);
        let fresh = Known {
            since: now,
            until,
            back,
            within: 0,
            sent: 0,
            answered: 0,
            told: false,
        };
        let Some(known) = self.targets.get_mut(target) else {
            self.targets.insert(target.clone(), fresh);
            return true;
        };
        if now >= known.until {
            *known = fresh;
            return true;
        }
        known.until = known.until.max(until);
        known.back = known.back.max(back);
        false
    }

    /// Notes that a target has turned a request away without asking for rest.
    pub fn refused<Q>(&mut self, now: Time, target: &Q)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        if now >= known.until {
            known.back = known.back.max(now + REFUSED_PAUSE);
            (known.sent, known.answered) = (0, 0);
        }
    }

    /// Returns whether a target rests: nothing at all may be sent there.
    #[must_use]
    pub fn is_resting<Q>(&self, now: Time, target: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let known = self.targets.get(target);
        known.is_some_and(|known| now < known.until)
    }

    /// Returns whether a target rests or has just rested.
    #[must_use]
    pub fn is_known<Q>(&self, now: Time, target: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let known = self.targets.get(target);
        known.is_some_and(|known| !known.has_returned(now))
    }

    /// Returns the time until a target rests no longer.
    #[must_use]
    pub fn left<Q>(&self, now: Time, target: &Q) -> Option<Duration>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let known = self.targets.get(target).filter(|k| now < k.until)?;
        Some(known.until.since(now))
    }

    /// Returns the time for which the next request may not be sent to a target; none if it may be
    /// sent now.
    #[must_use]
    pub fn wait<Q>(&self, now: Time, target: &Q) -> Option<Duration>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let known = self.targets.get(target)?;
        if now < known.back {
            return Some(known.back.since(now));
        }
        if known.has_returned(now) || known.sent < known.room(now) {
            return None;
        }
        Some(LOOK_PAUSE)
    }

    /// Counts a request that is sent to a target.
    pub fn begin<Q>(&mut self, now: Time, target: &Q) -> Trial
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let Some(known) = self.targets.get_mut(target) else {
            return Trial(false);
        };
        if now < known.until {
            known.within += 1;
            return Trial(false);
        }
        known.sent += 1;
        Trial(true)
    }

    /// Notes that a request was answered and not turned away.
    pub fn answered<Q>(&mut self, target: &Q, trial: &mut Trial)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        if std::mem::take(trial).0
            && let Some(known) = self.targets.get_mut(target)
        {
            known.answered += 1;
        }
    }

    /// Notes that a request ended without an answer.
    pub fn lost<Q>(&mut self, target: &Q, trial: &mut Trial)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        if std::mem::take(trial).0
            && let Some(known) = self.targets.get_mut(target)
        {
            known.sent = known.sent.saturating_sub(1);
        }
    }

    /// Returns the targets that rest and for how long.
    pub fn resting(&self, now: Time) -> impl Iterator<Item = (&K, Duration)> {
        let resting = self.targets.iter();
        let resting = resting.filter(move |(_, known)| now < known.until);
        resting.map(move |(target, known)| (target, known.until.since(now)))
    }

    /// Returns the rests that are over and weren't returned before, and forgets targets that are
    /// used as any other, or that `keep` doesn't name.
    pub fn take_ended(&mut self, now: Time, keep: impl Fn(&K) -> bool) -> Vec<EndedRest<K>> {
        let mut ended = Vec::new();
        self.targets.retain(|target, known| {
            let kept = keep(target);
            if !known.told && (!kept || now >= known.until) {
                known.told = true;
                ended.push(EndedRest {
                    target: target.clone(),
                    lasted: known.until.min(now).since(known.since),
                    sent: known.within,
                });
            }
            kept && !known.has_returned(now)
        });
        ended
    }

    /// Ends the rest of a target now if it began by the time `as_of`. It returns as after any rest,
    /// with few requests at first: the wish may be one of the process that has started anew.
    pub fn end<Q>(&mut self, now: Time, target: &Q, as_of: Time)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        if let Some(known) = self.targets.get_mut(target)
            && now < known.back
            && known.since <= as_of
        {
            known.until = known.until.min(now);
            known.back = now;
            (known.sent, known.answered) = (0, 0);
        }
    }

    /// Forgets a target, as it has started anew.
    pub fn forget<Q>(&mut self, target: &Q)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.targets.remove(target);
    }

    fn spread(&self, until: Time, rest: Duration) -> Duration {
        let draw = stable_hash(&[&self.seed.0.to_le_bytes(), &until.0.to_le_bytes()]);
        let part = draw as f64 / u64::MAX as f64;
        (rest / SPREAD_PART).min(SPREAD_MAX).mul_f64(part)
    }
}

impl Known {
    fn has_returned(&self, now: Time) -> bool {
        now >= self.back && (self.answered >= RETURNED || now.since(self.back) >= RETURN_TIME)
    }

    /// Returns how many requests may have been sent since the target is back.
    fn room(&self, now: Time) -> u32 {
        let intervals = now.since(self.back).as_millis() / RETURN_INTERVAL.as_millis();
        let intervals = u32::try_from(intervals).unwrap_or(u32::MAX);
        1 + 2 * self.answered + intervals
    }
}
