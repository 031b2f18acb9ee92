//! One instance's part of the weight store's budget.

use base::Time;

/// Least and most that may be saved up, in thousandths, whatever the rate. Two
/// are needed for loads from spare budget; more than four at once would only
/// share the store's bandwidth.
const SAVED: (i64, i64) = (2_000, 4_000);

/// Seconds of the rate that may be saved up between these: all instances
/// together save no more than that much of the store's budget.
const SAVED_SECS: i64 = 6;

/// One load, in thousandths.
const LOAD: i64 = 1_000;

/// Loads of one instance under way at once at most; the store serves no more
/// at full speed.
const AT_ONCE: u32 = 2;

/// How far a critical load may overdraw, in thousandths: it always starts, and
/// later loads wait for it instead.
const OVERDRAWN_MAX: i64 = 2_000;

/// Left untouched by loads ahead of need, in thousandths: the next request's
/// own load must not wait for one that was a guess.
const SPARE: i64 = 1_000;

/// A token bucket filled at the rate that the leader gave.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u32,
    saved: i64,
    filled: Time,
    under_way: u32,
}

impl Budget {
    /// Makes a full bucket that is filled at `rate` thousandths a second.
    #[must_use]
    pub fn new(now: Time, rate: u32) -> Self {
        Budget {
            rate,
            saved: saved_max(rate),
            filled: now,
            under_way: 0,
        }
    }

    /// Sets the rate, in thousandths of a load a second.
    pub fn set_rate(&mut self, now: Time, rate: u32) {
        self.fill(now);
        self.rate = rate;
    }

    /// Returns the rate, in thousandths of a load a second.
    #[must_use]
    pub fn rate(&self) -> u32 {
        self.rate
    }

    /// Returns whether a load may start; one ahead of need (`spare`) only
    /// when more than the next one's part is saved up and none is under way.
    pub fn allows(&mut self, now: Time, spare: bool) -> bool {
        self.fill(now);
        if spare {
            return self.saved >= LOAD + SPARE && self.under_way == 0;
        }
        self.saved >= LOAD && self.under_way < AT_ONCE
    }

    /// Returns whether a load for a critical request may start; it may
    /// overdraw the rate, which keeps the budget over any longer time.
    pub fn allows_critical(&mut self, now: Time) -> bool {
        self.fill(now);
        self.saved > LOAD - OVERDRAWN_MAX && self.under_way <= AT_ONCE
    }

    /// Takes one load out of the budget.
    pub fn take(&mut self) {
        self.saved -= LOAD;
        self.under_way += 1;
    }

    /// Notes that a load ended.
    pub fn ended(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Gives back what [`Budget::take`] took for a load that never started.
    pub fn give_back(&mut self) {
        self.saved = saved_max(self.rate).min(self.saved + LOAD);
        self.ended();
    }

    /// Returns when the next load may start as far as the rate goes, or
    /// `None` while only a load under way is waited for or the rate is zero.
    #[must_use]
    pub fn next_at(&self, now: Time, spare: bool) -> Option<Time> {
        let need = if spare { LOAD + SPARE } else { LOAD };
        let most = if spare { 1 } else { AT_ONCE };
        if self.under_way >= most || self.rate == 0 {
            return None;
        }
        let missing = u64::try_from(need - self.saved).unwrap_or(0);
        let micros = (missing * 1_000_000).div_ceil(u64::from(self.rate));
        Some(Time(self.filled.0 + micros).max(now))
    }

    fn fill(&mut self, now: Time) {
        let micros = now.0.saturating_sub(self.filled.0);
        let earned = micros * u64::from(self.rate) / 1_000_000;
        if earned == 0 {
            return;
        }
        self.saved += i64::try_from(earned).unwrap_or(SAVED.1);
        // Only the time that made whole thousandths is used up.
        self.filled = Time(self.filled.0 + earned * 1_000_000 / u64::from(self.rate));
        let most = saved_max(self.rate);
        if self.saved >= most {
            self.saved = most;
            self.filled = now;
        }
    }
}

fn saved_max(rate: u32) -> i64 {
    (i64::from(rate) * SAVED_SECS).clamp(SAVED.0, SAVED.1)
}
