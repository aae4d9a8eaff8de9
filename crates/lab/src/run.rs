//! Runs: every variant and seed of an experiment, each beside its two references, over all cores.

use crate::experiment::Experiment;
use crate::outcome::Outcome;
use crate::world::{Policy, World};
use rayon::prelude::*;
use serde::Serialize;

/// One seed of one variant, with its references.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    pub variant: String,
    pub seed: u64,
    pub module: Outcome,
    pub oracle: Outcome,
    pub random: Outcome,
    /// Where the module stands between the two: 0 as random, 1 as the oracle.
    pub place: f64,
}

/// All runs of an experiment, variant by variant and seed by seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub ingresses: usize,
    pub nodes: usize,
    pub seconds: f64,
    pub runs: Vec<Run>,
}

/// Plays one seed three times: the module, and its references.
pub fn one(variant: &str, experiment: &Experiment, seed: u64) -> Run {
    let oracle = World::new(experiment, seed, Policy::Oracle).play();
    let [served, _, failed] = oracle.parts();
    // As much as the oracle lets in, but blindly.
    let random = World::new(experiment, seed, Policy::Random((served + failed).clamp(0.0, 1.0))).play();
    let module = World::new(experiment, seed, Policy::Module).play();
    let span = oracle.net - random.net;
    let place = if span.abs() > f64::EPSILON { (module.net - random.net) / span } else { 1.0 };
    Run { variant: variant.to_string(), seed, module, oracle, random, place }
}

/// Plays all of them; `done` hears of each that is over. The result does not depend on how many threads play.
pub fn all(variants: &[(String, Experiment)], done: impl Fn() + Sync) -> Vec<Run> {
    let pairs: Vec<(&str, &Experiment, u64)> = variants
        .iter()
        .flat_map(|(name, experiment)| {
            experiment.seeds.iter().map(move |seed| (name.as_str(), experiment, *seed))
        })
        .collect();
    pairs
        .into_par_iter()
        .map(|(name, experiment, seed)| {
            let run = one(name, experiment, seed);
            done();
            run
        })
        .collect()
}

pub fn report(experiment: &Experiment, runs: Vec<Run>) -> Report {
    Report {
        experiment: experiment.name.clone(),
        ingresses: experiment.ingresses,
        nodes: experiment.nodes.count,
        seconds: experiment.length as f64 / 1e6,
        runs,
    }
}
