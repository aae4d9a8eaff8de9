//! The system under test, with its backends and the list of backends.

use crate::backend::Execution;
use crate::client::{send_command, send_request};
use crate::{Backend, Placement, Platform, ProcessRef, Programs, System, Topology};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use violetyoke_api::configuration::RouteKind;
use violetyoke_rig::runtime_thread::RuntimeThread;
use violetyoke_rig::wait_until;

const CORES: [Placement<'_>; 3] =
    [Placement::new("a", "west"), Placement::new("b", "west"), Placement::new("c", "west")];
const EDGES: [Placement<'_>; 4] = [
    Placement::new("a", "west"),
    Placement::new("b", "west"),
    Placement::new("d", "east"),
    Placement::new("d", "east"),
];
const BACKENDS: usize = 4;
/// How long a backend executes a request: long enough for faults to occur during executions.
const SERVICE_TIME: Duration = Duration::from_millis(40);
const READY: Duration = Duration::from_secs(30);

/// A running system with its backends.
pub(super) struct Deployment {
    pub(super) system: System,
    pub(super) backends: Vec<Backend>,
    platform: Platform,
    // Last, because the platform and the backends run on it.
    _runtime: RuntimeThread,
}

impl Deployment {
    /// Starts all processes, and waits until each proxy is ready.
    pub(super) fn start(programs: &Programs, route_kind: RouteKind) -> io::Result<Deployment> {
        let runtime = RuntimeThread::start()?;
        let platform = Platform::start(runtime.handle())?;
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let (id, zone) = (format!("ledger-{number}"), ["a", "b"][number % 2]);
            let backend = Backend::start(runtime.handle(), &id, "ledger", zone, SERVICE_TIME)?;
            platform.set(&id, backend.list_entry());
            backends.push(backend);
        }
        let topology = Topology {
            cores: &CORES,
            edges: &EDGES,
            platform: platform.address,
            tolerated_machine_losses: 1,
        };
        let system = System::start_from(programs, &topology)?;
        let deployment = Deployment { system, backends, platform, _runtime: runtime };
        deployment.configure(route_kind)?;
        if !deployment.wait_until_ready() {
            return Err(io::Error::other("the proxies are not ready"));
        }
        Ok(deployment)
    }

    fn configure(&self, route_kind: RouteKind) -> io::Result<()> {
        let text = configuration(route_kind).to_string();
        let target = "/api/rpc?call=configuration.replace";
        let answer = send_command(&self.system.control_addresses(), target, text.as_bytes());
        match answer.map(|answer| answer.status()) {
            Some(200) => Ok(()),
            status => Err(io::Error::other(format!("the configuration was answered {status:?}"))),
        }
    }

    /// Sets whether a backend's responses and its entry in the list state numbers that are out of range.
    pub(super) fn set_spoils_numbers(&self, backend: usize, spoils: bool) {
        let backend = &self.backends[backend];
        backend.set_spoils_numbers(spoils);
        self.platform.set(&backend.id, backend.list_entry());
    }

    /// The addresses at which the proxies accept requests.
    pub(super) fn fronts(&self) -> Vec<SocketAddr> {
        self.system.edges.iter().map(|edge| edge.front).collect()
    }

    /// Waits until all proxies are ready; the time limit suffices for the slowest restart.
    pub(super) fn wait_until_ready(&self) -> bool {
        let is_ready = |ready: SocketAddr| {
            send_request(ready, "GET", "/api/readiness", &[], b"").is_some_and(|it| it.status() == 200)
        };
        self.system.edges.iter().all(|edge| wait_until(READY, || is_ready(edge.ready)))
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.backends.iter().flat_map(Backend::executions).collect()
    }

    /// The logs of the stores, each line prefixed with its process.
    pub(super) fn store_logs(&mut self) -> Vec<String> {
        let process_refs = (0..self.system.cores.len()).map(ProcessRef::Store);
        let mut logs = Vec::new();
        for process_ref in process_refs {
            let lines = self.system.process_mut(process_ref).lines();
            logs.extend(lines.into_iter().map(|line| format!("{process_ref}: {line}")));
        }
        logs
    }

    /// Processes that have ended although no fault ended them, and those that have panicked.
    pub(super) fn failed_processes(&mut self) -> Vec<String> {
        let mut failures = Vec::new();
        for process_ref in self.system.process_refs() {
            let process = self.system.process_mut(process_ref);
            if process.has_ended() {
                failures.push(format!("{process_ref} has ended by itself: {:?}", process.lines().last()));
            }
            let panics = process.lines().into_iter().filter(|line| line.contains("panicked at"));
            failures.extend(panics.map(|line| format!("{process_ref}: {line}")));
        }
        failures
    }
}

/// Two routes of one service, and two tenants that use the same keys.
fn configuration(route_kind: RouteKind) -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts", "service"],
            "rows": [["book", "rooms.example", "/book/", route_kind, 1500, 800, 2, "ledger"],
                     ["cancel", "rooms.example", "/cancel/", route_kind, 1500, 800, 2, "ledger"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["ledger", 0, 0]]},
        "tenants": {"columns": ["name", "api-keys"],
                    "rows": [["kolkheti", ["credential-of-kolkheti"]], ["svaneti", ["credential-of-svaneti"]]]}
    })
}
