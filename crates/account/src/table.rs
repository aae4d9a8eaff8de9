//! The table made of a tier's records: what was lost, by which rule, where and when.

use crate::{Belief, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One way in which worth is lost: how it ended, by which rule, in which class.
type Loss = (String, String, String);

/// A span of time over all processes.
#[derive(Default)]
struct Span {
    /// Worth asked for, and answered in time.
    offered: f64,
    in_time: f64,
    lost: BTreeMap<Loss, (u32, f64)>,
    nodes: BTreeMap<String, Work>,
    calls: [u32; 3],
    /// Sums over the records of state, for means.
    states: u32,
    room: f64,
    out: f64,
    pace: f64,
    spacing: f64,
}

/// What a node was given, and what came of it.
#[derive(Default)]
struct Work {
    attempts: u32,
    served: u32,
    timeouts: u32,
    waited: u64,
    beliefs: BTreeMap<Belief, u32>,
    slow: f64,
}

/// Records of a whole tier, gathered by spans of time.
pub struct Table {
    span: u64,
    spans: BTreeMap<u64, Span>,
    first: u64,
    processes: BTreeSet<u32>,
    /// Records that could not be read: a log may be cut off in the middle of one.
    pub unread: u32,
}

impl Table {
    /// Gathers by spans of so many microseconds.
    pub fn new(span: u64) -> Table {
        let (spans, processes) = (BTreeMap::new(), BTreeSet::new());
        Table { span: span.max(1), spans, first: u64::MAX, processes, unread: 0 }
    }

    /// Takes each record of a log; returns how many there were.
    pub fn read(&mut self, log: &str) -> usize {
        let mut read = 0;
        for record in log.lines().filter_map(Record::read) {
            match record {
                Ok(record) => self.add(record),
                Err(_) => self.unread += 1,
            }
            read += 1;
        }
        read
    }

    pub fn add(&mut self, record: Record) {
        self.first = self.first.min(record.at());
        let span = self.spans.entry(record.at() / self.span).or_default();
        match record {
            Record::Final { process, class, worth, end, why, age, aim, .. } => {
                self.processes.insert(process);
                span.offered += worth;
                if end == "served" && age <= aim {
                    span.in_time += worth;
                } else {
                    let (number, lost) = span.lost.entry((end, why, class)).or_default();
                    (*number, *lost) = (*number + 1, *lost + worth);
                }
            }
            Record::Attempt { node, outcome, waited, .. } => {
                let work = span.nodes.entry(node).or_default();
                work.attempts += 1;
                work.served += u32::from(outcome == "Ok");
                work.timeouts += u32::from(outcome == "Timeout");
                work.waited += if outcome == "Ok" { waited } else { 0 };
            }
            Record::State { room, out, pace, spacing, calls, nodes, .. } => {
                span.states += 1;
                (span.room, span.out) = (span.room + room, span.out + out as f64);
                (span.pace, span.spacing) = (span.pace + pace, span.spacing + spacing);
                span.calls.iter_mut().zip(calls).for_each(|(all, new)| *all += new);
                for node in nodes {
                    let work = span.nodes.entry(node.node).or_default();
                    *work.beliefs.entry(node.belief).or_default() += 1;
                    work.slow += node.slow;
                }
            }
        }
    }

    /// Worth asked for, answered in time, and lost in each way, the largest first: (how, how often, worth).
    pub fn losses(&self) -> (f64, f64, Vec<(Loss, u32, f64)>) {
        let (mut offered, mut in_time) = (0.0, 0.0);
        let mut lost: BTreeMap<&Loss, (u32, f64)> = BTreeMap::new();
        for span in self.spans.values() {
            (offered, in_time) = (offered + span.offered, in_time + span.in_time);
            for (loss, (number, worth)) in &span.lost {
                let all = lost.entry(loss).or_default();
                (all.0, all.1) = (all.0 + number, all.1 + worth);
            }
        }
        let mut lost: Vec<_> =
            lost.into_iter().map(|(loss, (number, worth))| (loss.clone(), number, worth)).collect();
        lost.sort_by(|a, b| b.2.total_cmp(&a.2));
        (offered, in_time, lost)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let (offered, in_time, lost) = self.losses();
        let part = |worth: f64| if offered > 0.0 { worth / offered * 100.0 } else { 0.0 };
        writeln!(out, "processes={} unread={}", self.processes.len(), self.unread)?;
        writeln!(out, "worth asked for {offered:.0}, in time {:.1}%; lost:", part(in_time))?;
        for ((end, why, class), number, worth) in &lost {
            writeln!(out, "  {:5.1}%  {number:6} times  {end:8} {why:10} {class}", part(*worth))?;
        }
        for (at, span) in &self.spans {
            let from = (at * self.span).saturating_sub(self.first) as f64 / 1e6;
            let states = f64::from(span.states.max(1));
            let share = if span.offered > 0.0 { span.in_time / span.offered * 100.0 } else { 100.0 };
            writeln!(
                out,
                "from {from:.1} s: in time {share:.1}%  room {:.1} out {:.1} pace {:.1} spacing {:.0} ms  calls {} unanswered {} failed {}",
                span.room / states, span.out / states, span.pace / states, span.spacing / states / 1e3,
                span.calls[0], span.calls[1], span.calls[2]
            )?;
            let mut lost: Vec<_> = span.lost.iter().collect();
            lost.sort_by(|a, b| b.1 .1.total_cmp(&a.1 .1));
            for ((end, why, class), (number, worth)) in lost.into_iter().take(5) {
                let share = worth / span.offered * 100.0;
                writeln!(out, "    lost {share:5.1}%  {number:5} times  {end:8} {why:10} {class}")?;
            }
            for (node, work) in &span.nodes {
                let believed: Vec<_> =
                    work.beliefs.iter().map(|(belief, times)| format!("{belief:?} {times}")).collect();
                let seen: u32 = work.beliefs.values().sum();
                writeln!(
                    out,
                    "    {node:12} attempts {:5} served {:5} timeouts {:5}  mean {:4} ms  slow {:4.1}  {}",
                    work.attempts,
                    work.served,
                    work.timeouts,
                    work.waited / u64::from(work.served.max(1)) / 1000,
                    work.slow / f64::from(seen.max(1)),
                    believed.join(", ")
                )?;
            }
        }
        Ok(())
    }
}
