//! What a rehearsal has found, step by step and in all.

use super::clients::Counts;
use super::operator::{self, Orders};
use std::fmt;
use std::time::Duration;

/// One process replaced, and what came of orders and requests until the next step.
pub struct StepReport {
    /// The process and the build that it was replaced by.
    pub name: String,
    /// From SIGTERM until the new process was started.
    pub replaced: Duration,
    /// Until every proxy served the newest acknowledged configuration.
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

    /// What is wrong; nothing, where all that was acknowledged holds and requests were served.
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

/// The whole rehearsal.
pub struct Report {
    /// Replacements of the configuration that were acknowledged.
    pub acknowledged: usize,
    /// Reads of the configuration, each after a replacement.
    pub reads: usize,
    /// Replacements and reads that were answered otherwise than they have to be.
    pub order_faults: Vec<String>,
    /// Searches that were served.
    pub searches: usize,
    /// Searches that were served nowhere in time.
    pub searches_lost: usize,
    /// All bookings; each is sent once.
    pub bookings: usize,
    /// Bookings that were answered with 200.
    pub bookings_confirmed: usize,
    /// Bookings that ran more than once.
    pub bookings_repeated: usize,
    /// Bookings that were answered with 200 and ran nowhere.
    pub bookings_missing: usize,
    /// Requests of the tenant with a limit that were served.
    pub limited_served: usize,
    /// The most of them that the limit allows in the time.
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
