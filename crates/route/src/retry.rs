//! Limits on retries: a budget per target and a maximum number of attempts per request.

use base::TargetNo;

/// Most attempts of one request, the first included: after two failures a third attempt
/// seldom succeeds, and more of them would only add load.
const ATTEMPTS_MAX: u8 = 3;

/// Credit earned by one first attempt, in thousandths of a retry: one retry for ten
/// requests.
const CREDIT_PER_ATTEMPT: u32 = 100;

/// Credit used by one retry, in thousandths of a retry.
const CREDIT_PER_RETRY: u32 = 1_000;

/// Most credit kept per target, in thousandths of a retry: ten retries at once.
const CREDIT_MAX: u32 = 10_000;

/// Retries allowed after failures of each target, earned by first attempts there.
///
/// Guards against retries that multiply the load while a target is failing: each failure
/// causes another attempt, which fails as well. Once the budget is used up, a failure is
/// returned to the caller instead.
///
/// An answer that breaks after it has begun may go on elsewhere without credit: what one
/// crash breaks ran before, so it goes on once and multiplies no load. Such retries are owed,
/// and first attempts pay them back. An answer that begins while a retry is owed needs
/// credit.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    targets: Vec<TargetBudget>,
}

/// The budget of one target, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
struct TargetBudget {
    credit: u32,
    /// What answers took that went on elsewhere without credit.
    owed: u32,
}

impl Default for TargetBudget {
    fn default() -> Self {
        TargetBudget {
            credit: CREDIT_PER_RETRY,
            owed: 0,
        }
    }
}

impl RetryBudget {
    /// Creates a budget in which every target has credit for one retry.
    ///
    /// Failure: an instance is killed again and again, and each time has ten retries for
    /// every target, beside those that it had made before.
    #[must_use]
    pub fn new() -> Self {
        RetryBudget::default()
    }

    /// Adds the credit of one first attempt at `target`.
    pub fn earn(&mut self, target: TargetNo) {
        let budget = self.target(target);
        // Half of it is left to requests that fail before they begin, as those that are sent
        // to an engine that has just crashed.
        let paid = budget.owed.min(CREDIT_PER_ATTEMPT / 2);
        budget.owed -= paid;
        budget.credit = CREDIT_MAX.min(budget.credit + CREDIT_PER_ATTEMPT - paid);
    }

    /// Returns whether an attempt that failed at `target` may be retried elsewhere, and
    /// takes the retry out of the budget if so.
    pub fn spend(&mut self, target: TargetNo) -> bool {
        let budget = self.target(target);
        if budget.credit < CREDIT_PER_RETRY {
            base::hit!(retry_budget_spent);
            return false;
        }
        budget.credit -= CREDIT_PER_RETRY;
        true
    }

    /// Returns whether an answer that begins at `target` now may go on elsewhere without
    /// credit if it breaks.
    ///
    /// Asked when the answer begins, so that all that one crash breaks goes on.
    pub fn covers(&mut self, target: TargetNo) -> bool {
        let covers = self.target(target).owed < CREDIT_PER_RETRY;
        if !covers {
            base::hit!(answer_not_covered);
        }
        covers
    }

    /// Records that an answer that was covered goes on elsewhere after it broke at `target`.
    pub fn owe(&mut self, target: TargetNo) {
        self.target(target).owed += CREDIT_PER_RETRY;
    }

    fn target(&mut self, target: TargetNo) -> &mut TargetBudget {
        let i = target.0 as usize;
        if self.targets.len() <= i {
            self.targets.resize(i + 1, TargetBudget::default());
        }
        &mut self.targets[i]
    }
}

/// Counts the attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts(u8);

impl Attempts {
    /// Counts one more attempt, or returns false when no attempt is left.
    pub fn another(&mut self) -> bool {
        if self.0 >= ATTEMPTS_MAX {
            base::hit!(attempts_capped);
            return false;
        }
        self.0 += 1;
        true
    }
}
