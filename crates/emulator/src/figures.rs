//! The service quality that clients experienced on a day.

use crate::records::{Command, Millis, Records};
use crate::site::Site;
use std::fmt;

/// The statuses that are counted; 0 means that there was no complete response.
const STATUSES: [u16; 10] = [200, 401, 404, 409, 429, 500, 502, 503, 504, 0];

/// The number of attempts that ended with a status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatusCount {
    /// The status; 0: no complete response in time.
    pub status: u16,
    /// How many attempts.
    pub attempts: usize,
}

/// Figures of a day's service quality.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// How many requests were sent.
    pub requests: usize,
    /// The fraction of the owed requests (see `ClientRequest::is_owed`) that got a valid response.
    pub served: f64,
    /// The fraction of the owed requests that got a valid response within their latency target.
    pub in_time: f64,
    /// The fraction of all attempts that was rejected with 429 or 503.
    pub rejected: f64,
    /// The fraction of all attempts that ended with another 5xx or without a response.
    pub failed: f64,
    /// Attempts by status.
    pub statuses: [StatusCount; STATUSES.len()],
    /// The median latency of served owed requests (ms).
    pub p50: Millis,
    /// The 99th percentile of the latency of served owed requests (ms).
    pub p99: Millis,
    /// The longest time until an evacuation was acknowledged, outside of fault spans (ms).
    pub slowest_evacuation: Millis,
}

impl Figures {
    /// The figures of a day's records.
    #[must_use]
    pub fn of(site: &Site, records: &Records) -> Figures {
        let owed: Vec<_> = records.requests.iter().filter(|request| request.is_owed).collect();
        let served = owed.iter().filter_map(|it| Some((it.kind, it.served_at? - it.first_sent)));
        let mut times: Vec<Millis> = served.clone().map(|(_, time)| time).collect();
        times.sort_unstable();
        let percentile = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(0);
        let in_time = served.filter(|(kind, time)| *time <= site.request_kinds[*kind].target_ms).count();
        let part = |count: usize, all: usize| count as f64 / all.max(1) as f64;
        let all_attempts = records.attempts.len();
        let attempts = |is_counted: &dyn Fn(u16) -> bool| {
            records.attempts.iter().filter(|attempt| is_counted(attempt.status)).count()
        };
        Figures {
            requests: records.requests.len(),
            served: part(times.len(), owed.len()),
            in_time: part(in_time, owed.len()),
            rejected: part(attempts(&|status| matches!(status, 429 | 503)), all_attempts),
            failed: part(attempts(&|status| status == 0 || status >= 500 && status != 503), all_attempts),
            statuses: STATUSES
                .map(|status| StatusCount { status, attempts: attempts(&|other| other == status) }),
            p50: percentile(0.5),
            p99: percentile(0.99),
            slowest_evacuation: fault_free_evacuations(site, records).into_iter().max().unwrap_or(0),
        }
    }
}

/// The times until evacuations were acknowledged (ms), without those that overlap a fault span or the time afterwards
/// that machines need to regain contact.
#[must_use]
pub fn fault_free_evacuations(site: &Site, records: &Records) -> Vec<Millis> {
    let contact = site.bounds.contact_ms.to_millis();
    let is_fault_free = |from: Millis, until: Millis| {
        !records.fault_spans.iter().any(|(start, end)| from <= end + contact && until >= *start)
    };
    let evacuations = records.commands.iter().filter(|it| matches!(it.command, Command::Evacuate { .. }));
    let durations = evacuations.filter_map(|it| Some((it.sent, it.acknowledged_at?)));
    durations.filter(|(from, until)| is_fault_free(*from, *until)).map(|(from, until)| until - from).collect()
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, served {:.3}, in time {:.3}, attempts rejected {:.3} and failed {:.3}, p50 {} ms, p99 {} ms",
            self.requests, self.served, self.in_time, self.rejected, self.failed, self.p50, self.p99
        )?;
        let mut counts = self.statuses.iter().filter(|count| count.attempts > 0);
        counts.try_for_each(|StatusCount { status, attempts }| write!(f, ", {status}: {attempts}"))?;
        if self.slowest_evacuation > 0 {
            write!(f, "; evacuations acknowledged within {} ms", self.slowest_evacuation)?;
        }
        Ok(())
    }
}
