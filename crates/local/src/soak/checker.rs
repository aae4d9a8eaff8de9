//! The rules that each run must satisfy whatever faults were injected, checked only from the executions of backends
//! and the responses to clients.

use super::history::{ClientRequest, Operation};
use crate::backend::Execution;
use std::collections::{HashMap, HashSet};

/// Statuses that promise that the request was not executed and never will be, or (409) that another request of the
/// operation is being executed.
const NOT_EXECUTED: [u16; 3] = [409, 429, 503];
/// Statuses of the proxy or a backend that leave open whether the request was executed.
const UNKNOWN: [u16; 2] = [502, 504];

/// The executions of each operation.
pub(super) type ExecutionsByOperation<'a> = HashMap<(&'a str, &'a str), Vec<&'a Execution>>;

pub(super) fn by_operation(executions: &[Execution]) -> ExecutionsByOperation<'_> {
    let mut found = ExecutionsByOperation::new();
    for execution in executions {
        let tenant = execution.tenant.as_deref().unwrap_or_default();
        let key = execution.operation_key.as_deref().unwrap_or_default();
        found.entry((tenant, key)).or_default().push(execution);
    }
    found
}

/// All violations of rules, a line each.
pub(super) fn violations(history: &[ClientRequest], executions: &[Execution]) -> Vec<String> {
    let by_operation = by_operation(executions);
    let mut found = repeated_executions(&by_operation);
    found.extend(unasked_executions(history, executions));
    found.extend(broken_promises(history, executions));
    found.extend(history.iter().filter_map(|request| wrong_response(request, &by_operation)));
    found
}

fn repeated_executions(by_operation: &ExecutionsByOperation<'_>) -> Vec<String> {
    let repeated = by_operation.iter().filter(|(_, executions)| executions.len() > 1);
    let line = |((tenant, key), executions): (&(&str, &str), &Vec<&Execution>)| {
        let attempts: Vec<&str> = executions.iter().map(|execution| execution.attempt.as_str()).collect();
        format!("{key} of {tenant} ran {} times: {attempts:?}", executions.len())
    };
    repeated.map(line).collect()
}

fn unasked_executions(history: &[ClientRequest], executions: &[Execution]) -> Vec<String> {
    let sent: HashMap<&str, &Operation> =
        history.iter().map(|request| (request.attempt.as_str(), &request.operation)).collect();
    let is_asked = |execution: &&Execution| {
        sent.get(execution.attempt.as_str()).is_some_and(|operation| {
            execution.tenant.as_deref() == Some(operation.tenant)
                && execution.operation_key.as_deref() == Some(operation.key.as_str())
        })
    };
    let unasked = executions.iter().filter(|execution| !is_asked(execution));
    unasked.map(|execution| format!("nobody sent {execution:?}")).collect()
}

fn broken_promises(history: &[ClientRequest], executions: &[Execution]) -> Vec<String> {
    let executed: HashSet<&str> = executions.iter().map(|execution| execution.attempt.as_str()).collect();
    let broken = history.iter().filter(|request| {
        NOT_EXECUTED.contains(&request.status()) && executed.contains(request.attempt.as_str())
    });
    broken.map(|request| format!("{} was answered {}, and ran", request.attempt, request.status())).collect()
}

/// Checks that a success is the response of the one execution, and that any other status is one that a keyed request
/// may get.
fn wrong_response(request: &ClientRequest, by_operation: &ExecutionsByOperation<'_>) -> Option<String> {
    let response = request.response.as_ref()?;
    if response.status != 200 {
        let is_known = NOT_EXECUTED.contains(&response.status) || UNKNOWN.contains(&response.status);
        return (!is_known).then(|| format!("{} was answered {}", request.attempt, response.status));
    }
    let Operation { tenant, key } = &request.operation;
    let Some([execution, ..]) = by_operation.get(&(*tenant, key.as_str())).map(Vec::as_slice) else {
        return Some(format!("{} was answered 200, and {key} of {tenant} never ran", request.attempt));
    };
    let is_right = response.seal.as_deref() == Some("seal")
        && response.attempt.as_deref() == Some(request.attempt.as_str())
        && response.body == execution.response_body();
    (!is_right).then(|| format!("{} was answered for another request than {execution:?}", request.attempt))
}

/// Operations whose outcome is still unknown although all faults have ended.
pub(super) fn undecided(repeats: &[ClientRequest]) -> Vec<String> {
    let last: HashMap<&Operation, &ClientRequest> =
        repeats.iter().map(|request| (&request.operation, request)).collect();
    let open = last.values().filter(|request| !matches!(request.status(), 200 | 502));
    let line = |request: &&ClientRequest| {
        format!("{:?} is answered {} after all faults have ended", request.operation, request.status())
    };
    open.map(line).collect()
}
