//! The system of one step: processes, the platform's list, the crowd of hollow ingresses.

use crate::crowd::{Crowd, Registries};
use crate::documents::{backend, backend_id, configuration, Tables};
use crate::probe::{socket_bytes, usage, Usage};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use violetyoke_local::client::send_command;
use violetyoke_local::{CoreMachine, Placement, Platform, System, Topology};
use violetyoke_rig::driven::Driven;
use violetyoke_rig::process::Process;

/// Entries on a page of the platform's list, as at the sites.
const PAGE: usize = 50;
const REPLACE: &str = "/api/rpc?call=configuration.replace";
/// Inner ports: the store's, and the registry's after it (`violetyoke_local`: from five above the control port on).
const STORE_PORT: u16 = 5;
const REGISTRY_PORT: u16 = 6;

/// What a step runs.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub ingresses: usize,
    pub proxies: usize,
    pub tables: Tables,
    pub threads: usize,
}

pub struct Stage {
    pub size: Size,
    pub system: System,
    pub crowd: Crowd,
    pub platform: Platform,
    version: u64,
    _driven: Driven,
}

/// What was spent so far.
pub struct Look {
    pub at: Instant,
    pub roles: BTreeMap<&'static str, BTreeMap<u32, Usage>>,
    pub messages: BTreeMap<&'static str, (u64, u64)>,
    /// Bytes that registries sent and received, by whom they connected to.
    pub between_registries: (u64, u64),
    pub stores_written: (u64, u64),
}

impl Stage {
    /// Starts processes and sends the first configuration; the hollow ingresses begin later.
    pub fn start(program: &Path, size: Size) -> io::Result<Stage> {
        let driven = Driven::start()?;
        let platform = Platform::with_page_size(driven.handle(), PAGE)?;
        for number in 0..size.tables.backends {
            platform.set(&backend_id(number), backend(size.tables, number, "ready"));
        }
        let edges = vec![Placement::new("a", "west"); size.proxies];
        let cores = ["a", "a", "b"].map(|zone| Placement::new(zone, "west"));
        let topology = Topology {
            cores: &cores,
            edges: &edges,
            platform: platform.address,
            tolerated_machine_losses: 1,
        };
        let system = System::start(program, &topology)?;
        let address =
            |core: &CoreMachine| (core.ip, SocketAddrV4::new(core.ip, core.control.port() + REGISTRY_PORT));
        let registries: Registries = system.cores.iter().map(address).collect();
        let crowd = Crowd::start(size.threads, &registries)?;
        crowd.report.members.store(size.ingresses + size.proxies, Ordering::Relaxed);
        let mut stage = Stage { size, system, crowd, platform, version: 0, _driven: driven };
        stage.change().map(|_| stage)
    }

    /// Sends the next configuration; how long until it was acknowledged.
    pub fn change(&mut self) -> io::Result<Duration> {
        self.version += 1;
        let text = configuration(self.size.tables, self.version);
        let since = Instant::now();
        let answer = send_command(&self.system.control_addresses(), REPLACE, text.as_bytes());
        match answer.map(|answer| answer.status()) {
            Some(200) => Ok(since.elapsed()),
            Some(status) => Err(io::Error::other(format!("configuration of {} bytes: {status}", text.len()))),
            None => {
                Err(io::Error::other(format!("configuration of {} bytes: no answer in 20 s", text.len())))
            }
        }
    }

    /// The bytes of a configuration at this size.
    pub fn document_bytes(&self) -> usize {
        configuration(self.size.tables, self.version).len()
    }

    fn processes(&self) -> impl Iterator<Item = (&'static str, &Process)> {
        let cores = self.system.cores.iter();
        let core = cores.flat_map(|core| [("registry", &core.registry), ("store", &core.store)]);
        core.chain(self.system.edges.iter().map(|edge| ("proxy", &edge.proxy)))
    }

    /// Ids of the processes of a role.
    pub fn pids(&self, role: &str) -> Vec<u32> {
        self.processes().filter(|(of, _)| *of == role).filter_map(|(_, process)| process.id()).collect()
    }

    /// What all have spent up to now.
    pub fn look(&self) -> Look {
        let mut roles: BTreeMap<&'static str, BTreeMap<u32, Usage>> = BTreeMap::new();
        for (role, process) in self.processes() {
            if let Some((pid, used)) = process.id().and_then(|pid| Some((pid, usage(pid)?))) {
                roles.entry(role).or_default().insert(pid, used);
            }
        }
        let sockets = socket_bytes();
        let port = self.system.cores.first().map_or(0, |core| core.control.port());
        let total = |role: &str, port: u16| {
            let pids = self.pids(role);
            let of = sockets.iter().filter(|((pid, to), _)| *to == port && pids.contains(pid));
            of.fold((0, 0), |sum, (_, bytes)| (sum.0 + bytes.0, sum.1 + bytes.1))
        };
        Look {
            at: Instant::now(),
            roles,
            messages: self.crowd.report.traffic.totals(),
            between_registries: total("registry", port + REGISTRY_PORT),
            stores_written: total("store", port + STORE_PORT),
        }
    }

    /// Memory of all processes together (MB), this one too.
    pub fn memory_mb(&self) -> f64 {
        let own = usage(std::process::id()).map_or(0.0, |used| used.resident_mb);
        let children = self.processes().filter_map(|(_, process)| usage(process.id()?));
        children.map(|used| used.resident_mb).sum::<f64>() + own
    }
}

impl Look {
    /// Processor time of a role since an earlier look (s).
    pub fn cpu_since(&self, earlier: &Look, role: &str) -> f64 {
        let before = earlier.roles.get(role);
        let spent = |(pid, used): (&u32, &Usage)| {
            used.cpu_s - before.and_then(|before| before.get(pid)).map_or(0.0, |before| before.cpu_s)
        };
        self.roles.get(role).map_or(0.0, |now| now.iter().map(spent).sum())
    }

    pub fn most(&self, role: &str, figure: impl Fn(&Usage) -> f64) -> f64 {
        self.roles.get(role).map_or(0.0, |now| now.values().map(figure).fold(0.0, f64::max))
    }

    pub fn sum(&self, role: &str, figure: impl Fn(&Usage) -> f64) -> f64 {
        self.roles.get(role).map_or(0.0, |now| now.values().map(figure).sum())
    }

    /// Messages and bytes of a kind since an earlier look.
    pub fn messages_since(&self, earlier: &Look, kind: &str) -> (u64, u64) {
        let now = self.messages.get(kind).copied().unwrap_or_default();
        let before = earlier.messages.get(kind).copied().unwrap_or_default();
        (now.0.saturating_sub(before.0), now.1.saturating_sub(before.1))
    }
}
