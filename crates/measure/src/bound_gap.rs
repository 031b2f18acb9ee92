//! Compares the worth served by our policy with the best baseline and the offline bound.

use crate::figures::Figures;

/// Worth served in one world by our policy and by the best baseline, and its bound. All
/// values are in the unit of [`Figures::worth`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundGap {
    /// Worth of all requests.
    pub asked: f64,
    /// Worth served by our policy.
    pub ours: f64,
    /// Worth served by the best baseline.
    pub best: f64,
    /// Upper bound on the worth that any policy can serve.
    pub bound: f64,
}

impl BoundGap {
    /// Creates it from the figures of our policy and of the baselines, and the bound.
    #[must_use]
    pub fn new(ours: &Figures, baselines: &[Figures], bound: f64) -> Self {
        let given = baselines.iter().map(|figures| figures.worth.1);
        BoundGap {
            asked: ours.worth.0 as f64,
            ours: ours.worth.1 as f64,
            best: given.max().unwrap_or(0) as f64,
            bound,
        }
    }

    /// Returns whether no policy exceeds the bound.
    #[must_use]
    pub fn bound_holds(&self) -> bool {
        self.ours.max(self.best) <= self.bound
    }

    /// Returns the fraction of the bound that our policy does not serve.
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

/// Heading of the table whose rows [`BoundGap::row`] writes.
pub const BOUND_GAP_HEAD: &str = "\
| world | ours | best baseline | bound | distance |
| --- | --- | --- | --- | --- |";
