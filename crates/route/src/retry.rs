//! Limits on repeating: a budget per target and a cap on attempts.

use base::TargetNo;

/// Attempts of one request at most, the first included: the third repeats
/// little that two did not find out.
const ATTEMPTS_MAX: u8 = 3;

/// Credit that one first attempt earns, in thousandths of a repeat: one
/// repeat for ten requests.
const EARNED: u32 = 100;

/// Price of one repeat, in thousandths.
const PRICE: u32 = 1_000;

/// Most credit kept per target, in thousandths: ten repeats at once.
const CREDIT_MAX: u32 = 10_000;

/// Repeats allowed per target that failed, earned by first attempts there.
///
/// Guards against repeats that multiply the load of a failing target: each
/// failure calls for another attempt, which fails too. Past the budget a
/// failure is passed to the caller instead.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    credit: Vec<Option<u32>>,
}

impl RetryBudget {
    /// Makes a budget with every target's credit full.
    #[must_use]
    pub fn new() -> Self {
        RetryBudget::default()
    }

    /// Notes a first attempt at `target`.
    pub fn earn(&mut self, target: TargetNo) {
        let credit = self.credit(target);
        *credit = CREDIT_MAX.min(*credit + EARNED);
    }

    /// Returns whether an attempt that failed at `target` may be repeated
    /// elsewhere, and pays for it.
    pub fn spend(&mut self, target: TargetNo) -> bool {
        let credit = self.credit(target);
        if *credit < PRICE {
            base::hit!(retry_budget_spent);
            return false;
        }
        *credit -= PRICE;
        true
    }

    fn credit(&mut self, target: TargetNo) -> &mut u32 {
        let i = target.0 as usize;
        if self.credit.len() <= i {
            self.credit.resize(i + 1, None);
        }
        self.credit[i].get_or_insert(CREDIT_MAX)
    }
}

/// Counts the attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts(u8);

impl Attempts {
    /// Counts one more attempt, or returns false when none is left.
    pub fn another(&mut self) -> bool {
        if self.0 >= ATTEMPTS_MAX {
            base::hit!(attempts_capped);
            return false;
        }
        self.0 += 1;
        true
    }
}
