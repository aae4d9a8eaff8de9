//! Sums over the records of all processes in one interval of time.

use crate::record::{NodeHealth, NodeState, Record};
use std::collections::BTreeMap;
use std::fmt;

/// At most this many causes of loss are listed for each interval, the largest first.
const SHOWN_LOSSES: usize = 5;

/// How value was lost: the requests with this outcome, reason and class.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LossCause {
    /// How the request ended: `served` (too late), `refused`, `failed` or `gone`.
    pub outcome: String,
    /// The rule that rejected or failed the request; empty if it was served.
    pub reason: String,
    /// Name of the request's class.
    pub class: String,
}

/// Number of requests and their lost value.
#[derive(Clone, Copy, Default)]
pub(crate) struct LossSum {
    pub(crate) requests: u32,
    pub(crate) value: f64,
}

/// Sums over the records of one interval.
#[derive(Default)]
pub(crate) struct Interval {
    /// Value of all requests.
    pub(crate) offered: f64,
    /// Value of the requests that were answered within their latency target.
    pub(crate) in_time: f64,
    pub(crate) losses: BTreeMap<LossCause, LossSum>,
    nodes: BTreeMap<String, NodeSums>,
    /// Calls to the counter service: all, timed out, and rejected or failed.
    counter_calls: [u32; 3],
    states: StateSums,
}

/// Sums over [`Record::State`] records, from which means are computed.
#[derive(Default)]
struct StateSums {
    records: u32,
    concurrency_limit: f64,
    in_flight: f64,
    relative_latency: f64,
    counter_interval: f64,
}

/// Attempts sent to a node, and the health that ingresses recorded for it.
#[derive(Default)]
struct NodeSums {
    attempts: u32,
    served: u32,
    timeouts: u32,
    /// Total duration of the served attempts (µs).
    duration: u64,
    /// Number of records with each state of health.
    health: BTreeMap<NodeHealth, u32>,
    /// Sum over all records of the node's relative latency.
    relative_latency: f64,
}

impl Interval {
    pub(crate) fn add(&mut self, record: Record) {
        match record {
            Record::Final { class, value, outcome, reason, latency, latency_target, .. } => {
                self.offered += value;
                if outcome == "served" && latency <= latency_target {
                    self.in_time += value;
                } else {
                    self.losses.entry(LossCause { outcome, reason, class }).or_default().add(1, value);
                }
            }
            Record::Attempt { node, outcome, duration, .. } => {
                self.nodes.entry(node).or_default().add_attempt(&outcome, duration);
            }
            Record::State {
                concurrency_limit,
                in_flight,
                relative_latency,
                counter_interval,
                counter_calls,
                nodes,
                ..
            } => {
                let sums = &mut self.states;
                sums.records += 1;
                (sums.concurrency_limit, sums.in_flight) =
                    (sums.concurrency_limit + concurrency_limit, sums.in_flight + in_flight as f64);
                (sums.relative_latency, sums.counter_interval) =
                    (sums.relative_latency + relative_latency, sums.counter_interval + counter_interval);
                self.counter_calls.iter_mut().zip(counter_calls).for_each(|(sum, new)| *sum += new);
                self.add_node_states(nodes);
            }
        }
    }

    fn add_node_states(&mut self, nodes: Vec<NodeState>) {
        for node in nodes {
            let sums = self.nodes.entry(node.name).or_default();
            *sums.health.entry(node.health).or_default() += 1;
            sums.relative_latency += node.relative_latency;
        }
    }
}

impl LossSum {
    pub(crate) fn add(&mut self, requests: u32, value: f64) {
        self.requests += requests;
        self.value += value;
    }
}

impl NodeSums {
    fn add_attempt(&mut self, outcome: &str, duration: u64) {
        self.attempts += 1;
        match outcome {
            "Ok" => {
                self.served += 1;
                self.duration += duration;
            }
            "Timeout" => self.timeouts += 1,
            _ => {}
        }
    }
}

/// The text of an interval without its start time, which the report writes.
impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_time = if self.offered > 0.0 { self.in_time / self.offered * 100.0 } else { 100.0 };
        let [calls, unanswered, failed] = self.counter_calls;
        let states = &self.states;
        writeln!(
            f,
            "in time {in_time:.1}%  {states}  calls {calls} unanswered {unanswered} failed {failed}"
        )?;
        let mut losses: Vec<_> = self.losses.iter().collect();
        losses.sort_by(|a, b| b.1.value.total_cmp(&a.1.value));
        for (LossCause { outcome, reason, class }, LossSum { requests, value }) in
            losses.into_iter().take(SHOWN_LOSSES)
        {
            let share = value / self.offered * 100.0;
            writeln!(f, "    lost {share:5.1}%  {requests:5} times  {outcome:8} {reason:10} {class}")?;
        }
        for (node, sums) in &self.nodes {
            writeln!(f, "    {node:12} {sums}")?;
        }
        Ok(())
    }
}

impl fmt::Display for StateSums {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let records = f64::from(self.records.max(1));
        write!(
            f,
            "room {:.1} out {:.1} pace {:.1} spacing {:.0} ms",
            self.concurrency_limit / records,
            self.in_flight / records,
            self.relative_latency / records,
            self.counter_interval / records / 1e3
        )
    }
}

impl fmt::Display for NodeSums {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let records: u32 = self.health.values().sum();
        let health: Vec<_> =
            self.health.iter().map(|(health, records)| format!("{health:?} {records}")).collect();
        write!(
            f,
            "attempts {:5} served {:5} timeouts {:5}  mean {:4} ms  slow {:4.1}  {}",
            self.attempts,
            self.served,
            self.timeouts,
            self.duration / u64::from(self.served.max(1)) / 1000,
            self.relative_latency / f64::from(records.max(1)),
            health.join(", ")
        )
    }
}
