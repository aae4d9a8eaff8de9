//! What a run has come to: worth served and lost, by reason, and what it has cost.

use crate::rule_checker::Violations;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use violetyoke_decision::interface::Why;

/// Tries and their worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Amount {
    pub tries: u64,
    pub worth: f64,
}

impl Amount {
    pub fn add(&mut self, worth: f64) {
        self.tries += 1;
        self.worth += worth;
    }
}

/// Tries given up for one reason, and what there was room for at that instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Loss {
    pub all: Amount,
    /// The account's quota held its units, and half of the quota was there.
    pub quota_had_room: Amount,
    pub quota_half_unused: Amount,
    /// A worker stood idle at a warm node.
    pub fleet_had_room: Amount,
}

/// Calls to the counter by what they are for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Calls {
    /// Units added, given back, and only a total read.
    pub decide: u64,
    pub give_back: u64,
    pub read: u64,
    /// Turned away by a full line, never answered, and answered after the time-out.
    pub turned_away: u64,
    pub lost: u64,
    pub late: u64,
    /// Calls whose total decided otherwise than what was known before would have.
    pub changed: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    pub asked: Amount,
    pub served: Amount,
    pub served_late: Amount,
    pub by_class: BTreeMap<String, (Amount, Amount)>,
    /// Refused and failed, by the module's own reason; `Dead`: no ingress has answered.
    pub refused: BTreeMap<String, Loss>,
    pub failed: BTreeMap<String, Loss>,
    /// Units sent on, and those of them that were beyond quotas.
    pub units: f64,
    pub beyond_units: f64,
    pub attempts: u64,
    /// Attempts by how they ended, as the module hears of it.
    pub ends: BTreeMap<String, u64>,
    /// Worker time (us) in all, and of that for attempts nobody waited for.
    pub work: f64,
    pub useless_work: f64,
    pub handshakes: u64,
    /// Idle and busy connections, the mean over the run's seconds and an ingress.
    pub connections: f64,
    pub calls: Calls,
    pub messages: u64,
    pub messages_dropped: u64,
    pub lists: u64,
    pub late_fails: u64,
    pub falls: u64,
    /// What each of these took off the worth served.
    pub prices: BTreeMap<String, f64>,
    /// Worth served less all prices, and the same as a part of the worth asked.
    pub net: f64,
    /// Share of worth served by second of the run.
    pub seconds: Vec<(f64, f64)>,
    /// Seconds from the last fault's end until service is what it was before the first; none: not in this run.
    pub recovered_after: Option<f64>,
    /// Served share of an ingress's own tries: a tenth of them, half of them, nine tenths are below.
    pub spread: [f64; 3],
    /// The same of nodes: the part of its workers' time that a node has worked, from the run's start on.
    pub node_load: [f64; 3],
    /// Answer times of what was served (ms): half, nine tenths, 99 of 100.
    pub answer_ms: [f64; 3],
    /// Violated rules.
    #[serde(rename = "broken")]
    pub violations: Violations,
    pub defects: u64,
    pub events: u64,
}

/// What only the run itself needs.
pub struct Gauges {
    pub answers: Histogram<u64>,
    /// Tries and tries served, of each ingress.
    pub ingresses: Vec<(u64, u64)>,
    pub connections: (f64, u64),
}

impl Gauges {
    pub fn new(ingresses: usize) -> Gauges {
        Gauges {
            answers: Histogram::new_with_bounds(1, 600_000_000, 3).expect("good bounds"),
            ingresses: vec![(0, 0); ingresses],
            connections: (0.0, 0),
        }
    }

    pub fn answered(&mut self, after: u64) {
        self.answers.saturating_record(after.max(1));
    }

    pub fn read(&self, outcome: &mut Outcome) {
        let at = |part| self.answers.value_at_quantile(part) as f64 / 1e3;
        outcome.answer_ms = if self.answers.is_empty() { [0.0; 3] } else { [at(0.5), at(0.9), at(0.99)] };
        let shares = self.ingresses.iter().filter(|(all, _)| *all > 0);
        outcome.spread = tenths(shares.map(|(all, served)| *served as f64 / *all as f64).collect());
        outcome.connections = self.connections.0 / self.connections.1.max(1) as f64;
    }
}

/// Below which a tenth, half and nine tenths of some figures are.
pub fn tenths(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [0.1, 0.5, 0.9].map(|part| figures.get((part * figures.len() as f64) as usize).copied().unwrap_or(0.0))
}

/// The name of a reason, as tables have it.
pub fn reason(why: Option<Why>) -> String {
    why.map_or("Undecided".into(), |why| format!("{why:?}"))
}

impl Outcome {
    pub fn share(&self) -> f64 {
        self.net / self.asked.worth.max(f64::MIN_POSITIVE)
    }

    pub fn served_share(&self) -> f64 {
        self.served.worth / self.asked.worth.max(f64::MIN_POSITIVE)
    }

    /// Parts of the tries that were served, refused and failed.
    pub fn parts(&self) -> [f64; 3] {
        let all = self.asked.tries.max(1) as f64;
        let sum = |losses: &BTreeMap<String, Loss>| losses.values().map(|loss| loss.all.tries).sum::<u64>();
        let served = self.served.tries + self.served_late.tries;
        [served as f64 / all, sum(&self.refused) as f64 / all, sum(&self.failed) as f64 / all]
    }

    /// Puts the prices together.
    pub fn settle(&mut self) {
        self.net = self.served.worth + self.served_late.worth - self.prices.values().sum::<f64>();
    }

    /// The time after `until` from which three seconds together are served as well as all before `from`.
    pub fn recover(&mut self, from: usize, until: usize) {
        let share = |span: &[(f64, f64)]| {
            let (asked, served) = span.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            if asked > 0.0 {
                served / asked
            } else {
                0.0
            }
        };
        let before = share(&self.seconds[..from.min(self.seconds.len())]);
        let after = self.seconds.get(until.min(self.seconds.len())..).unwrap_or_default();
        let again = after.windows(3).position(|span| share(span) >= 0.95 * before);
        self.recovered_after = again.map(|second| second as f64);
    }
}
