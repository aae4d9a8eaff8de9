//! The system's machines, which run the production daemons as processes. Events kill, freeze and restart them.

use crate::net::{Location, Net};
use crate::process::Process;
use crate::site::Site;
use serde_json::{json, Map, Value};
use slog::Logger;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::Settings;
use violetyoke_transport::lifecycle::{Lifecycle, LifecycleSender};

const CONTROL_PORT: u16 = 8083;
const DIRECTORY_PORT: u16 = 8084;
const READY_PORT: u16 = 8085;
const FRONT_PORT: u16 = 8089;
const INTERNAL_PORTS: [u16; 2] = [7460, 7475];
/// The pause before a process that has ended is restarted.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Daemon {
    Proxy,
    Registry,
    Store,
}

/// A running daemon.
struct DaemonProcess {
    process: Process,
    lifecycle: LifecycleSender,
}

/// One machine.
pub(crate) struct Machine {
    pub(crate) ip: Ipv4Addr,
    pub(crate) zone: usize,
    is_core: bool,
    name: String,
    processes: Vec<DaemonProcess>,
    is_up: bool,
    /// How often the machine was started.
    starts: u64,
}

impl Machine {
    pub(crate) fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        (self.ip, DIRECTORY_PORT).into()
    }

    fn has_ended(&self) -> bool {
        self.is_up && !self.processes.is_empty() && self.processes.iter().all(|it| !it.process.is_running())
    }
}

/// All machines of the system, core machines first.
pub(crate) struct Fleet {
    net: Rc<Net>,
    pub(crate) machines: Vec<Machine>,
    site: Site,
    platform: SocketAddrV4,
    seed: u64,
    log: Logger,
    is_first_start: bool,
}

impl Fleet {
    pub(crate) fn new(net: Rc<Net>, site: &Site, platform: SocketAddrV4, seed: u64, log: Logger) -> Fleet {
        let mut machines: Vec<Machine> = Vec::new();
        for (is_core, counts) in [(true, &site.cores), (false, &site.edges)] {
            for (zone, count) in counts.iter().enumerate() {
                for n in 0..*count {
                    let number = machines.len() + 1;
                    let ip = Ipv4Addr::new(10, 1, (number / 200) as u8, (number % 200 + 1) as u8);
                    net.set_location(ip, Location { zone, region: site.region(zone) });
                    let class = if is_core { "core" } else { "edge" };
                    let name = format!("{class}-{}-{}", site.zones[zone].name, n + 1);
                    machines.push(Machine {
                        ip,
                        zone,
                        is_core,
                        name,
                        processes: Vec::new(),
                        is_up: false,
                        starts: 0,
                    });
                }
            }
        }
        for machine in machines.iter().filter(|machine| machine.is_core) {
            let disk = net.disk_of(machine.ip);
            disk.set_sync_time(Duration::from_secs_f64(site.sync_ms / 1000.0));
            disk.set_lying(site.has_lying_disks);
            disk.set_lying_log(site.has_lying_logs);
        }
        Fleet { net, machines, site: site.clone(), platform, seed, log, is_first_start: true }
    }

    /// The core machines, which run a registry and a store.
    pub(crate) fn cores(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| machine.is_core)
    }

    /// The indices of a zone's machines.
    pub(crate) fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].zone == zone).collect()
    }

    fn settings(&self, machine: &Machine) -> Value {
        let at = |port: u16| SocketAddr::from((machine.ip, port));
        let seeds: Vec<String> = self.cores().take(3).map(|core| core.control().to_string()).collect();
        let region = |index: usize| self.site.regions[index];
        let zones = self.site.zones.iter().map(|zone| (zone.name.into(), region(zone.region).into()));
        let zones: Map<String, Value> = zones.collect();
        let listen = if machine.is_core {
            json!({"control": at(CONTROL_PORT), "directory": at(DIRECTORY_PORT)})
        } else {
            json!({"front": at(FRONT_PORT), "ready": at(READY_PORT)})
        };
        let zone = self.site.zones[machine.zone];
        let bounds = &self.site.bounds;
        json!({
            "self": {"node": machine.name, "ip": machine.ip, "zone": zone.name, "region": region(zone.region),
                     "bootstrap": self.is_first_start, "counted": machine.is_core,
                     "data-dir": machine.is_core.then_some("/disk")},
            "network": {"listen": listen, "internal-ports": INTERNAL_PORTS, "seeds": seeds, "zones": zones},
            "platform": {"cloud-api": {"address": self.platform, "rate-per-s": 47, "lag-ms": self.site.lag_ms}},
            "terms": {"fault-tolerance": {"machines": self.site.tolerance, "zones": 1, "regions": 0},
                      "bounds": {"retry-ratio": bounds.retry_ratio, "retry-window-s": bounds.retry_window_s,
                                 "retry-slack": bounds.retry_slack, "quota-slack": bounds.quota_slack,
                                 "dedup-window-s": bounds.dedup_window_s,
                                 "cold-overshoot": bounds.cold_overshoot, "cold-slack": bounds.cold_slack}}
        })
    }

    /// Starts a machine's processes, if the machine is down.
    pub(crate) fn start(&mut self, index: usize) {
        let Some(machine) = self.machines.get(index).filter(|machine| !machine.is_up) else { return };
        let settings = self.settings(machine).to_string();
        let daemons: &[Daemon] =
            if machine.is_core { &[Daemon::Store, Daemon::Registry] } else { &[Daemon::Proxy] };
        let starts = machine.starts + 1;
        self.net.set_power_lost(machine.ip, false);
        let start = |daemon: &Daemon| self.start_daemon(machine, *daemon, starts, settings.clone());
        let processes = daemons.iter().map(start).collect();
        let machine = &mut self.machines[index];
        (machine.processes, machine.is_up, machine.starts) = (processes, true, starts);
    }

    fn start_daemon(
        &self,
        machine: &Machine,
        daemon: Daemon,
        starts: u64,
        settings: String,
    ) -> DaemonProcess {
        let log = self.log.new(slog::o!("node" => machine.name.clone(), "daemon" => format!("{daemon:?}")));
        let (lifecycle, sender) = Lifecycle::new(incarnation(self.seed, machine.ip, starts, daemon));
        let body = async move { run(daemon, &settings, lifecycle, log).await };
        DaemonProcess { process: Process::start(&self.net, machine.ip, body), lifecycle: sender }
    }

    /// Records that all machines have been started once.
    pub(crate) fn on_all_started(&mut self) {
        self.is_first_start = false;
    }

    /// Kills a machine's processes. If the power is lost too, the network delivers nothing more from the machine.
    pub(crate) fn kill(&mut self, index: usize, is_power_lost: bool, is_torn: bool) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        if is_power_lost {
            self.net.set_power_lost(machine.ip, true);
        }
        for daemon in machine.processes.drain(..) {
            daemon.process.kill();
        }
        machine.is_up = false;
        self.net.close_listeners(machine.ip);
        self.net.disk_of(machine.ip).on_process_ended(is_power_lost, is_torn);
    }

    fn processes(&self, index: usize) -> impl Iterator<Item = &DaemonProcess> {
        self.machines.get(index).into_iter().flat_map(|machine| &machine.processes)
    }

    /// Freezes a machine's processes, or resumes them.
    pub(crate) fn set_frozen(&self, index: usize, is_frozen: bool) {
        self.processes(index).for_each(|daemon| daemon.process.set_frozen(is_frozen));
    }

    /// Asks a machine's processes to shut down, as SIGTERM does.
    pub(crate) fn shut_down(&self, index: usize) {
        for daemon in self.processes(index) {
            #[expect(
                clippy::let_underscore_must_use,
                reason = "a process that has ended already needs no signal"
            )]
            let _ = daemon.lifecycle.shutdown.send(());
        }
    }

    /// Takes the machines whose processes have all ended without being killed, and marks them as down.
    pub(crate) fn take_ended(&mut self) -> Vec<usize> {
        let ended: Vec<usize> =
            (0..self.machines.len()).filter(|index| self.machines[*index].has_ended()).collect();
        for index in &ended {
            self.kill(*index, false, false);
        }
        ended
    }
}

/// A unique incarnation number for each start of each daemon, mixed like a hash; never 0.
fn incarnation(seed: u64, ip: Ipv4Addr, starts: u64, daemon: Daemon) -> u64 {
    let number = seed ^ (u64::from(u32::from(ip)) << 20 | starts << 2 | daemon as u64);
    let spread =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    spread | 1
}

async fn run(daemon: Daemon, settings: &str, lifecycle: Lifecycle, log: Logger) {
    let settings = match Settings::parse(settings) {
        Ok(settings) => settings,
        Err(report) => return slog::error!(log, "no settings"; "why" => format!("{report:?}")),
    };
    let ended = match daemon {
        Daemon::Proxy => violetyoke_proxy::daemon::run(settings, lifecycle, log.clone()).await,
        Daemon::Registry => violetyoke_registry::daemon::run(settings, lifecycle, log.clone()).await,
        Daemon::Store => violetyoke_store::daemon::run(settings, lifecycle, log.clone()).await,
    };
    if let Err(report) = ended {
        slog::error!(log, "ended"; "why" => format!("{report:?}"));
    }
}
