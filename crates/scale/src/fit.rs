//! How a figure grows with a size: a power, fitted to logarithms by least squares.

use serde::{Deserialize, Serialize};

/// `factor * size ^ power`, and how much of the spread of the logarithms it explains.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct Power {
    pub factor: f64,
    pub power: f64,
    pub r2: f64,
}

impl Power {
    /// Fits at least two points; points at or below zero have no logarithm and are left out.
    pub fn fit(points: &[(f64, f64)]) -> Option<Power> {
        let logs: Vec<(f64, f64)> =
            points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
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
        Some(Power { factor: (mean_y - power * mean_x).exp(), power, r2 })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.power)
    }

    /// The size at which the figure reaches a bound; none where it does not grow.
    pub fn reaches(&self, bound: f64) -> Option<f64> {
        (self.power > 0.05).then(|| (bound / self.factor).powf(1.0 / self.power))
    }
}

/// The middle one of some values, or the mean of the two in the middle.
pub fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let upper = *sorted.get(sorted.len() / 2)?;
    let lower = *sorted.get((sorted.len() - 1) / 2)?;
    Some((lower + upper) / 2.0)
}
