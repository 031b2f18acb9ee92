//! Compares our policy with the best baseline and decides whether the goals are met.

use std::fmt;

use crate::figures::Figures;

/// Highest ratio of our live load stalls to the best baseline's that meets the goal.
const STALL_RATIO_GOAL: f64 = 0.25;

/// Fraction of live requests answered in time, and of batch requests done, by which our
/// policy may be below the best baseline: smaller differences are statistical noise.
const NOISE: f64 = 0.005;

/// Our policy compared with the best baseline over one or more workloads.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Ratio of our live load stalls to the best baseline's.
    pub stall_ratio: f64,
    /// Ratio of our batch efficiency to the best baseline's.
    pub efficiency_ratio: f64,
    /// Our fraction of live requests answered in time, minus the best baseline's.
    pub answered_diff: f64,
    /// Our fraction of batch requests done by their deadline, minus the best baseline's.
    pub done_diff: f64,
    /// Critical requests that our policy did not answer by their deadline.
    pub critical_missed: u64,
    /// Rule violations of our policy; see [`Figures::violations`].
    pub violations: u64,
}

/// Compares our policy with the best baseline; which baseline is the best is decided for
/// each figure on its own.
#[must_use]
pub fn compare(ours: &Figures, baselines: &[Figures]) -> Comparison {
    let most = |f: fn(&Figures) -> f64| baselines.iter().map(f).fold(0.0, f64::max);
    let stalls = baselines.iter().map(Figures::stall_secs);
    let least = stalls.fold(f64::INFINITY, f64::min);
    Comparison {
        stall_ratio: ours.stall_secs() / least.max(f64::MIN_POSITIVE),
        efficiency_ratio: ours.efficiency() / most(Figures::efficiency).max(f64::MIN_POSITIVE),
        answered_diff: ours.answered_fraction() - most(Figures::answered_fraction),
        done_diff: ours.done_fraction() - most(Figures::done_fraction),
        critical_missed: ours.critical_missed,
        violations: ours.violations,
    }
}

/// Returns the geometric mean of the stall ratios. It gives every workload the same
/// weight; a sum would be dominated by the workload with the worst overload.
#[must_use]
pub fn mean_stall_ratio(all: &[Comparison]) -> f64 {
    let logs = all
        .iter()
        .map(|c| c.stall_ratio.max(f64::MIN_POSITIVE).ln());
    (logs.sum::<f64>() / all.len().max(1) as f64).exp()
}

impl Comparison {
    /// Returns whether all goals are met.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.stall_ratio <= STALL_RATIO_GOAL
            && self.efficiency_ratio >= 1.0
            && self.answered_diff >= -NOISE
            && self.done_diff >= -NOISE
            && self.critical_missed == 0
            && self.violations == 0
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stalls x{:.2}, efficiency x{:.3}, answered {:+.1} points, batch done {:+.1} points, \
             critical lost {}, rules broken {}: {}",
            self.stall_ratio,
            self.efficiency_ratio,
            self.answered_diff * 100.0,
            self.done_diff * 100.0,
            self.critical_missed,
            self.violations,
            if self.is_met() { "met" } else { "NOT met" },
        )
    }
}
