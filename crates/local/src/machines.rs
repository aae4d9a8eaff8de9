//! Machines: each an address of its own in 127.0.0.0/8, its processes real ones, its settings in a file.

use serde_json::json;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use violetyoke_rig::process::Process;

/// What stands where: zone and region of each machine.
pub struct Plan<'a> {
    pub cores: &'a [(&'a str, &'a str)],
    pub edges: &'a [(&'a str, &'a str)],
    pub platform: SocketAddr,
    /// Machines that may be lost at once.
    pub tolerance: u32,
}

pub struct Core {
    pub ip: Ipv4Addr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub registry: Process,
    pub store: Process,
}

pub struct Edge {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub proxy: Process,
}

/// A running system; its processes end and its folder goes when it is dropped.
pub struct System {
    pub folder: PathBuf,
    pub cores: Vec<Core>,
    pub edges: Vec<Edge>,
}

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Loopback hosts of this process that nobody else uses, and a port that is free on all of them.
fn hosts(count: usize) -> io::Result<(Vec<Ipv4Addr>, u16)> {
    let process = std::process::id();
    let (b, c) = ((251 + process / 250 % 4) as u8, (1 + process % 250) as u8);
    let first = NEXT.fetch_add(count as u32, Ordering::Relaxed);
    let host = |n: u32| Ipv4Addr::new(127, b, c, (2 + (first + n) % 250) as u8);
    let hosts: Vec<Ipv4Addr> = (0..count as u32).map(host).collect();
    for _ in 0..50 {
        let first = hosts.first().copied().unwrap_or(Ipv4Addr::LOCALHOST);
        let port = TcpListener::bind((first, 0))?.local_addr()?.port();
        let Some(last) = port.checked_add(20) else { continue };
        let free = |port: u16| hosts.iter().all(|host| TcpListener::bind((*host, port)).is_ok());
        if (port..=last).all(free) {
            return Ok((hosts, port));
        }
    }
    Err(io::Error::other("no free ports"))
}

impl System {
    /// Starts all processes; `program` is run with the name of a daemon as its first argument.
    pub fn start(program: &Path, plan: &Plan<'_>) -> io::Result<System> {
        let count = plan.cores.len() + plan.edges.len();
        let (hosts, port) = hosts(count)?;
        let folder = std::env::temp_dir().join(format!("screen-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (core_hosts, edge_hosts) = hosts.split_at(plan.cores.len());
        let at = |host: Ipv4Addr, offset: u16| SocketAddr::from((host, port + offset));
        let seeds: Vec<String> = core_hosts.iter().take(3).map(|host| at(*host, 0).to_string()).collect();
        let zones: serde_json::Map<String, serde_json::Value> = plan
            .cores
            .iter()
            .chain(plan.edges)
            .map(|(zone, region)| ((*zone).into(), (*region).into()))
            .collect();
        let settings = |name: &str, host: Ipv4Addr, place: (&str, &str), listen, folder: Option<PathBuf>| {
            json!({
                "self": {"node": name, "ip": host, "zone": place.0, "region": place.1, "bootstrap": true,
                         "counted": folder.is_some(), "data-dir": folder},
                "network": {"listen": listen, "internal-ports": [port + 5, port + 20], "seeds": seeds,
                            "zones": zones},
                "platform": {"cloud-api": {"address": plan.platform, "rate-per-s": 50, "lag-ms": 100}},
                "terms": {"fault-tolerance": {"machines": plan.tolerance, "zones": 1, "regions": 0},
                          "bounds": {"retry-ratio": 0.2, "retry-slack": 58, "grace-s": 6, "quota-slack": 20}}
            })
        };
        let start = |file: &Path, daemon: &str| {
            let mut command = Command::new(program);
            command.arg(daemon).env("VIOLETYOKE_CONFIG", file);
            Process::start(command)
        };
        let mut system = System { folder: folder.clone(), cores: Vec::new(), edges: Vec::new() };
        for (n, (host, place)) in core_hosts.iter().zip(plan.cores).enumerate() {
            let name = format!("core-{}", n + 1);
            let listen = json!({"control": at(*host, 0), "directory": at(*host, 1)});
            let file = folder.join(format!("{name}.json"));
            std::fs::write(
                &file,
                settings(&name, *host, *place, listen, Some(folder.join(&name))).to_string(),
            )?;
            system.cores.push(Core {
                ip: *host,
                control: at(*host, 0),
                directory: at(*host, 1),
                registry: start(&file, "registry")?,
                store: start(&file, "store")?,
            });
        }
        for (n, (host, place)) in edge_hosts.iter().zip(plan.edges).enumerate() {
            let name = format!("edge-{}", n + 1);
            let listen = json!({"front": at(*host, 2), "ready": at(*host, 3)});
            let file = folder.join(format!("{name}.json"));
            std::fs::write(&file, settings(&name, *host, *place, listen, None).to_string())?;
            let proxy = start(&file, "proxy")?;
            system.edges.push(Edge { name, front: at(*host, 2), ready: at(*host, 3), proxy });
        }
        Ok(system)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| core.control).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        // What is left of a run is of no use to anybody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
