//! What a run has measured, as it is kept in `docs/capacity/*.json`.

use crate::fit::{median, PowerLaw};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;

/// One run at several sizes of one thing.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Record {
    /// What is scaled: `ingresses`, `routes`, `tenants`, `backends` or `together`.
    pub axis: String,
    /// The command that writes this record.
    pub command: String,
    /// The steps, in the order in which they were played.
    pub steps: Vec<Step>,
    /// Why the run ended before its last size, if it did.
    pub stopped: Option<String>,
}

/// One system of one size, from its start to its end.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Step {
    /// The size of what is scaled.
    pub size: usize,
    /// How often this size was played, this time included.
    pub repeat: usize,
    /// By name; each name ends with its unit.
    pub figures: BTreeMap<String, f64>,
    /// What did not happen within its time.
    pub failed: Vec<String>,
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    /// When the file can't be read, or is no record.
    pub fn read(path: &Path) -> io::Result<Record> {
        let text = std::fs::read_to_string(path)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Writes the record.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text + "\n")
    }

    /// The sizes that were played, in their order.
    #[must_use]
    pub fn sizes(&self) -> Vec<usize> {
        let sizes: BTreeSet<usize> = self.steps.iter().map(|step| step.size).collect();
        sizes.into_iter().collect()
    }

    /// The values of a figure in the repeats at a size.
    #[must_use]
    pub fn values(&self, figure: &str, size: usize) -> Vec<f64> {
        let steps = self.steps.iter().filter(|step| step.size == size);
        steps.filter_map(|step| step.figures.get(figure).copied()).collect()
    }

    /// The median of the repeats at a size.
    #[must_use]
    pub fn median(&self, figure: &str, size: usize) -> Option<f64> {
        median(&self.values(figure, size))
    }

    /// The largest difference of a repeat from the middle one, as a part of it, at a size.
    #[must_use]
    pub fn spread(&self, figure: &str, size: usize) -> Option<f64> {
        let middle = self.median(figure, size).filter(|middle| *middle > 0.0)?;
        self.values(figure, size).iter().map(|value| (value - middle).abs() / middle).reduce(f64::max)
    }

    /// How a figure grows over the sizes from `least` to `most`.
    #[must_use]
    pub fn fit(&self, figure: &str, least: usize, most: usize) -> Option<PowerLaw> {
        let sizes = self.sizes().into_iter().filter(|size| (least..=most).contains(size));
        let points: Vec<(f64, f64)> =
            sizes.filter_map(|size| Some((size as f64, self.median(figure, size)?))).collect();
        PowerLaw::fit(&points)
    }

    /// The names of all figures.
    #[must_use]
    pub fn figure_names(&self) -> BTreeSet<&str> {
        self.steps.iter().flat_map(|step| step.figures.keys().map(String::as_str)).collect()
    }
}
