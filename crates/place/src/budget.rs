//! One instance's part of the weight store's load budget.

use base::Time;

/// Bounds of the bucket's capacity at any rate, in thousandths of a load. Loads from
/// spare budget need at least two loads saved; more than four started at once would only
/// share the store's bandwidth.
const CAPACITY_BOUNDS: (i64, i64) = (2_000, 4_000);

/// Seconds at the current rate that fill the bucket, within [`CAPACITY_BOUNDS`]: all
/// instances together save at most this many seconds of the store's budget.
const CAPACITY_SECS: i64 = 6;

/// Cost of one load, in thousandths of a load, the unit of credit.
const LOAD_COST: i64 = 1_000;

/// Most concurrent loads of one instance; with more, the store doesn't serve each at full
/// speed.
const CONCURRENT_MAX: u32 = 2;

/// How far critical loads may overdraw the bucket, in thousandths of a load: they start
/// without waiting for the rate, and later loads wait instead.
const OVERDRAFT_MAX: i64 = 2_000;

/// Credit that loads from spare budget leave in the bucket, in thousandths of a load: a
/// load that a request waits for must not wait because of a speculative one.
const SPARE_RESERVE: i64 = 1_000;

/// A token bucket, filled at the rate that the control leader assigns to this instance.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u32,
    credit: i64,
    filled_at: Time,
    in_progress: u32,
}

impl Budget {
    /// Creates a full bucket with a rate in thousandths of a load a second.
    #[must_use]
    pub fn new(now: Time, rate: u32) -> Self {
        Budget {
            rate,
            credit: capacity(rate),
            filled_at: now,
            in_progress: 0,
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

    /// Returns whether a load may start. With `spare`, the load must leave enough budget
    /// for one more load, and no other load may be in progress; used for loads that can
    /// wait: those for batch requests and those ahead of requests.
    pub fn allows(&mut self, now: Time, spare: bool) -> bool {
        self.fill(now);
        if spare {
            return self.credit >= LOAD_COST + SPARE_RESERVE && self.in_progress == 0;
        }
        self.credit >= LOAD_COST && self.in_progress < CONCURRENT_MAX
    }

    /// Returns whether a load for a critical request may start. It may overdraw the
    /// bucket; the rate still holds over longer times.
    pub fn allows_critical(&mut self, now: Time) -> bool {
        self.fill(now);
        self.credit > LOAD_COST - OVERDRAFT_MAX && self.in_progress <= CONCURRENT_MAX
    }

    /// Takes the cost of one load out of the bucket.
    pub fn take(&mut self) {
        self.credit -= LOAD_COST;
        self.in_progress += 1;
    }

    /// Records that a load ended.
    pub fn ended(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Returns what [`Budget::take`] took for a load that was never sent.
    pub fn give_back(&mut self) {
        self.credit = capacity(self.rate).min(self.credit + LOAD_COST);
        self.ended();
    }

    /// Returns when the rate allows the next load, or `None` if it depends on the end of
    /// a load in progress or the rate is zero.
    #[must_use]
    pub fn next_at(&self, now: Time, spare: bool) -> Option<Time> {
        let need = if spare {
            LOAD_COST + SPARE_RESERVE
        } else {
            LOAD_COST
        };
        let most = if spare { 1 } else { CONCURRENT_MAX };
        if self.in_progress >= most || self.rate == 0 {
            return None;
        }
        let missing = u64::try_from(need - self.credit).unwrap_or(0);
        let micros = (missing * 1_000_000).div_ceil(u64::from(self.rate));
        Some(Time(self.filled_at.0 + micros).max(now))
    }

    fn fill(&mut self, now: Time) {
        let micros = now.0.saturating_sub(self.filled_at.0);
        let earned = micros * u64::from(self.rate) / 1_000_000;
        if earned == 0 {
            return;
        }
        self.credit += i64::try_from(earned).unwrap_or(CAPACITY_BOUNDS.1);
        // Only the time that yielded whole units of credit is used up.
        self.filled_at = Time(self.filled_at.0 + earned * 1_000_000 / u64::from(self.rate));
        let most = capacity(self.rate);
        if self.credit >= most {
            self.credit = most;
            self.filled_at = now;
        }
    }
}

fn capacity(rate: u32) -> i64 {
    (i64::from(rate) * CAPACITY_SECS).clamp(CAPACITY_BOUNDS.0, CAPACITY_BOUNDS.1)
}
