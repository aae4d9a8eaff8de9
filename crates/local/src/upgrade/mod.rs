//! A rolling upgrade of a complete system from one build to another under load: an operator replaces and reads the
//! configuration, and clients send requests throughout.
//!
//! One process after the other is ended by SIGTERM and started again from the other build. After each step, every
//! proxy has to serve the newest acknowledged configuration, and an acknowledged evacuation has to be in effect.
//! Every command has to be acknowledged, and every read has to return the newest acknowledged configuration or a
//! newer one. No process may log a warning. A message of another build that can't be decoded is logged as one, even
//! if the same content also arrived from another process.

mod clients;
mod logs;
mod operator;
mod report;

pub use report::{Report, StepReport};

use crate::backend::executions_by_attempt;
use crate::client::{resolve_edges, send_command, send_request};
use crate::{Backend, EdgeMachine, Placement, Platform, ProcessRef, Programs, System, Topology};
use clients::Clients;
use logs::Logs;
use operator::Operator;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetyoke_rig::runtime_thread::RuntimeThread;
use violetyoke_rig::wait_until;

/// Time limit for a process to end after SIGTERM: the settings' `grace-s`, and a second for a busy machine.
const GRACE: Duration = Duration::from_secs(7);
/// Time limit until a proxy serves an acknowledged configuration; the documentation promises 2.5 s.
const APPLIED: Duration = Duration::from_secs(10);
/// How long the system runs between two steps.
const DWELL: Duration = Duration::from_secs(3);
/// The zone whose evacuation is started and finished in turn.
const EVACUATED_ZONE: &str = "b";
/// Time limit until the backends of an evacuated zone get no more requests; the documentation promises 5 s.
const EVACUATED: Duration = Duration::from_secs(5);
const CORES: [Placement<'_>; 3] =
    [Placement::new("a", "west"), Placement::new("b", "west"), Placement::new("c", "west")];
const EDGES: [Placement<'_>; 2] = [Placement::new("a", "west"), Placement::new("a", "west")];
/// The service and zone of each backend. The annex has backends only in the evacuated zone, so its responses show
/// whether that zone is in use.
const PLACED: [(&str, &str); 5] =
    [("finder", "a"), ("finder", "b"), ("ledger", "a"), ("ledger", "b"), ("annex", EVACUATED_ZONE)];

/// A system that is upgraded, with its operator and clients.
pub struct Rehearsal {
    system: System,
    backends: Vec<Backend>,
    operator: Operator,
    clients: Clients,
    logs: Logs,
    evacuated: bool,
    // Last, because the platform and the backends run on it.
    _runtime: RuntimeThread,
}

impl Rehearsal {
    /// Starts three stores, three registries and two proxies of one build, and the load on them.
    ///
    /// If a process does not start, or the system does not serve within 20 s.
    pub fn start(programs: &Programs) -> io::Result<Rehearsal> {
        let runtime = RuntimeThread::start()?;
        let platform = Platform::start(runtime.handle())?;
        let mut backends = Vec::new();
        for (service, zone) in PLACED {
            let id = format!("{service}-{zone}");
            let backend = Backend::start(runtime.handle(), &id, service, zone, Duration::from_millis(5))?;
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
        let operator = Operator::start(system.control_addresses())?;
        let directories: Vec<SocketAddr> = system.cores.iter().map(|core| core.directory).collect();
        let listed =
            || directories.iter().all(|it| resolve_edges(*it, "west", "a").len() == system.edges.len());
        if !wait_until(Duration::from_secs(20), listed) {
            return Err(io::Error::other("the proxies are not listed"));
        }
        let clients = Clients::start(&directories);
        Ok(Rehearsal {
            system,
            backends,
            operator,
            clients,
            logs: Logs::default(),
            evacuated: false,
            _runtime: runtime,
        })
    }

    /// Replaces one process, lets the system run for 3 s, and checks the rules.
    ///
    /// If the process does not end after SIGTERM, or the new one does not start.
    pub fn step(&mut self, process_ref: ProcessRef, to: &Programs, name: String) -> io::Result<StepReport> {
        let (counts, orders) = (self.clients.counts(), self.operator.orders());
        let started = Instant::now();
        let ended = self.system.replace(process_ref, to, GRACE)?;
        let replaced = started.elapsed();
        let mut faults = self.logs.warnings_of_ended(process_ref, &ended);
        faults.extend(self.toggle_evacuation());
        std::thread::sleep(DWELL);
        let applied = self.newest_is_served(&mut faults);
        faults.extend(self.evacuation_holds());
        faults.extend(self.ended_processes());
        faults.extend(self.logs.new_warnings(&mut self.system));
        Ok(StepReport {
            name,
            replaced,
            applied,
            orders: self.operator.orders().since(&orders),
            counts: self.clients.counts().since(&counts),
            faults,
        })
    }

    /// Begins the evacuation of a zone, or finishes it.
    fn toggle_evacuation(&mut self) -> Vec<String> {
        self.evacuated = !self.evacuated;
        let verb = if self.evacuated { "begin" } else { "finish" };
        let target = format!("/api/rpc?call=evacuation.{verb}&of={EVACUATED_ZONE}");
        let status =
            send_command(&self.system.control_addresses(), &target, b"").map(|answer| answer.status());
        let fault = (status != Some(200)).then(|| format!("evacuation.{verb} was answered {status:?}"));
        fault.into_iter().collect()
    }

    /// Checks that proxies use the zone's backends if and only if the zone is not evacuated.
    fn evacuation_holds(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for edge in &self.system.edges {
            let is_used = || probe(edge, operator::ANNEX) == 200;
            if !wait_until(EVACUATED, || is_used() != self.evacuated) {
                let state = if self.evacuated { "evacuated" } else { "filled again" };
                faults
                    .push(format!("zone {EVACUATED_ZONE} is {state}, and {} does not act on it", edge.name));
            }
        }
        faults
    }

    /// Waits until every proxy serves the newest acknowledged configuration. Returns how long that took.
    fn newest_is_served(&mut self, faults: &mut Vec<String>) -> Duration {
        let version = self.operator.orders().newest;
        let started = Instant::now();
        let path = operator::path_of(version);
        for edge in &self.system.edges {
            // The routes of earlier versions are also in force, because another command may be applied meanwhile.
            if !wait_until(APPLIED, || probe(edge, &path) == 200) {
                faults.push(format!("{} does not serve version {version}", edge.name));
            }
        }
        started.elapsed()
    }

    fn ended_processes(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        for process_ref in self.system.process_refs() {
            let process = self.system.process_mut(process_ref);
            if process.has_ended() {
                faults.push(format!("{process_ref} has ended: {:?}", process.lines().last()));
            }
        }
        faults
    }

    /// Ends the load and reports the results.
    pub fn finish(self) -> Report {
        let orders = self.operator.finish();
        let counts = self.clients.finish();
        let executions = executions_by_attempt(&self.backends);
        let repeated =
            counts.bookings.iter().filter(|id| executions.get(*id).is_some_and(|times| *times > 1)).count();
        let missing = counts.confirmed.iter().filter(|id| !executions.contains_key(*id)).count();
        Report::new(orders, &counts, repeated, missing)
    }
}

/// Sends a request to a proxy and returns the status; 0 if there is no response.
fn probe(edge: &EdgeMachine, path: &str) -> u16 {
    let id = clients::new_id("probe");
    let fields = [
        ("host", "rooms.example"),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "1000"),
        ("x-credential", "key-1"),
    ];
    send_request(edge.front, "GET", path, &fields, b"").map_or(0, |answer| answer.status())
}
