//! Compares our policy with the best baseline and decides whether the targets are met.

use std::fmt;

use crate::figures::Figures;

/// Highest ratio of our live load stalls to the best baseline's that meets the target.
const STALL_AIM: f64 = 0.25;

/// Fraction of live requests answered in time, and of batch requests done, by which our
/// policy may be below the best baseline: smaller differences are statistical noise.
const CHANCE: f64 = 0.005;

/// Our policy compared with the best baseline over one or more workloads.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Ratio of our live load stalls to the best baseline's.
    pub stalls: f64,
    /// Ratio of our batch efficiency to the best baseline's.
    pub efficiency: f64,
    /// Our fraction of live requests answered in time, minus the best baseline's.
    pub answered: f64,
    /// Our fraction of batch requests done by their deadline, minus the best baseline's.
    pub done: f64,
    /// Critical requests that our policy did not answer by their deadline.
    pub lost: u64,
    /// Rule violations of our policy; see [`Figures::broken`].
    pub broken: u64,
}

/// Compares our policy with the best baseline; which baseline is the best is decided for
/// each figure on its own.
#[must_use]
pub fn compare(ours: &Figures, baselines: &[Figures]) -> Comparison {
    let most = |f: fn(&Figures) -> f64| baselines.iter().map(f).fold(0.0, f64::max);
    let stalls = baselines.iter().map(Figures::stall_secs);
    let least = stalls.fold(f64::INFINITY, f64::min);
    Comparison {
        stalls: ours.stall_secs() / least.max(f64::MIN_POSITIVE),
        efficiency: ours.efficiency() / most(Figures::efficiency).max(f64::MIN_POSITIVE),
        answered: ours.answered_part() - most(Figures::answered_part),
        done: ours.done_part() - most(Figures::done_part),
        lost: ours.lost,
        broken: ours.broken,
    }
}

/// Returns the geometric mean of the stall ratios. It gives every workload the same
/// weight; a sum would be dominated by the workload with the worst overload.
#[must_use]
pub fn mean_stalls(all: &[Comparison]) -> f64 {
    let logs = all.iter().map(|c| c.stalls.max(f64::MIN_POSITIVE).ln());
    (logs.sum::<f64>() / all.len().max(1) as f64).exp()
}

impl Comparison {
    /// Returns whether all targets are met.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.stalls <= STALL_AIM
            && self.efficiency >= 1.0
            && self.answered >= -CHANCE
            && self.done >= -CHANCE
            && self.lost == 0
            && self.broken == 0
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stalls x{:.2}, efficiency x{:.3}, answered {:+.1} points, batch done {:+.1} points, \
             critical lost {}, rules broken {}: {}",
            self.stalls,
            self.efficiency,
            self.answered * 100.0,
            self.done * 100.0,
            self.lost,
            self.broken,
            if self.is_met() { "met" } else { "NOT met" },
        )
    }
}
