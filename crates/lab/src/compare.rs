//! Compares two sets of runs, paired by variant and seed: the difference of their means with its confidence interval.

use crate::demand::{stream, Stream};
use crate::run::Run;
use rand::RngExt;
use serde_json::Value;

/// The figures of a run that are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Where the run stands between the random policy (0) and the oracle (1).
    pub place: f64,
    /// Value served minus all costs, as a share of the value requested.
    pub net: f64,
    /// Value served, as a share of the value requested.
    pub served: f64,
    /// Units beyond quotas, as a share of the units forwarded to nodes.
    pub beyond: f64,
}

impl From<&Run> for Figures {
    fn from(run: &Run) -> Figures {
        let own = &run.module;
        Figures {
            variant: run.variant.clone(),
            seed: run.seed,
            place: run.place,
            net: own.net_share(),
            served: own.served_share(),
            beyond: own.beyond_units / own.units.max(1.0),
        }
    }
}

/// Why a report cannot be compared.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The report is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A key is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// The value of a key is not a number.
    #[error("{0} is not a number")]
    NotANumber(String),
}

/// Reads a report that an earlier run, perhaps of another build, wrote as JSON. Keys that are not compared may differ.
///
/// # Errors
/// The first key that is missing or no number, with its place.
pub fn parse_report(text: &[u8]) -> Result<Vec<Figures>, ReportError> {
    let report: Value = serde_json::from_slice(text)?;
    let runs = report["runs"].as_array().ok_or_else(|| ReportError::Missing("runs".into()))?;
    let one = |(place, run): (usize, &Value)| {
        let number = |value: &Value, key: &str| {
            value.as_f64().ok_or_else(|| ReportError::NotANumber(format!("runs[{place}].{key}")))
        };
        let missing = |key: &str| ReportError::Missing(format!("runs[{place}].{key}"));
        let own = &run["module"];
        let asked = number(&own["asked"]["worth"], "module.asked.worth")?.max(f64::MIN_POSITIVE);
        let units = number(&own["units"], "module.units")?.max(1.0);
        Ok(Figures {
            variant: run["variant"].as_str().ok_or_else(|| missing("variant"))?.to_string(),
            seed: run["seed"].as_u64().ok_or_else(|| missing("seed"))?,
            place: number(&run["place"], "place")?,
            net: number(&own["net"], "module.net")? / asked,
            served: number(&own["served"]["worth"], "module.served.worth")? / asked,
            beyond: number(&own["beyond_units"], "module.beyond_units")? / units,
        })
    };
    runs.iter().enumerate().map(one).collect()
}

/// How often the pairs are resampled.
const RESAMPLES: usize = 4_000;

/// The mean of paired differences with its 95% confidence interval, by bootstrap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// The mean of the differences, later less earlier.
    pub mean: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// The upper end of the interval.
    pub high: f64,
    /// How many pairs there are.
    pub pairs: usize,
}

/// The difference of pairs of an earlier and a later figure; none without a pair.
pub fn paired(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / differences.len() as f64;
    let mut rng = stream(0, Stream::Random);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            mean(&mut (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]))
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES - 1) as f64 * part).round() as usize];
    Some(Difference {
        mean: mean(&mut differences.iter().copied()),
        low: at(0.025),
        high: at(0.975),
        pairs: pairs.len(),
    })
}
