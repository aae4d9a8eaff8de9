//! How a figure grows with a size: a power, fitted to logarithms by least squares.

use serde::{Deserialize, Serialize};

/// The least and the greatest size that fits are made of; a greater one checks them.
pub(crate) const FITTED_SIZES: [usize; 2] = [30, 300];

/// A power law, `factor * size ^ power`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct PowerLaw {
    /// The figure at size 1.
    pub factor: f64,
    /// The exponent.
    pub power: f64,
    /// How much of the variance of the logarithms it explains, from 0 to 1.
    pub r2: f64,
}

impl PowerLaw {
    /// Fits at least two points of size and figure; points at or below zero have no logarithm and are left out.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Option<PowerLaw> {
        let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
        let count = logs.len() as f64;
        if logs.len() < 2 {
            return None;
        }
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let xx: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let xy: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let yy: f64 = logs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        if xx == 0.0 {
            return None;
        }
        let power = xy / xx;
        let r2 = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Some(PowerLaw { factor: (mean_y - power * mean_x).exp(), power, r2 })
    }

    /// The figure at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.power)
    }

    /// The size at which the figure reaches a bound; `None` where it does not grow.
    #[must_use]
    pub fn reaches(&self, bound: f64) -> Option<f64> {
        (self.power > 0.05).then(|| (bound / self.factor).powf(1.0 / self.power))
    }
}

/// The median: the middle one of some values, or the mean of the two in the middle.
#[must_use]
pub fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let upper = *sorted.get(sorted.len() / 2)?;
    let lower = *sorted.get((sorted.len() - 1) / 2)?;
    Some((lower + upper) / 2.0)
}
