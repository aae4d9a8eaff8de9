//! Limits on the number of requests in a time window: the rules QUOTA, BUDGET and FAILBACK.

use super::{max_in_window, Checker};
use crate::records::Millis;
use std::collections::{BTreeMap, HashSet};

/// The rate limit (per second) and the burst of tenants added during the day.
const NEWCOMER_LIMIT: f64 = 20.0;

impl Checker<'_> {
    pub(super) fn check_quotas(&mut self) {
        let bounds = self.site.bounds;
        let mut executions: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.was_executed) {
            executions.entry(arrival.tenant.as_deref().unwrap_or_default()).or_default().push(arrival.at);
        }
        for (name, at) in &executions {
            let number = name.strip_prefix("tenant-").and_then(|number| number.parse::<usize>().ok());
            let limit = number.map_or(NEWCOMER_LIMIT, |number| self.site.rate_limit(number));
            let peak = max_in_window(at, bounds.quota_window_s.to_millis());
            let allowed = (limit * bounds.quota_window_s.stated() + limit) * (1.0 + bounds.quota_overshoot)
                + bounds.quota_slack;
            if peak.count as f64 > allowed {
                let detail = format!("{name}: {} from {} on, {allowed:.0} may", peak.count, peak.from);
                self.report("QUOTA", detail);
            }
        }
    }

    pub(super) fn check_retry_budgets(&mut self) {
        let bounds = self.site.bounds;
        let window = bounds.retry_window_s.to_millis();
        for (number, service) in self.site.services.iter().enumerate() {
            let records = self.records;
            let is_of_service = |incarnation: usize| records.incarnations[incarnation].service == number;
            let mut seen_ids: HashSet<&str> = HashSet::new();
            let arrivals = records.arrivals.iter().filter(|arrival| is_of_service(arrival.incarnation));
            let retries: Vec<Millis> =
                arrivals.filter(|arrival| !seen_ids.insert(&arrival.id)).map(|arrival| arrival.at).collect();
            let peak = max_in_window(&retries, window);
            let attempts =
                records.attempts.iter().filter(|it| self.site.request_kinds[it.kind].service == number);
            let sent: Vec<Millis> = attempts.map(|attempt| attempt.sent).collect();
            let in_window =
                |from: Millis| sent.iter().filter(|at| (from..from + window).contains(*at)).count();
            let starts = [peak.from, peak.from.saturating_sub(window), peak.from.saturating_sub(window / 2)];
            let attempts = starts.into_iter().map(in_window).max().unwrap_or(0);
            let allowed = bounds.retry_ratio * attempts as f64 + bounds.retry_slack;
            if peak.count as f64 > allowed {
                let (name, count, from) = (service.name, peak.count, peak.from);
                self.report("BUDGET", format!("{name}: {count} from {from} on, {allowed:.0} may"));
            }
        }
    }

    pub(super) fn check_slow_starts(&mut self) {
        let bounds = self.site.bounds;
        for (number, incarnation) in self.records.incarnations.iter().enumerate() {
            let service = &self.site.services[incarnation.service];
            let allowed = service.slow_start_rate_per_s * bounds.cold_overshoot + bounds.cold_slack;
            for (from, to) in &incarnation.slow_starts {
                let arrivals = self.records.arrivals.iter();
                let backend_arrivals = arrivals.filter(|it| it.incarnation == number && !it.was_misdirected);
                let at: Vec<Millis> =
                    backend_arrivals.map(|it| it.at).filter(|at| at >= from && at < to).collect();
                let peak = max_in_window(&at, 1_000);
                if peak.count as f64 > allowed {
                    let (id, count, from) = (&incarnation.id, peak.count, peak.from);
                    self.report("FAILBACK", format!("{id}: {count} from {from} on, {allowed:.0} may"));
                }
            }
        }
    }
}
