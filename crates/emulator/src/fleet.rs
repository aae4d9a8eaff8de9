//! The system's machines: the shipped daemons as processes, killed, frozen and started again as days want it.

use crate::net::{Net, Place};
use crate::process::Process;
use crate::site::Site;
use serde_json::{json, Value};
use slog::Logger;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::Settings;
use violetyoke_transport::lifecycle::{Lifecycle, LifecycleSender};

const CONTROL: u16 = 8083;
const DIRECTORY: u16 = 8084;
const FRONT: u16 = 8089;
const READY: u16 = 8085;
const INNER: (u16, u16) = (7460, 7475);
/// A process that has ended is started again after this.
const AGAIN: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    Proxy,
    Registry,
    Store,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub core: bool,
    name: String,
    processes: Vec<(Daemon, Process, LifecycleSender)>,
    pub up: bool,
    lives: u64,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL).into()
    }

    pub fn directory(&self) -> SocketAddr {
        (self.ip, DIRECTORY).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }
}

pub struct Fleet {
    pub net: Rc<Net>,
    pub machines: Vec<Machine>,
    site: Site,
    platform: SocketAddr,
    seed: u64,
    log: Logger,
    first: bool,
}

impl Fleet {
    pub fn new(net: Rc<Net>, site: &Site, platform: SocketAddr, seed: u64, log: Logger) -> Fleet {
        let mut machines = Vec::new();
        for (core, counts) in [(true, &site.cores), (false, &site.edges)] {
            for (zone, count) in counts.iter().enumerate() {
                for n in 0..*count {
                    let number = machines.len() + 1;
                    let ip = Ipv4Addr::new(10, 1, (number / 200) as u8, (number % 200 + 1) as u8);
                    net.place(ip, Place { zone, region: site.region(zone) });
                    let class = if core { "core" } else { "edge" };
                    let name = format!("{class}-{}-{}", site.zones[zone].0, n + 1);
                    machines.push(Machine {
                        ip,
                        zone,
                        core,
                        name,
                        processes: Vec::new(),
                        up: false,
                        lives: 0,
                    });
                }
            }
        }
        for machine in machines.iter().filter(|machine| machine.core) {
            let platter = net.platter(machine.ip);
            platter.takes(Duration::from_secs_f64(site.sync_ms / 1000.0));
            platter.lies(site.disks_lie);
        }
        Fleet { net, machines, site: site.clone(), platform, seed, log, first: true }
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|n| self.machines[*n].core).collect()
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|n| !self.machines[*n].core).collect()
    }

    pub fn of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.machines.len()).filter(|n| self.machines[*n].zone == zone).collect()
    }

    fn settings(&self, machine: &Machine) -> Value {
        let at = |port: u16| SocketAddr::from((machine.ip, port));
        let seeds: Vec<String> = self
            .cores()
            .iter()
            .take(3)
            .map(|n| SocketAddr::from((self.machines[*n].ip, CONTROL)).to_string())
            .collect();
        let zones: serde_json::Map<String, Value> = self
            .site
            .zones
            .iter()
            .map(|(zone, region)| ((*zone).into(), self.site.regions[*region].into()))
            .collect();
        let listen = match machine.core {
            true => json!({"control": at(CONTROL), "directory": at(DIRECTORY)}),
            false => json!({"front": at(FRONT), "ready": at(READY)}),
        };
        let bounds = &self.site.bounds;
        json!({
            "self": {"node": machine.name, "ip": machine.ip, "zone": self.site.zones[machine.zone].0,
                     "region": self.site.regions[self.site.region(machine.zone)], "bootstrap": self.first,
                     "counted": machine.core, "data-dir": machine.core.then_some("/disk")},
            "network": {"listen": listen, "internal-ports": [INNER.0, INNER.1], "seeds": seeds, "zones": zones},
            "platform": {"cloud-api": {"address": self.platform, "rate-per-s": 47, "lag-ms": self.site.lag_ms}},
            "terms": {"fault-tolerance": {"machines": self.site.tolerance, "zones": 1, "regions": 0},
                      "bounds": {"retry-ratio": bounds.retry_ratio, "retry-window-s": bounds.retry_window_s,
                                 "retry-slack": bounds.retry_slack, "quota-slack": bounds.quota_slack,
                                 "cold-overshoot": bounds.cold_overshoot, "cold-slack": bounds.cold_slack}}
        })
    }

    /// Starts a machine's processes.
    pub fn start(&mut self, n: usize) {
        let Some(machine) = self.machines.get(n).filter(|machine| !machine.up) else { return };
        let text = self.settings(machine).to_string();
        let (ip, name, lives) = (machine.ip, machine.name.clone(), machine.lives + 1);
        let daemons: &[Daemon] =
            if machine.core { &[Daemon::Store, Daemon::Registry] } else { &[Daemon::Proxy] };
        self.net.dark(ip, false);
        let processes = daemons.iter().map(|daemon| {
            let log = self.log.new(slog::o!("node" => name.clone(), "daemon" => format!("{daemon:?}")));
            let drawn = self.seed ^ (u64::from(u32::from(ip)) << 20 | lives << 2 | *daemon as u64);
            // Each number is another's: spread as a hash spreads them.
            let drawn =
                drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let (life, words) = Lifecycle::new(drawn | 1);
            let (daemon, text) = (*daemon, text.clone());
            let body = async move { run(daemon, &text, life, log).await };
            (daemon, Process::start(&self.net, ip, body), words)
        });
        let processes = processes.collect();
        let machine = &mut self.machines[n];
        (machine.processes, machine.up, machine.lives) = (processes, true, lives);
    }

    /// All machines have started once.
    pub fn started(&mut self) {
        self.first = false;
    }

    /// Ends a machine's processes; with its power, nothing more comes from it.
    pub fn end(&mut self, n: usize, power: bool, torn: bool) {
        let Some(machine) = self.machines.get_mut(n) else { return };
        if power {
            self.net.dark(machine.ip, true);
        }
        for (_, process, _) in machine.processes.drain(..) {
            process.kill();
        }
        machine.up = false;
        self.net.silence(machine.ip);
        self.net.platter(machine.ip).ended(power, torn);
    }

    pub fn freeze(&mut self, n: usize, frozen: bool) {
        for (_, process, _) in self.machines.get(n).iter().flat_map(|machine| &machine.processes) {
            process.freeze(frozen);
        }
    }

    /// Tells a machine's processes to leave.
    pub fn leave(&self, n: usize) {
        for (.., words) in self.machines.get(n).iter().flat_map(|machine| &machine.processes) {
            // One that has ended already needs no word.
            let _ = words.shutdown.send(());
        }
    }

    /// Processes that have ended by themselves, or as they were told to, are started again.
    pub fn look_after(&mut self) -> Vec<usize> {
        let ended = |machine: &Machine| {
            machine.up
                && !machine.processes.is_empty()
                && machine.processes.iter().all(|(_, it, _)| !it.running())
        };
        let ended: Vec<usize> = (0..self.machines.len()).filter(|n| ended(&self.machines[*n])).collect();
        for n in &ended {
            self.end(*n, false, false);
        }
        ended
    }

    pub fn again_after(&self) -> Duration {
        AGAIN
    }
}

async fn run(daemon: Daemon, text: &str, life: Lifecycle, log: Logger) {
    let settings = match Settings::parse(text) {
        Ok(settings) => settings,
        Err(report) => return slog::error!(log, "no settings"; "why" => format!("{report:?}")),
    };
    let ended = match daemon {
        Daemon::Proxy => violetyoke_proxy::daemon::run(settings, life, log.clone()).await,
        Daemon::Registry => violetyoke_registry::daemon::run(settings, life, log.clone()).await,
        Daemon::Store => violetyoke_store::daemon::run(settings, life, log.clone()).await,
    };
    if let Err(report) = ended {
        slog::error!(log, "ended"; "why" => format!("{report:?}"));
    }
}
