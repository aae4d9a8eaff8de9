//! The results of a rehearsal, for each step and in total.

use super::clients::Counts;
use super::operator::{self, Orders};
use std::fmt;
use std::time::Duration;

/// The replacement of one process, and the results of commands and requests until the next step.
pub struct StepReport {
    /// The replaced process, and the build that replaced it.
    pub name: String,
    /// The time from SIGTERM until the new process was started.
    pub replaced: Duration,
    /// The time until every proxy served the newest acknowledged configuration.
    pub applied: Duration,
    pub(super) orders: Orders,
    pub(super) counts: Counts,
    pub(super) faults: Vec<String>,
}

impl StepReport {
    /// The columns' names, of the width of the columns.
    pub const HEADER: &'static str =
        "step                       end ms  apply ms  orders slowest  reads  searches \
                                      again slowest lost  bookings ok  limited 200 429 other";

    /// The violations of rules; empty if all acknowledged commands are in effect and requests were served.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.faults.iter().chain(&self.orders.faults).cloned().collect();
        let served = [
            ("orders were acknowledged", self.orders.acknowledged.len()),
            ("reads were answered", self.orders.reads),
            ("searches were served", self.counts.searches.len()),
            ("bookings were confirmed", self.counts.confirmed.len()),
            ("requests within the limit were served", self.counts.limited_served),
            ("requests past the limit were refused", self.counts.limited_refused),
        ];
        faults.extend(served.iter().filter(|(_, count)| *count == 0).map(|(what, _)| format!("no {what}")));
        if self.counts.lost > 0 {
            faults.push(format!("{} searches were served nowhere", self.counts.lost));
        }
        faults
    }
}

impl fmt::Display for StepReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (orders, counts) = (&self.orders, &self.counts);
        write!(
            f,
            "{:<26}{:>7}{:>10}{:>8}{:>8}{:>7}{:>10}{:>6}{:>8}{:>5}{:>10}{:>3}{:>13}{:>4}{:>6}",
            self.name,
            self.replaced.as_millis(),
            self.applied.as_millis(),
            orders.acknowledged.len(),
            orders.slowest().as_millis(),
            orders.reads,
            counts.searches.len(),
            counts.repeated,
            counts.slowest().as_millis(),
            counts.lost,
            counts.bookings.len(),
            counts.confirmed.len(),
            counts.limited_served,
            counts.limited_refused,
            counts.limited_failed,
        )
    }
}

/// The results of the complete rehearsal.
pub struct Report {
    /// Number of acknowledged replacements of the configuration.
    pub acknowledged: usize,
    /// Number of reads of the configuration, each after a replacement.
    pub reads: usize,
    /// Replacements and reads with a wrong response or none.
    pub order_faults: Vec<String>,
    /// Number of searches that were served.
    pub searches: usize,
    /// Number of searches that no proxy served in time.
    pub searches_lost: usize,
    /// Number of bookings; each is sent once.
    pub bookings: usize,
    /// Number of bookings with a response 200.
    pub bookings_confirmed: usize,
    /// Number of bookings that were executed more than once.
    pub bookings_repeated: usize,
    /// Number of bookings with a response 200 that were never executed.
    pub bookings_missing: usize,
    /// Number of served requests of the tenant with a limit.
    pub limited_served: usize,
    /// Maximum number of such requests that the limit allows in the time.
    pub limited_allowed: f64,
}

impl Report {
    pub(super) fn new(orders: Orders, counts: &Counts, repeated: usize, missing: usize) -> Report {
        let limited_allowed = operator::allowed(counts.elapsed);
        Report {
            acknowledged: orders.acknowledged.len(),
            reads: orders.reads,
            order_faults: orders.faults,
            searches: counts.searches.len(),
            searches_lost: counts.lost,
            bookings: counts.bookings.len(),
            bookings_confirmed: counts.confirmed.len(),
            bookings_repeated: repeated,
            bookings_missing: missing,
            limited_served: counts.limited_served,
            limited_allowed,
        }
    }
}
