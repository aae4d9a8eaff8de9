//! The loss report over the decision logs of all ingresses: the lost value by cause, node and time.

use crate::interval::{Interval, LossSum};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

pub use crate::interval::LossCause;

/// Sums over records by interval of time. [`Display`](fmt::Display) writes the report as text.
pub struct LossReport {
    /// Length of an interval (µs).
    interval_us: u64,
    /// Intervals by their number, counted from the start of Unix time.
    intervals: BTreeMap<u64, Interval>,
    /// Time of the earliest record (µs of Unix time).
    first_timestamp: u64,
    processes: BTreeSet<u32>,
    /// Records that could not be decoded.
    unreadable: u32,
}

/// Sums over all intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Totals {
    /// Value of all requests.
    pub offered: f64,
    /// Value of the requests that were answered within their latency target.
    pub in_time: f64,
    /// Losses by cause, the largest value first.
    pub losses: Vec<Loss>,
}

/// The loss from one cause.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The cause.
    pub cause: LossCause,
    /// Number of requests lost.
    pub requests: u32,
    /// Value of these requests.
    pub value: f64,
}

impl LossReport {
    /// Creates an empty report with intervals of this length, at least 1 µs.
    pub fn new(interval: Duration) -> LossReport {
        let interval_us = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX).max(1);
        LossReport {
            interval_us,
            intervals: BTreeMap::new(),
            first_timestamp: u64::MAX,
            processes: BTreeSet::new(),
            unreadable: 0,
        }
    }

    /// Adds all records of a log. Returns their number, which includes records that could not be decoded.
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
        self.first_timestamp = self.first_timestamp.min(record.timestamp());
        if let Record::Final { process, .. } = &record {
            self.processes.insert(*process);
        }
        self.intervals.entry(record.timestamp() / self.interval_us).or_default().add(record);
    }

    /// Number of records that could not be decoded: a log may be truncated in the middle of a record.
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
            let start_s = (number * self.interval_us).saturating_sub(self.first_timestamp) as f64 / 1e6;
            write!(f, "from {start_s:.1} s: {interval}")?;
        }
        Ok(())
    }
}
