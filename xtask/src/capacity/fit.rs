//! Fits a line to measured points.

#[cfg(test)]
mod tests;

/// A least-squares line.
pub(super) struct Line {
    /// Growth per unit of size.
    pub(super) slope: f64,
    /// Value at size zero.
    pub(super) intercept: f64,
    /// Root mean square of the points' vertical distances from the line.
    pub(super) residual: f64,
}

impl Line {
    /// Fits a line to the points, which must have at least two different sizes.
    pub(super) fn through(points: &[(f64, f64)]) -> Line {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = common.sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let off = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        Line {
            slope,
            intercept,
            residual: (off.sum::<f64>() / n).sqrt(),
        }
    }
}
