//! Requests with an operation key: the rules TWICE and MIXED, over all attempts with the same tenant and key.

use super::Checker;
use crate::records::{Answer, Arrival, Attempt, Millis};
use crate::site::owner;
use std::collections::BTreeMap;

/// An operation, identified by tenant and key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Operation<'a> {
    tenant: Option<String>,
    key: &'a str,
}

/// An execution of an operation.
#[derive(Clone, Copy)]
struct Execution<'a> {
    arrival: &'a Arrival,
    /// When the attempt that was executed was sent.
    sent: Millis,
}

impl Checker<'_> {
    /// Checks that each operation is executed at most once within the window, and that each success has the answer of
    /// that execution.
    pub(super) fn check_operations(&mut self) {
        let executions = self.executions_by_operation();
        let permitted_executions: BTreeMap<&Operation<'_>, Vec<Execution<'_>>> = executions
            .iter()
            .map(|(operation, executions)| (operation, self.permitted_executions(executions)))
            .collect();
        let mut violations = Vec::new();
        for (operation, executions) in &executions {
            let extra = executions.len() - permitted_executions[operation].len();
            if extra > 0 {
                let Operation { tenant, key } = operation;
                let at: Vec<Millis> = executions.iter().map(|execution| execution.arrival.at).collect();
                violations.push((
                    "TWICE",
                    format!("{key} of {tenant:?} ran {} times, at {at:?}", executions.len()),
                ));
            }
        }
        for attempt in &self.records.attempts {
            let Some(operation) = operation_of(attempt) else { continue };
            let permitted_executions =
                permitted_executions.get(&operation).map(Vec::as_slice).unwrap_or_default();
            if (200..300).contains(&attempt.status) && !is_answer_of(attempt, permitted_executions) {
                let detail = format!("{} was answered {:?}, of no first run", attempt.id, attempt.answer);
                violations.push(("MIXED", detail));
            }
        }
        for (rule, detail) in violations {
            self.report(rule, detail);
        }
    }

    /// The executions of each operation, in order. If the service deduplicates operations itself, aborted executions
    /// don't count.
    fn executions_by_operation(&self) -> BTreeMap<Operation<'_>, Vec<Execution<'_>>> {
        let mut executions: BTreeMap<Operation<'_>, Vec<Execution<'_>>> = BTreeMap::new();
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.was_executed) {
            let Some(attempt) = self.attempts.get(arrival.id.as_str()) else { continue };
            let Some(key) = attempt.operation_key.as_deref() else { continue };
            let service = self.records.incarnations[arrival.incarnation].service;
            if self.site.services[service].self_dedup && arrival.answer.is_none() {
                continue;
            }
            let operation = Operation { tenant: arrival.tenant.clone(), key };
            executions.entry(operation).or_default().push(Execution { arrival, sent: attempt.sent });
        }
        executions
    }

    /// The permitted executions: the first one, and each one after the end of the window of the previous permitted one.
    fn permitted_executions<'a>(&self, executions: &[Execution<'a>]) -> Vec<Execution<'a>> {
        let window = self.site.bounds.dedup_window_s.to_millis();
        let mut permitted_executions: Vec<Execution<'a>> = Vec::new();
        for execution in executions {
            if permitted_executions.last().is_none_or(|last| execution.arrival.at >= last.sent + window) {
                permitted_executions.push(*execution);
            }
        }
        permitted_executions
    }
}

fn operation_of(attempt: &Attempt) -> Option<Operation<'_>> {
    let key = attempt.operation_key.as_deref()?;
    Some(Operation { tenant: owner(&attempt.key), key })
}

/// Whether the attempt's success has the answer of one of these executions, which started before the response.
fn is_answer_of(attempt: &Attempt, permitted_executions: &[Execution<'_>]) -> bool {
    let is_before =
        |execution: &&Execution<'_>| attempt.ended.is_some_and(|ended| execution.arrival.at <= ended);
    let answers = permitted_executions
        .iter()
        .filter(is_before)
        .filter_map(|execution| execution.arrival.answer.as_ref());
    attempt.answer.as_ref().is_some_and(|own: &Answer| answers.into_iter().any(|answer| answer == own))
}
