//! The report made of the decision logs of all ingresses: which value was lost, by which rule, where and when.

use crate::interval::{Interval, LossSum};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

pub use crate::interval::LossCause;

/// Sums of records by intervals of time. Its [`Display`](fmt::Display) is the report as text.
pub struct LossReport {
    /// Length of an interval, in microseconds.
    interval: u64,
    /// By the number of the interval since the beginning of Unix time.
    intervals: BTreeMap<u64, Interval>,
    first: u64,
    processes: BTreeSet<u32>,
    unreadable: u32,
}

/// Sums over all intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Totals {
    /// Value of all requests.
    pub offered: f64,
    /// Value of the requests that were answered within their latency target.
    pub in_time: f64,
    /// What was lost, the largest value first.
    pub losses: Vec<Loss>,
}

/// What was lost by one cause.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The cause.
    pub cause: LossCause,
    /// Number of requests.
    pub requests: u32,
    /// Their value.
    pub value: f64,
}

impl LossReport {
    /// An empty report by intervals of this length, of 1 µs at least.
    pub fn new(interval: Duration) -> LossReport {
        let interval = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX).max(1);
        LossReport {
            interval,
            intervals: BTreeMap::new(),
            first: u64::MAX,
            processes: BTreeSet::new(),
            unreadable: 0,
        }
    }

    /// Adds each record of a log; returns their number, with those that could not be read.
    pub fn add_log(&mut self, log: &str) -> usize {
        let mut records = 0;
        for record in log.lines().filter_map(Record::parse_log_line) {
            match record {
                Ok(record) => self.add(record),
                Err(_) => self.unreadable += 1,
            }
            records += 1;
        }
        records
    }

    /// Adds one record.
    pub fn add(&mut self, record: Record) {
        self.first = self.first.min(record.timestamp());
        if let Record::Final { process, .. } = &record {
            self.processes.insert(*process);
        }
        self.intervals.entry(record.timestamp() / self.interval).or_default().add(record);
    }

    /// Records that could not be read: a log may be cut off in the middle of one.
    pub fn unreadable(&self) -> u32 {
        self.unreadable
    }

    /// Sums over all intervals.
    pub fn totals(&self) -> Totals {
        let (mut offered, mut in_time) = (0.0, 0.0);
        let mut losses: BTreeMap<&LossCause, LossSum> = BTreeMap::new();
        for interval in self.intervals.values() {
            (offered, in_time) = (offered + interval.offered, in_time + interval.in_time);
            for (cause, sum) in &interval.losses {
                losses.entry(cause).or_default().add(sum.requests, sum.value);
            }
        }
        let loss = |(cause, sum): (&LossCause, LossSum)| Loss {
            cause: cause.clone(),
            requests: sum.requests,
            value: sum.value,
        };
        let mut losses: Vec<Loss> = losses.into_iter().map(loss).collect();
        losses.sort_by(|a, b| b.value.total_cmp(&a.value));
        Totals { offered, in_time, losses }
    }
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Totals { offered, in_time, losses } = self.totals();
        let percent = |value: f64| if offered > 0.0 { value / offered * 100.0 } else { 0.0 };
        writeln!(f, "processes={} unread={}", self.processes.len(), self.unreadable)?;
        writeln!(f, "worth asked for {offered:.0}, in time {:.1}%; lost:", percent(in_time))?;
        for Loss { cause: LossCause { outcome, reason, class }, requests, value } in &losses {
            writeln!(f, "  {:5.1}%  {requests:6} times  {outcome:8} {reason:10} {class}", percent(*value))?;
        }
        for (number, interval) in &self.intervals {
            let from = (number * self.interval).saturating_sub(self.first) as f64 / 1e6;
            write!(f, "from {from:.1} s: {interval}")?;
        }
        Ok(())
    }
}
