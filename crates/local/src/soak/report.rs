//! What a soak has shown.

use super::checker::by_operation;
use super::fault::{ProcessFault, Strike};
use super::history::ClientRequest;
use super::injector::InjectedFault;
use crate::backend::Execution;
use crate::ProcessRef;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Instant;

/// How often a kind of fault was injected, and at which stages of operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// The total.
    pub injected: usize,
    /// Faults between the sending of a request that was executed later and the start of its execution.
    pub while_claiming: usize,
    /// Faults between the start of a request's execution and the time when its client had the response or gave up.
    pub while_executing: usize,
}

/// What a soak has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Operations, each with one key of one tenant.
    pub operations: usize,
    /// Requests of clients.
    pub requests: usize,
    /// Executions by backends.
    pub executions: usize,
    /// Successful responses that were recorded for another request.
    pub replays: usize,
    /// Requests by status; 0: no response.
    pub statuses: BTreeMap<u16, usize>,
    /// Faults by kind.
    pub faults: BTreeMap<String, FaultCounts>,
    /// The violations of rules.
    pub violations: Vec<String>,
    /// The stores' logs, if a rule was violated.
    pub logs: Vec<String>,
}

/// Maximum number of violations that are printed.
const PRINTED: usize = 20;

impl SoakReport {
    pub(super) fn new(
        history: &[ClientRequest],
        executions: &[Execution],
        injected: &[InjectedFault],
        violations: Vec<String>,
    ) -> SoakReport {
        let operations: HashSet<_> = history.iter().map(|request| &request.operation).collect();
        let mut statuses = BTreeMap::new();
        for request in history {
            *statuses.entry(request.status()).or_default() += 1;
        }
        SoakReport {
            operations: operations.len(),
            requests: history.len(),
            executions: executions.len(),
            replays: replays(history, executions),
            statuses,
            faults: count_faults(history, executions, injected),
            violations,
            logs: Vec::new(),
        }
    }

    /// Number of faults between the sending of a request and the end of its execution.
    #[must_use]
    pub fn faults_within_claims(&self) -> usize {
        self.faults.values().map(|counts| counts.while_claiming + counts.while_executing).sum()
    }
}

fn replays(history: &[ClientRequest], executions: &[Execution]) -> usize {
    let by_operation = by_operation(executions);
    let is_replay = |request: &&ClientRequest| {
        let key = (request.operation.tenant, request.operation.key.as_str());
        let own = by_operation.get(&key).and_then(|executions| executions.first());
        request.status() == 200 && own.is_some_and(|execution| execution.attempt != request.attempt)
    };
    history.iter().filter(is_replay).count()
}

fn count_faults(
    history: &[ClientRequest],
    executions: &[Execution],
    injected: &[InjectedFault],
) -> BTreeMap<String, FaultCounts> {
    let started_at: HashMap<&str, Instant> =
        executions.iter().map(|execution| (execution.attempt.as_str(), execution.started_at)).collect();
    let executed: Vec<(&ClientRequest, Instant)> = history
        .iter()
        .filter_map(|request| Some((request, *started_at.get(request.attempt.as_str())?)))
        .collect();
    let mut counts = BTreeMap::<String, FaultCounts>::new();
    for fault in injected {
        let open: Vec<_> = executed
            .iter()
            .filter(|(request, _)| request.is_open_at(fault.at) && concerns(fault.strike, request))
            .collect();
        let of_kind = counts.entry(kind(fault.strike)).or_default();
        of_kind.injected += 1;
        of_kind.while_claiming += usize::from(open.iter().any(|(_, started)| fault.at < *started));
        of_kind.while_executing += usize::from(open.iter().any(|(_, started)| *started <= fault.at));
    }
    counts
}

/// Whether a fault affects a request: a fault of a proxy affects only the requests sent to it, others affect all.
fn concerns(strike: Strike, request: &ClientRequest) -> bool {
    match strike {
        Strike::Process(ProcessRef::Proxy(edge), _) => request.edge == edge,
        Strike::Process(..) | Strike::Backend(..) | Strike::SpoiledNumbers(..) => true,
    }
}

fn kind(strike: Strike) -> String {
    let (process_ref, fault) = match strike {
        Strike::Backend(_, fault) => return format!("backend {fault:?}"),
        Strike::SpoiledNumbers(_) => return "backend SpoilsNumbers".to_owned(),
        Strike::Process(process_ref, fault) => (process_ref, fault),
    };
    let daemon = match process_ref {
        ProcessRef::Store(_) => "store",
        ProcessRef::Registry(_) => "registry",
        ProcessRef::Proxy(_) => "proxy",
    };
    let fault = match fault {
        ProcessFault::Killed => "killed",
        ProcessFault::Frozen => "frozen",
        ProcessFault::Terminated => "terminated",
        ProcessFault::DiskLost => "with its disk lost",
    };
    format!("{daemon} {fault}")
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} operations in {} requests", self.operations, self.requests)?;
        writeln!(f, "{} executions, {} recorded responses to repeats", self.executions, self.replays)?;
        for (status, count) in &self.statuses {
            let name = if *status == 0 { "no response".to_owned() } else { status.to_string() };
            writeln!(f, "{name:>12}: {count}")?;
        }
        writeln!(f, "faults: injected, while claiming, while executing")?;
        for (kind, counts) in &self.faults {
            let FaultCounts { injected, while_claiming, while_executing } = counts;
            writeln!(f, "{kind:>25}: {injected}, {while_claiming}, {while_executing}")?;
        }
        writeln!(f, "{} violations", self.violations.len())?;
        for violation in self.violations.iter().take(PRINTED) {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
