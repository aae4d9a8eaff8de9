//! The outcome of a run: the value of served and lost tries by reason, and the costs. Field names are the keys of the
//! JSON report, in which `worth` is the value of tries.

use crate::rule_checker::Violations;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use violetyoke_decision::interface::{Micros, RejectionReason};

/// Longer response times are recorded as this: ten minutes.
const MAX_RESPONSE_TIME: Micros = 600_000_000;
/// Service has recovered when it reaches this share of its level before the first fault.
const RECOVERED: f64 = 0.95;
/// Length of the window, in seconds, over which recovered service is measured.
const RECOVERY_WINDOW: usize = 3;

/// Tries and their value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Amount {
    /// The number of tries.
    pub tries: u64,
    /// Their total value.
    pub worth: f64,
}

impl Amount {
    /// Adds a try.
    pub fn add(&mut self, worth: f64) {
        self.tries += 1;
        self.worth += worth;
    }
}

/// Tries lost for one reason, and for which of them capacity was available at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Loss {
    /// All of these tries.
    pub all: Amount,
    /// Those whose account's quota held their units.
    pub quota_had_room: Amount,
    /// Those whose account's quota was half unused.
    pub quota_half_unused: Amount,
    /// Those for which a node past its slow start had an idle worker.
    pub fleet_had_room: Amount,
}

/// Calls to the counter by purpose and result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Calls {
    /// Those that add units, to decide on a try.
    pub decide: u64,
    /// Those that give units back.
    pub give_back: u64,
    /// Those that only read a total.
    pub read: u64,
    /// Those refused by a full queue.
    pub turned_away: u64,
    /// Those never answered.
    pub lost: u64,
    /// Those answered after the time-out.
    pub late: u64,
    /// Those whose total led to another decision than the state known before.
    pub changed: u64,
}

/// The outcome of a run, without its warm-up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// All requests.
    pub asked: Amount,
    /// Those served within their latency target.
    pub served: Amount,
    /// Those served later.
    pub served_late: Amount,
    /// Those asked and those served, by class.
    pub by_class: BTreeMap<String, (Amount, Amount)>,
    /// Those refused, by the decision module's reason.
    pub refused: BTreeMap<String, Loss>,
    /// Those failed, by the decision module's reason; `NoAnswer`: no ingress has answered.
    pub failed: BTreeMap<String, Loss>,
    /// Units of tries that were forwarded to nodes.
    pub units: f64,
    /// Those of them that were beyond quotas.
    pub beyond_units: f64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts by how they ended, as the decision module knows it.
    pub ends: BTreeMap<String, u64>,
    /// Time that workers worked, in microseconds.
    pub work: f64,
    /// The part of `work` for cancelled attempts.
    pub useless_work: f64,
    /// Handshakes of new connections.
    pub handshakes: u64,
    /// Idle and busy connections of an ingress, mean over the seconds of the run.
    pub connections: f64,
    /// Calls to the counter.
    pub calls: Calls,
    /// Messages sent between ingresses.
    pub messages: u64,
    /// Those dropped by a receiver that accepts no more.
    pub messages_dropped: u64,
    /// Changes of lists that ingresses have received.
    pub lists: u64,
    /// Unserved requests whose clients learned it after half of their deadline.
    pub late_fails: u64,
    /// Nodes that fell over during their slow start.
    pub falls: u64,
    /// Costs by kind, which are subtracted from the value served.
    pub prices: BTreeMap<String, f64>,
    /// Value served minus all costs.
    pub net: f64,
    /// Value requested and value served, by second of the run.
    pub seconds: Vec<(f64, f64)>,
    /// Seconds from the end of the last fault until service has recovered to its level before the first fault; `None`
    /// if it did not recover in this run.
    pub recovered_after: Option<f64>,
    /// Served share of an ingress's tries: 10th, 50th and 90th percentile over the ingresses.
    pub spread: [f64; 3],
    /// Share of its workers' time that a node has worked, with the warm-up: the same percentiles over the nodes.
    pub node_load: [f64; 3],
    /// Response times of what was served, in milliseconds: 50th, 90th and 99th percentile.
    pub answer_ms: [f64; 3],
    /// Violated rules.
    #[serde(rename = "broken")]
    pub violations: Violations,
    /// Defects that decision modules have reported of themselves.
    pub defects: u64,
    /// Emulated events, with those of the warm-up.
    pub events: u64,
}

/// What is recorded during a run and summarized in its outcome.
pub(crate) struct Gauges {
    response_times: Histogram<u64>,
    /// By ingress.
    pub(crate) ingresses: Vec<IngressTries>,
    /// Sum of the samples of connections, and how many there are.
    connections: f64,
    connection_samples: u64,
}

/// Tries of an ingress.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IngressTries {
    pub(crate) all: u64,
    pub(crate) served: u64,
}

impl Gauges {
    #[expect(clippy::expect_used, reason = "the bounds are constants that a histogram can have")]
    pub(crate) fn new(ingresses: usize) -> Gauges {
        Gauges {
            response_times: Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, 3).expect("constant bounds"),
            ingresses: vec![IngressTries::default(); ingresses],
            connections: 0.0,
            connection_samples: 0,
        }
    }

    pub(crate) fn record_response(&mut self, after: Micros) {
        self.response_times.saturating_record(after.max(1));
    }

    /// Records the connections of an ingress, as a mean over the fleet.
    pub(crate) fn record_connections(&mut self, connections: f64) {
        self.connections += connections;
        self.connection_samples += 1;
    }

    /// Writes the summary into the outcome.
    pub(crate) fn summarize(&self, outcome: &mut Outcome) {
        let ms = |quantile| self.response_times.value_at_quantile(quantile) as f64 / 1e3;
        outcome.answer_ms =
            if self.response_times.is_empty() { [0.0; 3] } else { [ms(0.5), ms(0.9), ms(0.99)] };
        let ingresses = self.ingresses.iter().filter(|tries| tries.all > 0);
        outcome.spread = percentiles(ingresses.map(|tries| tries.served as f64 / tries.all as f64).collect());
        outcome.connections = self.connections / self.connection_samples.max(1) as f64;
    }
}

/// The 10th, 50th and 90th percentile; 0 of nothing.
pub(crate) fn percentiles(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [0.1, 0.5, 0.9].map(|part| figures.get((part * figures.len() as f64) as usize).copied().unwrap_or(0.0))
}

/// The name of a reason in tables.
pub(crate) fn reason_name(why: Option<RejectionReason>) -> String {
    why.map_or("Undecided".into(), |why| format!("{why:?}"))
}

/// Shares of the requests by how they ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Served, also late.
    pub served: f64,
    /// Refused.
    pub refused: f64,
    /// Failed.
    pub failed: f64,
}

impl Outcome {
    /// The net value, as a share of the value requested.
    pub fn net_share(&self) -> f64 {
        self.net / self.asked.worth.max(f64::MIN_POSITIVE)
    }

    /// The value served, as a share of the value requested.
    pub fn served_share(&self) -> f64 {
        self.served.worth / self.asked.worth.max(f64::MIN_POSITIVE)
    }

    /// The shares of the requests that were served, refused and failed.
    pub fn shares(&self) -> Shares {
        let all = self.asked.tries.max(1) as f64;
        let sum = |losses: &BTreeMap<String, Loss>| losses.values().map(|loss| loss.all.tries).sum::<u64>();
        let served = self.served.tries + self.served_late.tries;
        Shares {
            served: served as f64 / all,
            refused: sum(&self.refused) as f64 / all,
            failed: sum(&self.failed) as f64 / all,
        }
    }

    /// Computes the net value.
    pub(crate) fn settle(&mut self) {
        self.net = self.served.worth + self.served_late.worth - self.prices.values().sum::<f64>();
    }

    /// Computes the time from the end of the last fault (second `until`) to the first window whose served share has
    /// recovered to that before the first fault (second `from`).
    pub(crate) fn find_recovery(&mut self, from: usize, until: usize) {
        let share = |seconds: &[(f64, f64)]| {
            let (asked, served) =
                seconds.iter().fold((0.0, 0.0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
            if asked > 0.0 {
                served / asked
            } else {
                0.0
            }
        };
        let before = share(&self.seconds[..from.min(self.seconds.len())]);
        let after = self.seconds.get(until.min(self.seconds.len())..).unwrap_or_default();
        let recovered = after.windows(RECOVERY_WINDOW).position(|window| share(window) >= RECOVERED * before);
        self.recovered_after = recovered.map(|second| second as f64);
    }
}
