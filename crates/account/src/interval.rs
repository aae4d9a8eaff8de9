//! Sums over the records of one interval of time, of all processes.

use crate::record::{Belief, NodeState, Record};
use std::collections::BTreeMap;
use std::fmt;

/// Lines of an interval that name causes of loss; the largest are shown.
const SHOWN_LOSSES: usize = 5;

/// A way in which value is lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LossCause {
    /// How the request ended: `served` (too late), `refused`, `failed` or `gone`.
    pub end: String,
    /// The rule that rejected or failed it; empty where it was served.
    pub why: String,
    /// Name of its class.
    pub class: String,
}

/// Requests, and the value that was lost with them.
#[derive(Clone, Copy, Default)]
pub(crate) struct LossSum {
    pub(crate) requests: u32,
    pub(crate) worth: f64,
}

/// Sums of one interval.
#[derive(Default)]
pub(crate) struct Interval {
    /// Value of all requests, and of those that were answered within their latency target.
    pub(crate) offered: f64,
    pub(crate) in_time: f64,
    pub(crate) losses: BTreeMap<LossCause, LossSum>,
    nodes: BTreeMap<String, NodeSums>,
    calls: [u32; 3],
    states: StateSums,
}

/// Sums over records of state, for means.
#[derive(Default)]
struct StateSums {
    records: u32,
    room: f64,
    out: f64,
    pace: f64,
    spacing: f64,
}

/// Attempts at a node, and what was believed of it.
#[derive(Default)]
struct NodeSums {
    attempts: u32,
    served: u32,
    timeouts: u32,
    /// Microseconds, of the attempts that were served.
    waited: u64,
    beliefs: BTreeMap<Belief, u32>,
    slow: f64,
}

impl Interval {
    pub(crate) fn add(&mut self, record: Record) {
        match record {
            Record::Final { class, worth, end, why, age, aim, .. } => {
                self.offered += worth;
                if end == "served" && age <= aim {
                    self.in_time += worth;
                } else {
                    self.losses.entry(LossCause { end, why, class }).or_default().add(1, worth);
                }
            }
            Record::Attempt { node, outcome, waited, .. } => {
                self.nodes.entry(node).or_default().add_attempt(&outcome, waited);
            }
            Record::State { room, out, pace, spacing, calls, nodes, .. } => {
                let sums = &mut self.states;
                sums.records += 1;
                (sums.room, sums.out) = (sums.room + room, sums.out + out as f64);
                (sums.pace, sums.spacing) = (sums.pace + pace, sums.spacing + spacing);
                self.calls.iter_mut().zip(calls).for_each(|(all, new)| *all += new);
                self.add_node_states(nodes);
            }
        }
    }

    fn add_node_states(&mut self, nodes: Vec<NodeState>) {
        for node in nodes {
            let sums = self.nodes.entry(node.node).or_default();
            *sums.beliefs.entry(node.belief).or_default() += 1;
            sums.slow += node.slow;
        }
    }
}

impl LossSum {
    pub(crate) fn add(&mut self, requests: u32, worth: f64) {
        self.requests += requests;
        self.worth += worth;
    }
}

impl NodeSums {
    fn add_attempt(&mut self, outcome: &str, waited: u64) {
        self.attempts += 1;
        match outcome {
            "Ok" => {
                self.served += 1;
                self.waited += waited;
            }
            "Timeout" => self.timeouts += 1,
            _ => {}
        }
    }
}

/// Everything but the time at which the interval begins, which the report knows.
impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_time = if self.offered > 0.0 { self.in_time / self.offered * 100.0 } else { 100.0 };
        let [calls, unanswered, failed] = self.calls;
        let states = &self.states;
        writeln!(
            f,
            "in time {in_time:.1}%  {states}  calls {calls} unanswered {unanswered} failed {failed}"
        )?;
        let mut losses: Vec<_> = self.losses.iter().collect();
        losses.sort_by(|a, b| b.1.worth.total_cmp(&a.1.worth));
        for (LossCause { end, why, class }, LossSum { requests, worth }) in
            losses.into_iter().take(SHOWN_LOSSES)
        {
            let share = worth / self.offered * 100.0;
            writeln!(f, "    lost {share:5.1}%  {requests:5} times  {end:8} {why:10} {class}")?;
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
            self.room / records,
            self.out / records,
            self.pace / records,
            self.spacing / records / 1e3
        )
    }
}

impl fmt::Display for NodeSums {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let states: u32 = self.beliefs.values().sum();
        let beliefs: Vec<_> =
            self.beliefs.iter().map(|(belief, times)| format!("{belief:?} {times}")).collect();
        write!(
            f,
            "attempts {:5} served {:5} timeouts {:5}  mean {:4} ms  slow {:4.1}  {}",
            self.attempts,
            self.served,
            self.timeouts,
            self.waited / u64::from(self.served.max(1)) / 1000,
            self.slow / f64::from(states.max(1)),
            beliefs.join(", ")
        )
    }
}
