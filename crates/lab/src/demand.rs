//! Requests: account, class, size, arrival time and ingress. Demand has its own stream of random numbers, so that every
//! policy receives the same requests at the same times; retries depend on the policy and use another stream.

use crate::account::{Account, IngressSet};
use crate::experiment::{Arrivals, Experiment};
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use violetyoke_decision::interface::Micros;

/// Maximum age of the counter totals on which ingresses decide.
const COUNTER_SLACK_MS: f64 = 150.0;

/// Independent streams of random numbers. The order of the variants determines the seeds, so it must not change.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals and what they ask for.
    Demand,
    /// Plans and sets of accounts.
    Accounts,
    /// Speeds of nodes and what happens on them.
    Nodes,
    /// Delays and losses.
    Links,
    /// Retries.
    Clients,
    /// Victims and intervals of faults.
    Faults,
    /// The random policy, and resamples of comparisons.
    Random,
}

/// The stream of a seed.
pub fn stream(seed: u64, stream: Stream) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(stream as u64))
}

/// A request before its client sends it to an ingress.
#[derive(Clone, Debug)]
pub struct Demanded {
    /// The number of the account.
    pub account: usize,
    /// The number of the class.
    pub class: u16,
    /// How many units it costs.
    pub units: f64,
    /// Time of a worker of a node of mean speed after its slow start, in microseconds.
    pub work: f64,
    /// A random number from 0 to 1 by which its ingress is chosen.
    pub ingress_draw: f64,
}

/// Draws arrivals.
pub struct Demand {
    rng: Pcg64Mcg,
    /// Running sums of the accounts' shares.
    accounts: Vec<f64>,
    /// Running sums of the classes' shares.
    classes: Vec<f64>,
    work: Vec<LogNormal<f64>>,
    units: Zipf<f64>,
    /// When tries arrive.
    pub arrivals: Arrivals,
}

impl Demand {
    /// The demand of an experiment under a seed.
    ///
    /// # Panics
    /// When the experiment has not been checked by [`parse`](crate::experiment::parse).
    pub fn new(experiment: &Experiment, seed: u64) -> Demand {
        let work = experiment.classes.iter().map(|class| {
            // The mean doesn't depend on the spread.
            let spread = class.work_spread;
            LogNormal::new(class.mean_work.ln() - spread * spread / 2.0, spread).expect("a checked spread")
        });
        let load = &experiment.load;
        let largest = experiment.settings.max_request_units.floor().max(1.0);
        Demand {
            rng: stream(seed, Stream::Demand),
            accounts: cumulative(popularity(experiment)),
            classes: cumulative(experiment.classes.iter().map(|class| class.share)),
            work: work.collect(),
            units: Zipf::new(largest, load.unit_skew).expect("a checked exponent"),
            arrivals: load.arrivals.clone(),
        }
    }

    /// The time until the next arrival, at this multiple of the configured rate.
    pub fn next_arrival(&mut self, factor: f64) -> Micros {
        let mean = match self.arrivals {
            Arrivals::Open { tries_per_second } => 1e6 / tries_per_second / factor.max(1e-6),
            Arrivals::Closed { think, .. } => think as f64 / factor.max(1e-6),
        };
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as Micros
    }

    /// Draws what the next arrival asks for.
    pub fn next_request(&mut self) -> Demanded {
        let account = pick(&self.accounts, self.rng.random());
        let class = pick(&self.classes, self.rng.random());
        let units = self.units.sample(&mut self.rng).max(1.0);
        let work = self.work[class].sample(&mut self.rng);
        Demanded { account, class: class as u16, units, work, ingress_draw: self.rng.random() }
    }

    /// Demand moves: each account's share becomes that of another one.
    pub fn shift(&mut self) {
        let mut shares: Vec<f64> = self.accounts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        shares.insert(0, self.accounts[0]);
        let offset = self.rng.random_range(0..shares.len());
        shares.rotate_left(offset);
        self.accounts = cumulative(shares.into_iter());
    }
}

fn popularity(experiment: &Experiment) -> impl Iterator<Item = f64> {
    let skew = experiment.clients.skew;
    (1..=experiment.clients.accounts).map(move |rank| (rank as f64).powf(-skew))
}

/// Running sums, scaled to end at 1.
fn cumulative(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect();
    sums.iter_mut().for_each(|value| *value /= sum.max(f64::MIN_POSITIVE));
    sums
}

/// The place that a random number from 0 to 1 falls on.
fn pick(sums: &[f64], random: f64) -> usize {
    sums.partition_point(|sum| *sum < random).min(sums.len() - 1)
}

/// Draws the accounts of an experiment.
pub fn accounts(experiment: &Experiment, seed: u64) -> Vec<Account> {
    let mut rng = stream(seed, Stream::Accounts);
    let plans = cumulative(experiment.plans.iter().map(|plan| plan.share));
    let ingresses = experiment.ingresses as u16;
    let slack_ms = experiment.settings.counter.map_or(0.0, |_| COUNTER_SLACK_MS);
    let most = experiment.clients.spread.min(ingresses);
    (0..experiment.clients.accounts)
        .map(|_| {
            let plan = pick(&plans, rng.random());
            let spread = rng.random_range(1..=most);
            let first = rng.random_range(0..ingresses);
            let parts = set_parts(spread, experiment.clients.part_skew, &mut rng);
            let set = IngressSet { first, spread, parts };
            Account::new(plan as u16, &experiment.plans[plan].plan, slack_ms, set)
        })
        .collect()
}

/// Draws how an account's tries fall on a set of this size.
pub(crate) fn set_parts(spread: u16, skew: f64, rng: &mut impl Rng) -> Vec<f64> {
    let part = |_| {
        let drawn: f64 = Exp1.sample(rng);
        drawn.max(1e-3).powf(skew)
    };
    cumulative((0..spread).map(part).collect::<Vec<_>>().into_iter())
}
