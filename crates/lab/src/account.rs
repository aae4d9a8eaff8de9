//! The actual usage of accounts over all ingresses, against which decisions are checked. No ingress knows it.

use violetyoke_decision::interface::{Micros, Plan};

/// Tolerance for floating-point rounding, in units.
const ROUNDING: f64 = 1e-9;

/// A token bucket that is full at first.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Units a second.
    rate: f64,
    capacity: f64,
    /// Units at the time of the last refill.
    level: f64,
    refilled_at: Micros,
}

impl Bucket {
    /// A full bucket of `capacity` units that refills at `rate` units a second.
    pub fn full(rate: f64, capacity: f64, now: Micros) -> Bucket {
        Bucket { rate, capacity, level: capacity, refilled_at: now }
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.level = (self.level + seconds * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether it holds this many units now.
    pub fn has(&mut self, now: Micros, units: f64) -> bool {
        self.refill(now);
        self.level + ROUNDING >= units
    }

    /// Takes units, and returns how many of them it did not hold.
    pub fn take(&mut self, now: Micros, units: f64) -> f64 {
        self.refill(now);
        let beyond = (units - self.level).max(0.0);
        self.level = (self.level - units).max(0.0);
        if beyond < ROUNDING {
            0.0
        } else {
            beyond
        }
    }
}

/// An account: its plan, its set of ingresses, and its true use.
#[derive(Clone, Debug)]
pub struct Account {
    /// The number of its plan.
    pub plan: u16,
    /// The ingresses that its tries go to.
    pub set: IngressSet,
    /// The quota; `None`: unlimited.
    pub quota: Option<Bucket>,
    /// The hard limit; `None`: unlimited.
    pub ceiling: Option<Bucket>,
    /// The quota as charged by the oracle, at the time of its decision.
    pub oracle: Option<Bucket>,
}

/// Consecutive ingresses (wrapping around to the first), and the distribution of tries over them.
#[derive(Clone, Debug)]
pub struct IngressSet {
    /// The number of the first one.
    pub first: u16,
    /// How many there are.
    pub spread: u16,
    /// Running sums of the shares of tries that each gets; the last is 1.
    pub parts: Vec<f64>,
}

impl IngressSet {
    /// The ingress of a try, by a random number from 0 to 1; `ingresses` is the size of the fleet.
    pub fn ingress(&self, random: f64, ingresses: usize) -> usize {
        let place = self.parts.partition_point(|sum| *sum < random).min(self.parts.len() - 1);
        (usize::from(self.first) + place) % ingresses
    }
}

impl Account {
    /// An account whose buckets are full. The hard limit gets the slack of its plan, and the units of `slack_ms`,
    /// because the totals that ingresses know may be that old.
    pub fn new(plan_number: u16, plan: &Plan, slack_ms: f64, set: IngressSet) -> Account {
        let now = crate::START;
        let quota = (plan.rate > 0.0).then(|| Bucket::full(plan.rate, plan.burst, now));
        let ceiling = (plan.hard_limit_rate > 0.0).then(|| {
            let slack = plan.hard_limit_slack + plan.hard_limit_rate * slack_ms / 1e3;
            Bucket::full(plan.hard_limit_rate, plan.hard_limit_burst + slack, now)
        });
        Account { plan: plan_number, set, quota, ceiling, oracle: quota }
    }
}
