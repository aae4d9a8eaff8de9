//! The emulated network: connections with delays. Machines can lose power or be partitioned in one or both directions.

mod connections;

use crate::emulated_disk::EmulatedDisk;
use futures_util::future::{pending, LocalBoxFuture};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use violetyoke_transport::environment::{AppendLog, Disk, Environment, Incoming};

thread_local! {
    /// The machine whose process is running.
    static CURRENT_MACHINE: Cell<Ipv4Addr> = const { Cell::new(Ipv4Addr::UNSPECIFIED) };
}

/// Runs a function as part of a process on a machine: it uses the machine's address and disk.
pub(crate) fn as_machine<R>(ip: Ipv4Addr, run: impl FnOnce() -> R) -> R {
    let before = CURRENT_MACHINE.replace(ip);
    let result = run();
    CURRENT_MACHINE.set(before);
    result
}

/// The location of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) zone: usize,
    pub(crate) region: usize,
}

/// One-way delays (ms).
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Between machines of one zone.
    pub within_zone_ms: f64,
    /// Between zones of one region.
    pub between_zones_ms: f64,
    /// Between regions.
    pub between_regions_ms: f64,
}

/// Bytes carried by the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Between machines of one zone.
    pub within_zones: u64,
    /// Between zones of one region.
    pub between_zones: u64,
    /// Between regions.
    pub between_regions: u64,
}

/// Futures that belong to no process. The creator of the network has to run them.
pub(crate) type BackgroundTasks = UnboundedReceiver<LocalBoxFuture<'static, ()>>;

/// The network of a simulation, with the disks of its machines.
pub(crate) struct Net {
    this: Weak<Net>,
    delays: Delays,
    locations: RefCell<HashMap<Ipv4Addr, Location>>,
    listeners: RefCell<HashMap<SocketAddr, UnboundedSender<(DuplexStream, SocketAddr)>>>,
    without_power: RefCell<HashSet<Ipv4Addr>>,
    /// How often each machine has lost power. Bytes of connections opened before the last loss are dropped.
    power_losses: RefCell<HashMap<Ipv4Addr, u64>>,
    /// Pairs of sender and receiver between which nothing is delivered.
    partitioned: RefCell<HashSet<(Ipv4Addr, Ipv4Addr)>>,
    changed: Notify,
    disks: RefCell<HashMap<Ipv4Addr, Rc<EmulatedDisk>>>,
    traffic: Cell<Traffic>,
    /// The number of connections opened, from which client ports are assigned.
    connections: Cell<u64>,
    /// Futures that belong to no process.
    background_tasks: UnboundedSender<LocalBoxFuture<'static, ()>>,
    /// The machines of processes that have ended by a panic, in that order.
    panicked: Rc<RefCell<Vec<Ipv4Addr>>>,
}

impl Net {
    /// Creates a network, and returns its background tasks, which the caller has to run.
    pub(crate) fn new(delays: Delays) -> (Rc<Net>, BackgroundTasks) {
        let (background_tasks, futures) = unbounded_channel();
        let net = Rc::new_cyclic(|this| Net {
            this: this.clone(),
            delays,
            locations: RefCell::default(),
            listeners: RefCell::default(),
            without_power: RefCell::default(),
            power_losses: RefCell::default(),
            partitioned: RefCell::default(),
            changed: Notify::new(),
            disks: RefCell::default(),
            traffic: Cell::default(),
            connections: Cell::new(0),
            background_tasks,
            panicked: Rc::default(),
        });
        (net, futures)
    }

    /// The machines of processes that have ended by a panic.
    pub(crate) fn panicked(&self) -> Rc<RefCell<Vec<Ipv4Addr>>> {
        self.panicked.clone()
    }

    /// Runs a future that belongs to no process.
    pub(crate) fn spawn(&self, future: LocalBoxFuture<'static, ()>) {
        #[expect(
            clippy::let_underscore_must_use,
            reason = "the receiver ends with the simulation, and so do its futures"
        )]
        let _ = self.background_tasks.send(future);
    }

    pub(crate) fn set_location(&self, ip: Ipv4Addr, location: Location) {
        self.locations.borrow_mut().insert(ip, location);
    }

    pub(crate) fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// The disk of a machine.
    pub(crate) fn disk_of(&self, ip: Ipv4Addr) -> Rc<EmulatedDisk> {
        self.disks.borrow_mut().entry(ip).or_default().clone()
    }

    /// Cuts a machine's power, or restores it. Without power, nothing is delivered from the machine, not even the end
    /// of a connection.
    pub(crate) fn set_power_lost(&self, ip: Ipv4Addr, is_lost: bool) {
        if is_lost {
            self.without_power.borrow_mut().insert(ip);
            *self.power_losses.borrow_mut().entry(ip).or_default() += 1;
        } else {
            self.without_power.borrow_mut().remove(&ip);
        }
        self.changed.notify_waiters();
    }

    /// Closes all listeners of a machine.
    pub(crate) fn close_listeners(&self, ip: Ipv4Addr) {
        self.listeners.borrow_mut().retain(|at, _| at.ip() != IpAddr::V4(ip));
    }

    /// Blocks delivery from one machine to another, or unblocks it; delayed bytes are then delivered.
    pub(crate) fn set_partitioned(&self, from: Ipv4Addr, to: Ipv4Addr, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned.borrow_mut().insert((from, to));
        } else {
            self.partitioned.borrow_mut().remove(&(from, to));
        }
        self.changed.notify_waiters();
    }

    fn is_reachable(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let without_power = self.without_power.borrow();
        !without_power.contains(&from)
            && !without_power.contains(&to)
            && !self.partitioned.borrow().contains(&(from, to))
    }

    fn power_losses(&self, ends: [Ipv4Addr; 2]) -> u64 {
        let power_losses = self.power_losses.borrow();
        ends.iter().filter_map(|ip| power_losses.get(ip)).sum()
    }

    async fn wait_until_reachable(&self, from: Ipv4Addr, to: Ipv4Addr) {
        loop {
            let changed = self.changed.notified();
            if self.is_reachable(from, to) {
                return;
            }
            changed.await;
        }
    }

    fn delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let locations = self.locations.borrow();
        let (from, to) = (
            locations.get(&from).copied().unwrap_or_default(),
            locations.get(&to).copied().unwrap_or_default(),
        );
        let ms = match (from.zone == to.zone, from.region == to.region) {
            (true, _) => self.delays.within_zone_ms,
            (_, true) => self.delays.between_zones_ms,
            _ => self.delays.between_regions_ms,
        };
        Duration::from_secs_f64(ms / 1000.0)
    }

    fn count(&self, from: Ipv4Addr, to: Ipv4Addr, bytes: usize) {
        let locations = self.locations.borrow();
        let (Some(from), Some(to)) = (locations.get(&from), locations.get(&to)) else { return };
        let mut traffic = self.traffic.get();
        let figure = match (from.zone == to.zone, from.region == to.region) {
            (true, _) => &mut traffic.within_zones,
            (_, true) => &mut traffic.between_zones,
            _ => &mut traffic.between_regions,
        };
        *figure += bytes as u64;
        self.traffic.set(traffic);
    }
}

impl Environment for Net {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let from = CURRENT_MACHINE.get();
        match self.this.upgrade() {
            Some(net) => net.open(from, to).boxed_local(),
            None => pending().boxed_local(),
        }
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Incoming> {
        let (connections, incoming) = unbounded_channel();
        self.listeners.borrow_mut().insert(at, connections);
        Ok(incoming)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        self.disk_of(CURRENT_MACHINE.get())
    }

    fn log(&self, _folder: &Path) -> Rc<dyn AppendLog> {
        self.disk_of(CURRENT_MACHINE.get())
    }
}
