//! Who asks for what, when, and through which ingress. Demand is drawn from a stream of its own, so that every
//! policy meets the same tries at the same times; what comes again is the clients' doing, and drawn apart.

use crate::account::Account;
use crate::experiment::{Arrivals, Experiment};
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use violetyoke_decision::interface::Micros;

/// Streams of chance, so that one's draws never move another's.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    Demand,
    Accounts,
    Nodes,
    Links,
    Clients,
    Faults,
    Random,
}

pub fn stream(seed: u64, stream: Stream) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(stream as u64))
}

/// A try as its client means it.
#[derive(Clone, Debug)]
pub struct Wish {
    pub account: usize,
    pub class: u16,
    pub units: f64,
    /// Work at a usual, warm node (us).
    pub work: f64,
    /// A number from 0 to 1 by which its ingress is drawn.
    pub drawn: f64,
}

pub struct Demand {
    rng: Pcg64Mcg,
    /// Running sums of the accounts' and of the classes' parts.
    accounts: Vec<f64>,
    classes: Vec<f64>,
    work: Vec<LogNormal<f64>>,
    units: Zipf<f64>,
    pub arrivals: Arrivals,
}

impl Demand {
    pub fn new(experiment: &Experiment, seed: u64) -> Demand {
        let work = experiment.classes.iter().map(|class| {
            // The mean stays what it is, whatever the spread.
            let spread = class.work_spread;
            LogNormal::new(class.work.ln() - spread * spread / 2.0, spread).expect("a checked spread")
        });
        let load = &experiment.load;
        let largest = experiment.settings.largest_request.floor().max(1.0);
        Demand {
            rng: stream(seed, Stream::Demand),
            accounts: sums(popularity(experiment)),
            classes: sums(experiment.classes.iter().map(|class| class.share)),
            work: work.collect(),
            units: Zipf::new(largest, load.unit_skew).expect("a checked exponent"),
            arrivals: load.arrivals.clone(),
        }
    }

    /// Time until the next arrival, at `factor` times the usual rate.
    pub fn pause(&mut self, factor: f64) -> Micros {
        let mean = match self.arrivals {
            Arrivals::Open { tries_per_second } => 1e6 / tries_per_second / factor.max(1e-6),
            Arrivals::Closed { think, .. } => think as f64 / factor.max(1e-6),
        };
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as Micros
    }

    pub fn wish(&mut self) -> Wish {
        let account = pick(&self.accounts, self.rng.random());
        let class = pick(&self.classes, self.rng.random());
        let units = self.units.sample(&mut self.rng).max(1.0);
        let work = self.work[class].sample(&mut self.rng);
        Wish { account, class: class as u16, units, work, drawn: self.rng.random() }
    }

    /// Demand moves on: each account asks as another did.
    pub fn shift(&mut self) {
        let mut parts: Vec<f64> = self.accounts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        parts.insert(0, self.accounts[0]);
        let by = self.rng.random_range(0..parts.len());
        parts.rotate_left(by);
        self.accounts = sums(parts.into_iter());
    }
}

fn popularity(experiment: &Experiment) -> impl Iterator<Item = f64> {
    let skew = experiment.clients.skew;
    (1..=experiment.clients.accounts).map(move |rank| (rank as f64).powf(-skew))
}

/// Running sums, scaled to end at 1.
pub fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
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

pub fn pick(sums: &[f64], drawn: f64) -> usize {
    sums.partition_point(|sum| *sum < drawn).min(sums.len() - 1)
}

/// The accounts, each with its plan, its set and how its tries fall on that.
pub fn accounts(experiment: &Experiment, seed: u64) -> Vec<Account> {
    let mut rng = stream(seed, Stream::Accounts);
    let plans = sums(experiment.plans.iter().map(|plan| plan.share));
    let ingresses = experiment.ingresses as u16;
    let slack = experiment.settings.counter.map_or(0.0, |_| 150.0);
    let most = experiment.clients.spread.min(ingresses);
    (0..experiment.clients.accounts)
        .map(|_| {
            let plan = pick(&plans, rng.random());
            let spread = rng.random_range(1..=most);
            let first = rng.random_range(0..ingresses);
            let parts = parts(spread, experiment.clients.uneven, &mut rng);
            Account::new(plan as u16, &experiment.plans[plan].plan, slack, spread, first, parts)
        })
        .collect()
}

/// How an account's tries fall on its set.
pub fn parts(spread: u16, uneven: f64, rng: &mut impl Rng) -> Vec<f64> {
    let part = |_| {
        let drawn: f64 = Exp1.sample(rng);
        drawn.max(1e-3).powf(uneven)
    };
    sums((0..spread).map(part).collect::<Vec<_>>().into_iter())
}
