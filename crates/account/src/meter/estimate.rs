//! An estimate of what is left of an account's limit.

use std::time::Duration;

use base::Time;

use crate::{
    DEMAND_MEMORY, Limit,
    rate::{Rate, fading},
};

/// An answer is recent for this long: several exchanges may be lost.
pub(super) const RECENT: Duration = Duration::from_millis(1_000);

/// Rate of use, as a part of the limit's, up to which an allowance is taken for full; above
/// the limit's rate it is taken for empty.
const FULL_BELOW: f64 = 0.7;

/// An estimate of the allowance that is left to all instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// When it was made; none if nobody has said anything yet.
    pub(super) at: Option<Time>,
    pub(super) since: Time,
    pub(super) level: f64,
    /// Units that this instance had used then.
    pub(super) own: f64,
    /// Units a second that others use, and ask for.
    pub(super) others_used: Rate,
    pub(super) others_asked: Rate,
    /// Part of the demand at instances that aren't counted.
    pub(super) silent: f64,
    /// Part of the demand at this instance. It stays as it was while nobody answers: the
    /// demand may grow everywhere, and each instance would take its part for larger.
    pub(super) share: f64,
    /// Whether that share was counted, not assumed.
    pub(super) counted: bool,
    /// What this instance may use until the next answer, as of `own_at`.
    pub(super) own_left: f64,
    pub(super) own_at: Time,
}

impl Estimate {
    pub(super) fn is_recent(&self, now: Time) -> bool {
        self.at.is_some_and(|at| now.since(at) <= RECENT)
    }

    /// Returns what is left at `now`, if this instance has used `own` units in all.
    pub(super) fn level(&self, now: Time, limit: &Limit, full: f64, own: f64) -> f64 {
        let gone = now.since(self.since);
        let known = match self.at {
            Some(_) => gone.min(RECENT),
            None => Duration::ZERO,
        };
        let unknown = gone.saturating_sub(known).as_secs_f64();
        let used = self.others_used.at(self.since);
        let fair = limit.rate * (1.0 - self.share);
        let others = used * known.as_secs_f64() + used.max(fair) * unknown;
        let silent = limit.rate * self.silent * gone.as_secs_f64();
        let refill = limit.rate * gone.as_secs_f64();
        (self.level + refill - others - silent).min(full) - (own - self.own)
    }

    /// Sets what this instance may use until the next answer to its share of what is left,
    /// and to `floor` where that is less.
    pub(super) fn share_out(&mut self, now: Time, floor: f64) {
        self.own_left = (self.share * self.level).max(floor);
        self.own_at = now;
    }

    /// Adds this instance's share of the refill to what it may use.
    pub(super) fn refill_own(&mut self, now: Time, limit: &Limit, full: f64) {
        let refill = self.share * limit.rate * now.since(self.own_at).as_secs_f64();
        let most = self.own_left.max(self.share * full);
        self.own_left = (self.own_left + refill).min(most);
        self.own_at = now;
    }

    /// Sets this instance's share in the demand, of which its own part is `own`.
    pub(super) fn set_share(&mut self, now: Time, own: &Rate) {
        let (own, others) = (own.at(now), self.others_asked.at(now));
        let counted = own / (own + others).max(f64::MIN_POSITIVE);
        self.share = counted * (1.0 - self.silent);
        self.counted = true;
    }

    /// Leaves part of the allowance to instances that aren't counted from now on.
    ///
    /// They fell silent a while before that was noticed, and have gone on as before
    /// meanwhile, which counts where little was left. The rates of the others have faded
    /// for that time without them.
    pub(super) fn leave_to_silent(&mut self, now: Time, silent: f64, rate: f64, fixed: f64) {
        let more = silent - self.silent;
        if more > 0.0 {
            let part = more / (1.0 - self.silent).max(f64::MIN_POSITIVE);
            let left =
                |memory| (1.0 - part * (1.0 - fading(RECENT, memory))).max(f64::MIN_POSITIVE);
            let before = self.others_used.at(now) / left(RECENT);
            let pressed = 1.0 - fullness(before, rate);
            let uncounted = pressed * before.min(rate) * part * RECENT.as_secs_f64();
            self.level -= (self.level - fixed).max(0.0) * part + uncounted;
            let asked = self.others_asked.at(now) / left(DEMAND_MEMORY);
            self.others_asked.set(now, asked * (1.0 - part));
            self.others_used.set(now, before * (1.0 - part));
        }
        self.silent = silent;
    }

    /// Counts what was used since the last answer: `own` in all by this instance, `others`
    /// (used and asked for) by others.
    pub(super) fn count(
        &mut self,
        now: Time,
        limit: &Limit,
        full: f64,
        own: f64,
        others: (i64, i64),
    ) {
        let others = (others.0 as f64, others.1 as f64);
        let gone = now.since(self.since).as_secs_f64();
        let kept = limit.rate * self.silent * gone;
        let spent = others.0 + kept + (own - self.own);
        let lowest = -limit.rate - full;
        self.level = (self.level + limit.rate * gone - spent).clamp(lowest, full);
        self.others_used.add(now, others.0);
        self.others_asked.add(now, others.1);
        self.own = own;
        self.since = now;
        self.at = Some(now);
    }
}

/// Returns how full an allowance is most likely while `used` units a second are used.
pub(super) fn fullness(used: f64, rate: f64) -> f64 {
    let part = used / rate.max(f64::MIN_POSITIVE);
    ((1.0 - part) / (1.0 - FULL_BELOW)).clamp(0.0, 1.0)
}
