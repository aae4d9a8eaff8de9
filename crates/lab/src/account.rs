//! What an account has really used, over all ingresses together: the measure that every decision is held against.

use violetyoke_decision::interface::{Micros, Plan};

/// A bucket that is full at first and refills at a rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    size: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    pub fn full(rate: f64, size: f64, at: Micros) -> Bucket {
        Bucket { rate, size, level: size, at }
    }

    fn refill(&mut self, now: Micros) {
        let since = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + since * self.rate).min(self.size);
        self.at = now;
    }

    pub fn has(&mut self, now: Micros, units: f64) -> bool {
        self.refill(now);
        self.level + 1e-9 >= units
    }

    /// Takes units, and tells how many of them were beyond what there was.
    pub fn take(&mut self, now: Micros, units: f64) -> f64 {
        self.refill(now);
        let beyond = (units - self.level).max(0.0);
        self.level = (self.level - units).max(0.0);
        if beyond < 1e-9 {
            0.0
        } else {
            beyond
        }
    }
}

/// One account: its plan, its set of ingresses, and its true use.
#[derive(Clone, Debug)]
pub struct Account {
    pub plan: u16,
    /// The set: this many ingresses in a row, from that one on.
    pub spread: u16,
    pub first: u16,
    /// Running sums of the parts of its tries that each ingress of its set gets.
    pub parts: Vec<f64>,
    /// None: no quota.
    pub quota: Option<Bucket>,
    pub ceiling: Option<Bucket>,
    /// The quota as an oracle spends it, at the moment it decides.
    pub oracle: Option<Bucket>,
}

impl Account {
    pub fn new(
        plan_number: u16,
        plan: &Plan,
        slack_ms: f64,
        spread: u16,
        first: u16,
        parts: Vec<f64>,
    ) -> Account {
        let at = crate::START;
        let quota = (plan.rate > 0.0).then(|| Bucket::full(plan.rate, plan.burst, at));
        let ceiling = (plan.ceiling_rate > 0.0).then(|| {
            let slack = plan.ceiling_slack + plan.ceiling_rate * slack_ms / 1e3;
            Bucket::full(plan.ceiling_rate, plan.ceiling_burst + slack, at)
        });
        Account { plan: plan_number, spread, first, parts, quota, ceiling, oracle: quota }
    }

    /// The ingress for a try, by a number drawn from 0 to 1.
    pub fn ingress(&self, drawn: f64, ingresses: usize) -> usize {
        let place = self.parts.partition_point(|sum| *sum < drawn).min(self.parts.len() - 1);
        (usize::from(self.first) + place) % ingresses
    }
}
