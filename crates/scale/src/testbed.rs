//! The system of one step: processes, the platform's list, the simulated proxies.

use crate::documents::{backend, backend_id, configuration, TableSizes};
use crate::load::{ProxyLoad, Registries};
use crate::traffic::{MessageKind, Volume};
use crate::usage::{socket_bytes, usage, SocketBytes, Usage};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};
use violetyoke_local::client::send_command;
use violetyoke_local::{CoreMachine, Placement, Platform, System, Topology};
use violetyoke_rig::process::Process;
use violetyoke_rig::runtime_thread::RuntimeThread;

/// Entries on a page of the platform's list, as at the sites.
const PAGE_SIZE: usize = 50;
const REPLACE: &str = "/api/rpc?call=configuration.replace";
/// Internal ports, from a machine's control port on: the store's, and the registry's after it.
const STORE_PORT: u16 = 5;
const REGISTRY_PORT: u16 = 6;

/// How large a step's system is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Simulated proxies.
    pub simulated_proxies: usize,
    /// Real proxies.
    pub proxies: usize,
    /// Routes, tenants and backends.
    pub tables: TableSizes,
    /// Threads of simulated proxies.
    pub threads: usize,
}

/// The system of one step. Dropping it ends its processes and the simulated proxies.
pub struct Testbed {
    pub(crate) size: Size,
    pub(crate) system: System,
    pub(crate) load: ProxyLoad,
    pub(crate) platform: Platform,
    version: u64,
    _runtime: RuntimeThread,
}

/// A program of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The proxy.
    Proxy,
    /// The registry.
    Registry,
    /// The store.
    Store,
}

impl Role {
    pub(crate) const ALL: [Role; 3] = [Role::Registry, Role::Store, Role::Proxy];

    /// The name in figures.
    pub(crate) fn figure_name(self) -> &'static str {
        match self {
            Role::Proxy => "proxy",
            Role::Registry => "registry",
            Role::Store => "store",
        }
    }
}

/// What all have used up to a moment.
pub struct UsageSnapshot {
    pub(crate) at: Instant,
    by_role: BTreeMap<Role, BTreeMap<u32, Usage>>,
    messages: BTreeMap<MessageKind, Volume>,
    /// Bytes that registries have sent and received on connections that they opened to each other.
    pub(crate) between_registries: SocketBytes,
    /// The same of stores.
    pub(crate) between_stores: SocketBytes,
}

impl Testbed {
    /// Starts processes and sends the first configuration; the simulated proxies are started later.
    ///
    /// # Errors
    /// When something can't be started, or the configuration is not acknowledged.
    pub fn start(program: &Path, size: Size) -> io::Result<Testbed> {
        let runtime = RuntimeThread::start()?;
        let platform = Platform::with_page_size(runtime.handle(), PAGE_SIZE)?;
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
        let load = ProxyLoad::start(size.threads, &registries, size.simulated_proxies + size.proxies)?;
        let mut testbed = Testbed { size, system, load, platform, version: 0, _runtime: runtime };
        testbed.send_next_configuration()?;
        Ok(testbed)
    }

    /// The simulated proxies.
    #[must_use]
    pub fn load(&self) -> &ProxyLoad {
        &self.load
    }

    /// Sends the next configuration; how long until it was acknowledged.
    pub(crate) fn send_next_configuration(&mut self) -> io::Result<Duration> {
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
    pub(crate) fn configuration_bytes(&self) -> usize {
        configuration(self.size.tables, self.version).len()
    }

    fn processes(&self) -> impl Iterator<Item = (Role, &Process)> {
        let cores = self.system.cores.iter();
        let core = cores.flat_map(|core| [(Role::Registry, &core.registry), (Role::Store, &core.store)]);
        core.chain(self.system.edges.iter().map(|edge| (Role::Proxy, &edge.proxy)))
    }

    fn pids(&self, role: Role) -> Vec<u32> {
        self.processes().filter(|(of, _)| *of == role).filter_map(|(_, process)| process.id()).collect()
    }

    /// What all have used up to now.
    #[must_use]
    pub fn snapshot(&self) -> UsageSnapshot {
        let mut by_role: BTreeMap<Role, BTreeMap<u32, Usage>> = BTreeMap::new();
        for (role, process) in self.processes() {
            if let Some((pid, used)) = process.id().and_then(|pid| Some((pid, usage(pid)?))) {
                by_role.entry(role).or_default().insert(pid, used);
            }
        }
        let sockets = socket_bytes();
        let first_port = self.system.cores.first().map_or(0, |core| core.control.port());
        let total = |role: Role, port: u16| {
            let pids = self.pids(role);
            let of_role = sockets.iter().filter(|((pid, to), _)| *to == port && pids.contains(pid));
            of_role.fold(SocketBytes::default(), |sum, (_, bytes)| SocketBytes {
                sent: sum.sent + bytes.sent,
                received: sum.received + bytes.received,
            })
        };
        UsageSnapshot {
            at: Instant::now(),
            by_role,
            messages: self.load.observations().traffic.totals(),
            between_registries: total(Role::Registry, first_port + REGISTRY_PORT),
            between_stores: total(Role::Store, first_port + STORE_PORT),
        }
    }
}

impl UsageSnapshot {
    /// Processor time of a role since an earlier snapshot (s).
    #[must_use]
    pub fn cpu_since(&self, earlier: &UsageSnapshot, role: Role) -> f64 {
        let before = earlier.by_role.get(&role);
        let spent = |(pid, used): (&u32, &Usage)| {
            used.cpu_s - before.and_then(|before| before.get(pid)).map_or(0.0, |before| before.cpu_s)
        };
        self.by_role.get(&role).map_or(0.0, |now| now.iter().map(spent).sum())
    }

    /// The largest figure of a role's processes.
    pub(crate) fn max(&self, role: Role, figure: impl Fn(&Usage) -> f64) -> f64 {
        self.by_role.get(&role).map_or(0.0, |now| now.values().map(figure).fold(0.0, f64::max))
    }

    /// The sum of a figure over a role's processes.
    pub(crate) fn sum(&self, role: Role, figure: impl Fn(&Usage) -> f64) -> f64 {
        self.by_role.get(&role).map_or(0.0, |now| now.values().map(figure).sum())
    }

    /// Messages and bytes of a kind since an earlier snapshot.
    pub(crate) fn messages_since(&self, earlier: &UsageSnapshot, kind: MessageKind) -> Volume {
        let now = self.messages.get(&kind).copied().unwrap_or_default();
        now.since(earlier.messages.get(&kind).copied().unwrap_or_default())
    }
}
