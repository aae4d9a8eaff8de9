//! Simulates a day: the production daemons, clients, backends, the platform and the operator, in virtual time on one
//! thread.

use crate::backends::Backends;
use crate::clients::{self, Directory, Repeats, Workload};
use crate::day::{Day, START_DELAY};
use crate::emulated_disk::DiskWrites;
use crate::event::Event;
use crate::fleet::{Fleet, RESTART_DELAY};
use crate::net::{Location, Net, Traffic};
use crate::operator::Operator;
use crate::platform;
use crate::process::Process;
use crate::records::{Command, Millis, Recorder, Records};
use crate::site::Site;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};
use violetyoke_transport::environment::install;

const PLATFORM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 201, 0, 1), 8082);
const OPERATOR: Ipv4Addr = Ipv4Addr::new(10, 202, 0, 1);
/// The interval at which machines are checked for processes that have ended.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// The time between the end of the traffic and reading the configuration back.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long the operator tries to read the configuration back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of a simulation, on which events act.
pub(crate) struct Simulation {
    pub(crate) site: Site,
    pub(crate) net: Rc<Net>,
    pub(crate) recorder: Recorder,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) backends: Rc<Backends>,
    pub(crate) workload: Rc<Workload>,
    pub(crate) operator: Operator,
    /// The newest version of the configuration that was sent.
    pub(crate) version: Cell<u64>,
    /// Whether searches go to another service.
    pub(crate) moves_searches: Cell<bool>,
    /// The number of routes in addition to those of the site.
    pub(crate) extra_routes: Cell<usize>,
    seed: Cell<u64>,
}

/// The result of a simulated day.
pub struct SimulationOutcome {
    /// When the simulation began, in virtual time.
    pub started_at: Instant,
    /// The observations.
    pub records: Records,
    /// The network traffic.
    pub traffic: Traffic,
    /// The writes of all disks.
    pub disk_writes: DiskWrites,
}

/// Simulates a day.
///
/// # Errors
/// If the runtime can't be created.
pub fn simulate(site: &Site, day: &Day, log: &Logger) -> io::Result<SimulationOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let (net, mut futures) = Net::new(site.delays);
    install(Some(net.clone()));
    let tasks = LocalSet::new();
    let outcome = tasks.block_on(&runtime, async move {
        spawn_local(async move {
            while let Some(future) = futures.recv().await {
                spawn_local(future);
            }
        });
        run_day(site, day, net, log).await
    });
    install(None);
    Ok(outcome)
}

async fn run_day(site: &Site, day: &Day, net: Rc<Net>, log: &Logger) -> SimulationOutcome {
    let simulation = start(site, day, net, log);
    let first = simulation.clone();
    let _first = Process::start(&simulation.net, OPERATOR, async move {
        first.send_configuration(&[]).await;
    });
    spawn_local(restart_ended_machines(simulation.clone()));
    sleep(Duration::from_millis(START_DELAY)).await;
    let clients = start_clients(&simulation, day.seed);
    for event in day.events.clone() {
        schedule(&simulation, event);
    }
    sleep(Duration::from_millis(day.length)).await;
    simulation.workload.has_ended.set(true);
    sleep(SETTLE_TIME).await;
    drop(clients);
    let operator = simulation.operator.clone();
    let reader =
        Process::start(&simulation.net, OPERATOR, async move { operator.read_back(READ_BACK_TIMEOUT).await });
    while reader.is_running() {
        sleep(Duration::from_millis(100)).await;
    }
    simulation.outcome()
}

/// Starts everything but the traffic.
fn start(site: &Site, day: &Day, net: Rc<Net>, log: &Logger) -> Rc<Simulation> {
    let recorder = Recorder::new();
    net.set_location(OPERATOR, Location::default());
    net.set_location(*PLATFORM.ip(), Location::default());
    let backends = Backends::new(net.clone(), recorder.clone(), site, day.seed);
    platform::start(&net, PLATFORM, backends.clone(), site.lag_ms, recorder.clone());
    let mut fleet = Fleet::new(net.clone(), site, PLATFORM, day.seed, log.clone());
    let directory =
        |machine: &crate::fleet::Machine| Directory { address: machine.directory(), zone: machine.zone };
    let workload = Workload {
        site: site.clone(),
        recorder: recorder.clone(),
        directories: fleet.cores().map(directory).collect(),
        burst: Cell::new(None),
        joined: RefCell::default(),
        revoked: RefCell::default(),
        repeats: Repeats::default(),
        has_ended: Cell::new(false),
    };
    let operator = Operator {
        recorder: recorder.clone(),
        registries: fleet.cores().map(crate::fleet::Machine::control).collect(),
        zones: site.zones.iter().map(|zone| zone.name).collect(),
    };
    (0..fleet.machines.len()).for_each(|machine| fleet.start(machine));
    fleet.on_all_started();
    Rc::new(Simulation {
        site: site.clone(),
        net,
        recorder,
        fleet: RefCell::new(fleet),
        backends,
        workload: Rc::new(workload),
        operator,
        version: Cell::new(0),
        moves_searches: Cell::new(false),
        extra_routes: Cell::new(0),
        seed: Cell::new(day.seed),
    })
}

fn start_clients(simulation: &Simulation, seed: u64) -> Vec<Process> {
    let site = &simulation.site;
    let zones = if site.requests_per_s > 0.0 { site.zones.len() } else { 0 };
    let start = |zone| clients::start(&simulation.net, simulation.workload.clone(), zone, seed);
    (0..zones).map(start).collect()
}

/// Applies an event at its time. Commands are sent from the operator's machine.
fn schedule(simulation: &Rc<Simulation>, Event { at, kind }: Event) {
    let acting = simulation.clone();
    Process::start(&simulation.net, OPERATOR, async move {
        sleep(Duration::from_millis(at)).await;
        acting.apply(kind).await;
    });
}

/// Restarts machines whose processes have ended, after a pause.
async fn restart_ended_machines(simulation: Rc<Simulation>) {
    loop {
        let ended = simulation.fleet.borrow_mut().take_ended();
        for machine in ended {
            let simulation = simulation.clone();
            spawn_local(async move {
                sleep(RESTART_DELAY).await;
                simulation.fleet.borrow_mut().start(machine);
            });
        }
        sleep(SUPERVISION_INTERVAL).await;
    }
}

impl Simulation {
    /// The next random number.
    pub(crate) fn random(&self) -> u64 {
        let next = self.seed.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.seed.set(next);
        next >> 16
    }

    /// Sends a command; returns its index in the records.
    pub(crate) async fn send_command(&self, command: Command) -> usize {
        self.operator.send_command(command, self.random()).await
    }

    /// Records that machines or links are faulty for a span from now on.
    pub(crate) fn record_fault(&self, span: Millis) {
        let now = self.recorder.now();
        self.recorder.with(|records| records.fault_spans.push((now, now + span)));
    }

    fn outcome(&self) -> SimulationOutcome {
        let fleet = self.fleet.borrow();
        let writes = fleet.machines.iter().map(|machine| self.net.disk_of(machine.ip).writes());
        let disk_writes = writes.fold(DiskWrites::default(), |all, one| DiskWrites {
            syncs: all.syncs + one.syncs,
            bytes: all.bytes + one.bytes,
        });
        SimulationOutcome {
            started_at: self.recorder.started_at(),
            records: Records { panicked: self.net.panicked().take(), ..self.recorder.take() },
            traffic: self.net.traffic(),
            disk_writes,
        }
    }
}
