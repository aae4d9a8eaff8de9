//! Runs every variant and seed of an experiment, each beside its two reference policies, on all cores.

use crate::experiment::{Experiment, Variant};
use crate::outcome::{Outcome, Shares};
use crate::world::{Policy, World};
use rayon::prelude::*;
use serde::Serialize;

/// One seed of one variant, under the shipped module and both reference policies.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Under the shipped decision module.
    pub module: Outcome,
    /// Under the oracle.
    pub oracle: Outcome,
    /// Under the random policy, which admits as many tries as the oracle.
    pub random: Outcome,
    /// The module's net value on a scale from the random policy (0) to the oracle (1).
    pub place: f64,
}

/// All runs of an experiment, variant by variant and seed by seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// How many ingresses it has, without variation.
    pub ingresses: usize,
    /// How many nodes it has, without variation.
    pub nodes: usize,
    /// How long a run lasts.
    pub seconds: f64,
    /// All runs.
    pub runs: Vec<Run>,
}

/// Runs one seed under each of the three policies.
pub fn run_seed(variant: &str, experiment: &Experiment, seed: u64) -> Run {
    let oracle = World::new(experiment, seed, Policy::Oracle).run();
    let Shares { served, failed, .. } = oracle.shares();
    // The random policy admits the same share as the oracle.
    let random = World::new(experiment, seed, Policy::Random((served + failed).clamp(0.0, 1.0))).run();
    let module = World::new(experiment, seed, Policy::Module).run();
    let span = oracle.net - random.net;
    let place = if span.abs() > f64::EPSILON { (module.net - random.net) / span } else { 1.0 };
    Run { variant: variant.to_string(), seed, module, oracle, random, place }
}

/// Runs all seeds of all variants on the threads of the current pool, and calls `on_completed` after each. The result
/// does not depend on the number of threads.
pub fn run_all(variants: &[Variant], on_completed: impl Fn() + Sync) -> Vec<Run> {
    let pairs: Vec<(&str, &Experiment, u64)> = variants
        .iter()
        .flat_map(|Variant { name, experiment }| {
            experiment.seeds.iter().map(move |seed| (name.as_str(), experiment, *seed))
        })
        .collect();
    pairs
        .into_par_iter()
        .map(|(name, experiment, seed)| {
            let run = run_seed(name, experiment, seed);
            on_completed();
            run
        })
        .collect()
}

/// The report of these runs of an experiment.
pub fn report(experiment: &Experiment, runs: Vec<Run>) -> Report {
    Report {
        experiment: experiment.name.clone(),
        ingresses: experiment.ingresses,
        nodes: experiment.nodes.count,
        seconds: experiment.duration as f64 / 1e6,
        runs,
    }
}
