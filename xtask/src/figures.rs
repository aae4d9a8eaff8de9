//! Figures as they are printed, and what they must be.

use std::fmt::Display;

/// What a proof has found so far.
#[derive(Default)]
pub struct Figures {
    short: Vec<String>,
}

impl Figures {
    /// A figure that only tells.
    pub fn tell(&mut self, key: &str, value: impl Display) {
        println!("{key}={value}");
    }

    /// A figure that must be at most so much.
    pub fn at_most(&mut self, key: &str, value: f64, most: f64) {
        println!("{key}={value:.3} at_most={most:.3}");
        if value.is_nan() || value > most {
            self.short.push(format!("{key}: {value:.3} is more than {most:.3}"));
        }
    }

    /// A figure that must be at least so much.
    pub fn at_least(&mut self, key: &str, value: f64, least: f64) {
        println!("{key}={value:.3} at_least={least:.3}");
        if value.is_nan() || value < least {
            self.short.push(format!("{key}: {value:.3} is less than {least:.3}"));
        }
    }

    /// Prints the verdict.
    pub fn verdict(self) -> bool {
        self.short.iter().for_each(|reason| println!("falls_short: {reason}"));
        println!("verdict={}", if self.short.is_empty() { "holds" } else { "fails" });
        self.short.is_empty()
    }
}

/// The value below which a part of all lie; the values are sorted by it.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    values[((values.len() as f64 * part) as usize).min(values.len() - 1)]
}
