//! Ours against the best baseline, and whether the aim is met.

use std::fmt;

use crate::figures::Figures;

/// Part of the best baseline's load stalls that live requests may have.
const STALL_AIM: f64 = 0.25;

/// Part of live requests answered in time, and of batch requests done, that
/// ours may be below the best baseline: differences below it are chance.
const CHANCE: f64 = 0.005;

/// Ours against the best baseline over one or more workloads.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Our live load stalls as a part of the best baseline's.
    pub stalls: f64,
    /// Our batch efficiency as a part of the best baseline's.
    pub efficiency: f64,
    /// Our part of live requests answered in time, less the best baseline's.
    pub answered: f64,
    /// Our part of batch requests done by their time, less the best
    /// baseline's.
    pub done: f64,
    /// Critical requests that ours lost.
    pub lost: u64,
    /// Rules that ours broke.
    pub broken: u64,
}

/// Compares ours with the best baseline, taken anew for each figure.
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

/// Returns the geometric mean of the parts of the best baseline's stalls: it
/// weighs each workload alike, where the sum is ruled by the worst overload.
#[must_use]
pub fn mean_stalls(all: &[Comparison]) -> f64 {
    let logs = all.iter().map(|c| c.stalls.max(f64::MIN_POSITIVE).ln());
    (logs.sum::<f64>() / all.len().max(1) as f64).exp()
}

impl Comparison {
    /// Returns whether the aim is met.
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
