//! Two sets of runs, paired by seed: the difference of their means, and how sure it is.

use crate::demand::{stream, Stream};
use crate::run::Run;
use rand::RngExt;
use serde_json::Value;

/// What of a run is compared: shares of the worth asked, and units beyond quotas of those sent on.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    pub variant: String,
    pub seed: u64,
    pub place: f64,
    pub net: f64,
    pub served: f64,
    pub beyond: f64,
}

impl Figures {
    pub fn of(run: &Run) -> Figures {
        let own = &run.module;
        Figures {
            variant: run.variant.clone(),
            seed: run.seed,
            place: run.place,
            net: own.share(),
            served: own.served_share(),
            beyond: own.beyond_units / own.units.max(1.0),
        }
    }
}

/// Reads what an earlier run, perhaps of another build, wrote as JSON; other keys than those needed may differ.
pub fn read(text: &[u8]) -> Result<Vec<Figures>, String> {
    let report: Value = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let runs = report["runs"].as_array().ok_or("runs is missing")?;
    let one = |(place, run): (usize, &Value)| {
        let number = |value: &Value, key: &str| {
            value.as_f64().ok_or_else(|| format!("runs[{place}].{key} is not a number"))
        };
        let own = &run["module"];
        let asked = number(&own["asked"]["worth"], "module.asked.worth")?.max(f64::MIN_POSITIVE);
        let units = number(&own["units"], "module.units")?.max(1.0);
        Ok(Figures {
            variant: run["variant"].as_str().ok_or(format!("runs[{place}].variant is missing"))?.to_string(),
            seed: run["seed"].as_u64().ok_or(format!("runs[{place}].seed is missing"))?,
            place: number(&run["place"], "place")?,
            net: number(&own["net"], "module.net")? / asked,
            served: number(&own["served"]["worth"], "module.served.worth")? / asked,
            beyond: number(&own["beyond_units"], "module.beyond_units")? / units,
        })
    };
    runs.iter().enumerate().map(one).collect()
}

/// Resamples of the pairs.
const SAMPLES: usize = 4_000;

/// The mean of paired differences, and the interval that holds it in nineteen of twenty resamples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub pairs: usize,
}

/// None: there is no pair.
pub fn paired(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / differences.len() as f64;
    let mut rng = stream(0, Stream::Random);
    let mut means: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            mean(&mut (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]))
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((SAMPLES - 1) as f64 * part).round() as usize];
    Some(Difference {
        mean: mean(&mut differences.iter().copied()),
        low: at(0.025),
        high: at(0.975),
        pairs: pairs.len(),
    })
}
