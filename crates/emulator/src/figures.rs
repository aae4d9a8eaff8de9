//! What a day was worth to clients.

use crate::records::{Millis, Records};
use crate::site::Site;
use std::fmt;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub requests: usize,
    /// Parts of the requests that are owed: served at all, and within their aim.
    pub served: f64,
    pub in_time: f64,
    /// Of all tries: refused with a promise, and without an answer of their own.
    pub refused: f64,
    pub failed: f64,
    /// Tries by the status that they were answered with; 0: none, or none in time.
    pub statuses: [(u16, usize); 9],
    pub p50: Millis,
    pub p99: Millis,
}

impl Figures {
    pub fn of(site: &Site, records: &Records) -> Figures {
        let owed: Vec<_> = records.requests.iter().filter(|it| it.usual).collect();
        let served = owed.iter().filter_map(|it| Some((it.kind, it.served? - it.first)));
        let mut times: Vec<Millis> = served.clone().map(|(_, took)| took).collect();
        times.sort_unstable();
        let at = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(0);
        let in_time = served.clone().filter(|(kind, took)| *took <= site.kinds[*kind].aim_ms).count();
        let of = |count: usize, all: usize| count as f64 / all.max(1) as f64;
        let tries = |so: &dyn Fn(u16) -> bool| records.tries.iter().filter(|it| so(it.status)).count();
        let statuses =
            [200, 401, 404, 429, 500, 502, 503, 504, 0].map(|it| (it, tries(&|status| status == it)));
        Figures {
            statuses,
            requests: records.requests.len(),
            served: of(served.count(), owed.len()),
            in_time: of(in_time, owed.len()),
            refused: of(tries(&|status| matches!(status, 429 | 503)), records.tries.len()),
            failed: of(tries(&|status| status == 0 || status >= 500 && status != 503), records.tries.len()),
            p50: at(0.5),
            p99: at(0.99),
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, served {:.3}, in time {:.3}, tries refused {:.3} and failed {:.3}, p50 {} ms, p99 {} ms",
            self.requests, self.served, self.in_time, self.refused, self.failed, self.p50, self.p99
        )?;
        let mut some = self.statuses.iter().filter(|(_, count)| *count > 0);
        some.try_for_each(|(status, count)| write!(f, ", {status}: {count}"))
    }
}
