//! A running system. Each machine has its own loopback address, real processes and a settings file.

use crate::programs::{Daemon, Programs};
use serde_json::{json, Map, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use violetyoke_rig::process::Process;

/// Number of ports of each machine, counted from its first port: four public ones and the internal ones.
const PORTS: u16 = 20;
const CONTROL_PORT: u16 = 0;
const DIRECTORY_PORT: u16 = 1;
const FRONT_PORT: u16 = 2;
const READY_PORT: u16 = 3;
const INTERNAL_PORT: u16 = 5;

/// Maximum number of core machines that are seeds.
const SEEDS: usize = 3;

/// The zone and region of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement<'a> {
    /// The zone.
    pub zone: &'a str,
    /// The region that the zone belongs to.
    pub region: &'a str,
}

impl<'a> Placement<'a> {
    /// A machine in a zone of a region.
    #[must_use]
    pub const fn new(zone: &'a str, region: &'a str) -> Placement<'a> {
        Placement { zone, region }
    }
}

/// The machines of a system.
#[derive(Clone, Copy, Debug)]
pub struct Topology<'a> {
    /// Machines with a registry and a store.
    pub cores: &'a [Placement<'a>],
    /// Machines with a proxy.
    pub edges: &'a [Placement<'a>],
    /// The address of the platform's list of backends.
    pub platform: SocketAddr,
    /// Number of machines that may be lost at once.
    pub tolerated_machine_losses: u32,
}

/// A machine with a registry and a store.
pub struct CoreMachine {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The address at which its registry accepts operators' commands.
    pub control: SocketAddr,
    /// The address at which its registry answers clients that look for an edge.
    pub directory: SocketAddr,
    /// The file of its settings.
    pub settings: PathBuf,
    /// The folder of its store's files.
    pub data: PathBuf,
    /// The process of its registry.
    pub registry: Process,
    /// The process of its store.
    pub store: Process,
}

/// A machine with a proxy.
pub struct EdgeMachine {
    /// Its name in the settings.
    pub name: String,
    /// The address at which its proxy accepts clients' requests.
    pub front: SocketAddr,
    /// The address at which its proxy reports whether it is ready.
    pub ready: SocketAddr,
    /// The file of its settings.
    pub settings: PathBuf,
    /// The process of its proxy.
    pub proxy: Process,
}

/// A running system. Dropping it ends its processes and removes its folder.
pub struct System {
    /// The folder of the settings and the stores' files.
    pub folder: PathBuf,
    /// The core machines, in the order of the topology.
    pub cores: Vec<CoreMachine>,
    /// The edge machines, in the order of the topology.
    pub edges: Vec<EdgeMachine>,
}

impl System {
    /// Starts all processes. `program` is run with `proxy`, `registry` or `store` as its first argument.
    ///
    /// # Errors
    /// When no ports are free, a file of settings can't be written, or a process can't be started.
    pub fn start(program: &Path, topology: &Topology<'_>) -> io::Result<System> {
        System::start_from(&Programs::Single(program.to_owned()), topology)
    }

    /// Starts all processes from the programs of one build.
    ///
    /// # Errors
    /// As [`System::start`].
    pub fn start_from(programs: &Programs, topology: &Topology<'_>) -> io::Result<System> {
        let launcher = Launcher::new(programs, topology)?;
        let (core_hosts, edge_hosts) = launcher.hosts.split_at(topology.cores.len());
        let mut system = System { folder: launcher.folder.clone(), cores: Vec::new(), edges: Vec::new() };
        for (index, (host, placement)) in core_hosts.iter().zip(topology.cores).enumerate() {
            let core = launcher.start_core(&format!("core-{}", index + 1), *host, *placement)?;
            system.cores.push(core);
        }
        for (index, (host, placement)) in edge_hosts.iter().zip(topology.edges).enumerate() {
            let edge = launcher.start_edge(format!("edge-{}", index + 1), *host, *placement)?;
            system.edges.push(edge);
        }
        Ok(system)
    }

    /// The addresses at which the registries accept operators' commands.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| core.control).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        #[expect(clippy::let_underscore_must_use, reason = "files that stay behind harm no later run")]
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The values that the start of each process needs.
struct Launcher<'a> {
    programs: &'a Programs,
    topology: &'a Topology<'a>,
    folder: PathBuf,
    /// The address of each machine, core machines first.
    hosts: Vec<Ipv4Addr>,
    /// The first port of each machine.
    first_port: u16,
}

impl<'a> Launcher<'a> {
    fn new(programs: &'a Programs, topology: &'a Topology<'a>) -> io::Result<Launcher<'a>> {
        let (hosts, first_port) = free_hosts(topology.cores.len() + topology.edges.len())?;
        let name = format!("violetyoke-local-{}-{first_port}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Launcher { programs, topology, folder, hosts, first_port })
    }

    fn address(&self, host: Ipv4Addr, port: u16) -> SocketAddr {
        SocketAddr::from((host, self.first_port + port))
    }

    fn start_core(&self, name: &str, host: Ipv4Addr, placement: Placement<'_>) -> io::Result<CoreMachine> {
        let (control, directory) = (self.address(host, CONTROL_PORT), self.address(host, DIRECTORY_PORT));
        let data = self.folder.join(name);
        let machine = json!({
            "node": name, "ip": host, "zone": placement.zone, "region": placement.region, "bootstrap": true,
            "counted": true, "data-dir": data,
        });
        let settings =
            self.write_settings(name, &machine, &json!({"control": control, "directory": directory}))?;
        let registry = self.start_process(Daemon::Registry, &settings)?;
        let store = self.start_process(Daemon::Store, &settings)?;
        Ok(CoreMachine { ip: host, control, directory, settings, data, registry, store })
    }

    fn start_edge(&self, name: String, host: Ipv4Addr, placement: Placement<'_>) -> io::Result<EdgeMachine> {
        let (front, ready) = (self.address(host, FRONT_PORT), self.address(host, READY_PORT));
        let machine = json!({
            "node": name, "ip": host, "zone": placement.zone, "region": placement.region, "bootstrap": true,
            "counted": false, "data-dir": null,
        });
        let settings = self.write_settings(&name, &machine, &json!({"front": front, "ready": ready}))?;
        let proxy = self.start_process(Daemon::Proxy, &settings)?;
        Ok(EdgeMachine { name, front, ready, settings, proxy })
    }

    fn write_settings(&self, name: &str, machine: &Value, listen: &Value) -> io::Result<PathBuf> {
        let Topology { cores, edges, platform, tolerated_machine_losses } = *self.topology;
        let seed = |host: &Ipv4Addr| self.address(*host, CONTROL_PORT).to_string();
        let seeds: Vec<String> = self.hosts.iter().take(cores.len().min(SEEDS)).map(seed).collect();
        let placements = cores.iter().chain(edges);
        let zones: Map<String, Value> = placements.map(|at| (at.zone.into(), at.region.into())).collect();
        let settings = json!({
            "self": machine,
            "network": {"listen": listen, "seeds": seeds, "zones": zones,
                        "internal-ports": [self.first_port + INTERNAL_PORT, self.first_port + PORTS]},
            "platform": {"cloud-api": {"address": platform, "rate-per-s": 50, "lag-ms": 100}},
            "terms": {"fault-tolerance": {"machines": tolerated_machine_losses, "zones": 1, "regions": 0},
                      "bounds": {"retry-ratio": 0.2, "retry-slack": 58, "grace-s": 6, "quota-slack": 20}}
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        Ok(file)
    }

    fn start_process(&self, daemon: Daemon, settings: &Path) -> io::Result<Process> {
        Process::start(self.programs.command(daemon, settings))
    }
}

/// Number of hosts that this process has allocated.
static HOSTS_IN_USE: AtomicU32 = AtomicU32::new(0);

/// Allocates loopback addresses that no other test on this machine uses, and a first port from which [`PORTS`] ports
/// are free on all of them.
fn free_hosts(count: usize) -> io::Result<(Vec<Ipv4Addr>, u16)> {
    let process = std::process::id();
    let (b, c) = ((251 + process / 250 % 4) as u8, (1 + process % 250) as u8);
    let first = HOSTS_IN_USE.fetch_add(count as u32, Ordering::Relaxed);
    let host = |n: u32| Ipv4Addr::new(127, b, c, (2 + (first + n) % 250) as u8);
    let hosts: Vec<Ipv4Addr> = (0..count as u32).map(host).collect();
    for _ in 0..50 {
        let first_host = hosts.first().copied().unwrap_or(Ipv4Addr::LOCALHOST);
        let first_port = TcpListener::bind((first_host, 0))?.local_addr()?.port();
        let Some(last_port) = first_port.checked_add(PORTS) else { continue };
        let is_free = |port: u16| hosts.iter().all(|host| TcpListener::bind((*host, port)).is_ok());
        if (first_port..=last_port).all(is_free) {
            return Ok((hosts, first_port));
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free ports on loopback addresses"))
}
