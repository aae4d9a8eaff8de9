//! A soak test of operations that must run only once: clients send keyed requests, many of them repeated, while
//! processes are killed, paused, terminated and restarted in overlapping series that are drawn from a seed.
//!
//! Afterwards the executions of backends and the responses to clients are checked: each key was executed at most
//! once, each repeat of a success got the same response, and no response promised that a request was not executed
//! which was. The same seed gives the same faults; their timing relative to requests depends on the machine.

mod checker;
mod clients;
mod connection;
mod deployment;
mod fault;
mod history;
mod injector;
mod plan;
mod report;

use crate::Programs;
use clients::Clients;
use deployment::Deployment;
use injector::Injector;
use plan::{Machines, Plan};
pub use report::{FaultCounts, SoakReport};
use std::io;
use std::time::Duration;
use violetyoke_api::configuration::RouteKind;

/// How the soak is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakOptions {
    /// The seed from which the faults are drawn.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// The kind of the routes. With any kind other than keyed, operations run more than once, which serves as the
    /// negative control.
    pub route_kind: RouteKind,
}

/// Runs the complete system with the faults of a seed, and checks the results.
///
/// If the system does not start, or a process can't be signalled or restarted.
pub fn run(programs: &Programs, options: SoakOptions) -> io::Result<SoakReport> {
    let mut deployment = Deployment::start(programs, options.route_kind)?;
    let machines = Machines {
        cores: deployment.system.cores.len(),
        edges: deployment.system.edges.len(),
        backends: deployment.backends.len(),
    };
    let plan = Plan::draw(options.seed, options.duration, machines);
    let clients = Clients::start(&deployment.fronts(), options.seed);
    let injected = Injector::new(&mut deployment).run(&plan)?;
    let served_again = deployment.wait_until_ready();
    let mut history = clients.finish();
    let repeats = clients::repeat_until_decided(&deployment.fronts(), &history);
    let mut violations = checker::undecided(&repeats);
    history.extend(repeats);
    let executions = deployment.executions();
    violations.extend(checker::violations(&history, &executions));
    violations.extend(deployment.failed_processes());
    if !served_again {
        violations.push("a proxy is not ready after all faults have ended".into());
    }
    let logs = if violations.is_empty() {
        Vec::new()
    } else {
        [plan.store_faults(), deployment.store_logs()].concat()
    };
    let report = SoakReport::new(&history, &executions, &injected, violations);
    Ok(SoakReport { logs, ..report })
}
