//! Checks the rules against the records. Rules with a time bound are checked only outside of fault spans.

mod control;
mod executions;
mod operations;
mod rates;

use crate::records::{Attempt, Command, Millis, Records};
use crate::site::Site;
use std::collections::HashMap;
use violetyoke_api::configuration::RouteKind;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// What violated the rule.
    pub detail: String,
}

struct Checker<'a> {
    site: &'a Site,
    records: &'a Records,
    attempts: HashMap<&'a str, &'a Attempt>,
    violations: Vec<Violation>,
}

/// Checks the records of a day, and returns all violations.
#[must_use]
pub fn check(site: &Site, records: &Records) -> Vec<Violation> {
    let attempts = records.attempts.iter().map(|attempt| (attempt.id.as_str(), attempt)).collect();
    let mut checker = Checker { site, records, attempts, violations: Vec::new() };
    checker.check_responses();
    checker.check_executions();
    checker.check_operations();
    checker.check_quotas();
    checker.check_retry_budgets();
    checker.check_slow_starts();
    checker.check_control();
    checker.check_panics();
    checker.violations
}

/// The maximum number of times in any window of a given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WindowMax {
    count: usize,
    /// The start of that window.
    from: Millis,
}

fn max_in_window(at: &[Millis], span: Millis) -> WindowMax {
    let mut at = at.to_vec();
    at.sort_unstable();
    let mut max_in_window = WindowMax { count: 0, from: 0 };
    let mut first = 0;
    for last in 0..at.len() {
        while at[last] - at[first] >= span {
            first += 1;
        }
        if last + 1 - first > max_in_window.count {
            max_in_window = WindowMax { count: last + 1 - first, from: at[first] };
        }
    }
    max_in_window
}

impl Checker<'_> {
    fn report(&mut self, rule: &'static str, detail: String) {
        self.violations.push(Violation { rule, detail });
    }

    /// Whether there is no fault at a time, nor in the time before that machines need to regain contact.
    fn is_fault_free(&self, at: Millis) -> bool {
        let contact = self.site.bounds.contact_ms.to_millis();
        !self.records.fault_spans.iter().any(|(from, to)| at >= *from && at <= to + contact)
    }

    /// The configurations that may be in force for an attempt: none older than the newest one that was acknowledged,
    /// and had to be applied, when the attempt was sent.
    fn possible_configurations(&self, sent: Millis, until: Millis) -> Vec<&Command> {
        let versions = self.records.commands.iter().filter_map(|record| match &record.command {
            Command::Configuration { version, is_valid: true, .. } => Some((*version, record)),
            _ => None,
        });
        let is_applied = |at: Millis| at + self.site.bounds.config_apply_ms.to_millis() <= sent;
        let applied = versions.clone().filter(|(_, record)| record.acknowledged_at.is_some_and(is_applied));
        let newest = applied.map(|(version, _)| version).max().unwrap_or(0);
        let may_be_in_force = versions.filter(|(version, record)| *version >= newest && record.sent <= until);
        may_be_in_force.map(|(_, record)| &record.command).collect()
    }

    /// No fault and no input may end a process by a panic.
    fn check_panics(&mut self) {
        for machine in &self.records.panicked {
            self.report("PANIC", format!("a process of {machine} has ended by itself"));
        }
    }

    fn check_responses(&mut self) {
        let mut denied = 0;
        let mut executions: HashMap<&str, usize> = HashMap::new();
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.was_executed) {
            *executions.entry(arrival.id.as_str()).or_default() += 1;
        }
        for attempt in &self.records.attempts {
            let times = executions.get(attempt.id.as_str()).copied().unwrap_or(0);
            let route_kind = self.site.request_kinds[attempt.kind].route_kind;
            if (200..300).contains(&attempt.status) && !attempt.is_valid {
                self.report("MIXED", format!("{} was answered what is not its own", attempt.id));
            }
            if route_kind == RouteKind::Nonidempotent && times > 1 {
                self.report("TWICE", format!("{} ran {times} times", attempt.id));
            }
            if route_kind != RouteKind::Idempotent
                && times > 0
                && matches!(attempt.status, 408 | 421 | 429 | 503)
            {
                self.report("REFUSED", format!("{} ran and was answered {}", attempt.id, attempt.status));
            }
            if matches!(attempt.status, 401 | 404)
                && self.is_fault_free(attempt.sent)
                && self.is_key_known(attempt)
            {
                denied += 1;
            }
        }
        if denied > 5 + self.records.attempts.len() / 500 {
            self.report("DENIED", format!("{denied} of {}", self.records.attempts.len()));
        }
    }

    /// Whether all configurations that may be in force contain an attempt's credential.
    fn is_key_known(&self, attempt: &Attempt) -> bool {
        let knows = |command: &&Command| matches!(command, Command::Configuration { keys, .. } if keys.contains(&attempt.key));
        self.possible_configurations(attempt.sent, attempt.ended.unwrap_or(attempt.sent)).iter().all(knows)
    }
}
