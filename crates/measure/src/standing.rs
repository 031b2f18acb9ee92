//! How far ours is from the bound, beside the best baseline.

use crate::figures::Figures;

/// Worth that policies gave in a world, and what nobody exceeds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Asked for.
    pub asked: f64,
    /// Given by ours.
    pub ours: f64,
    /// Given by the best baseline.
    pub best: f64,
    /// The bound.
    pub bound: f64,
}

impl Standing {
    /// Makes it from the figures of ours, of the baselines, and the bound.
    #[must_use]
    pub fn new(ours: &Figures, baselines: &[Figures], bound: f64) -> Self {
        let given = baselines.iter().map(|figures| figures.worth.1);
        Standing {
            asked: ours.worth.0 as f64,
            ours: ours.worth.1 as f64,
            best: given.max().unwrap_or(0) as f64,
            bound,
        }
    }

    /// Returns whether nobody exceeds the bound.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.ours.max(self.best) <= self.bound
    }

    /// Returns the part of the bound that ours leaves.
    #[must_use]
    pub fn distance(&self) -> f64 {
        1.0 - self.ours / self.bound.max(f64::MIN_POSITIVE)
    }

    /// Returns one row of the table.
    #[must_use]
    pub fn row(&self, world: &str) -> String {
        let part = |worth: f64| worth / self.asked.max(1.0) * 100.0;
        format!(
            "| {world} | {:.1}% | {:.1}% | {:.1}% | {:.1}% |",
            part(self.ours),
            part(self.best),
            part(self.bound),
            self.distance() * 100.0,
        )
    }
}

/// Head of the table that [`Standing::row`] makes rows for.
pub const STANDINGS: &str = "\
| world | ours | best baseline | bound | distance |
| --- | --- | --- | --- | --- |";
