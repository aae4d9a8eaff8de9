//! The emulated network: pipes with delays between machines that can be dark, frozen or cut off, one way or both.

mod pipes;

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
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use violetyoke_transport::environment::{Disk, Environment, Incoming};

use crate::disk::Platter;

thread_local! {
    /// The machine whose process is running.
    static RUNNING: Cell<Ipv4Addr> = const { Cell::new(Ipv4Addr::UNSPECIFIED) };
}

/// Runs something as a process of that machine.
pub fn as_machine<R>(ip: Ipv4Addr, run: impl FnOnce() -> R) -> R {
    let before = RUNNING.replace(ip);
    let result = run();
    RUNNING.set(before);
    result
}

/// Where a machine stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    pub zone: usize,
    pub region: usize,
}

/// Ways between places (ms, one way).
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    pub zone: f64,
    pub zones: f64,
    pub regions: f64,
}

/// Bytes that were carried between the system's machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    pub zone: u64,
    pub zones: u64,
    pub regions: u64,
}

pub struct Net {
    this: Weak<Net>,
    delays: Delays,
    places: RefCell<HashMap<Ipv4Addr, Place>>,
    listeners: RefCell<HashMap<SocketAddr, UnboundedSender<(DuplexStream, SocketAddr)>>>,
    dark: RefCell<HashSet<Ipv4Addr>>,
    /// How often each machine has lost its power: bytes of connections from before are nobody's.
    losses: RefCell<HashMap<Ipv4Addr, u64>>,
    /// Ways that carry nothing, from and to.
    cut: RefCell<HashSet<(Ipv4Addr, Ipv4Addr)>>,
    changed: Notify,
    disks: RefCell<HashMap<Ipv4Addr, Rc<Platter>>>,
    carried: Cell<Carried>,
    opened: Cell<u64>,
    /// Futures that belong to no machine.
    own: UnboundedSender<LocalBoxFuture<'static, ()>>,
}

impl Net {
    /// A network; its own futures have to be run by whoever makes it.
    pub fn new(
        delays: Delays,
    ) -> (Rc<Net>, tokio::sync::mpsc::UnboundedReceiver<LocalBoxFuture<'static, ()>>) {
        let (own, futures) = unbounded_channel();
        let net = Rc::new_cyclic(|this| Net {
            this: this.clone(),
            delays,
            places: RefCell::default(),
            listeners: RefCell::default(),
            dark: RefCell::default(),
            losses: RefCell::default(),
            cut: RefCell::default(),
            changed: Notify::new(),
            disks: RefCell::default(),
            carried: Cell::default(),
            opened: Cell::new(0),
            own,
        });
        (net, futures)
    }

    /// Runs a future that belongs to no process.
    pub fn spawn(&self, future: LocalBoxFuture<'static, ()>) {
        // The world ends with its futures.
        let _ = self.own.send(future);
    }

    pub fn place(&self, ip: Ipv4Addr, place: Place) {
        self.places.borrow_mut().insert(ip, place);
    }

    pub fn carried(&self) -> Carried {
        self.carried.get()
    }

    /// The disk of a machine.
    pub fn platter(&self, ip: Ipv4Addr) -> Rc<Platter> {
        self.disks.borrow_mut().entry(ip).or_default().clone()
    }

    /// A machine without power: nothing comes from it, not even an end.
    pub fn dark(&self, ip: Ipv4Addr, dark: bool) {
        if dark {
            self.dark.borrow_mut().insert(ip);
            *self.losses.borrow_mut().entry(ip).or_default() += 1;
        } else {
            self.dark.borrow_mut().remove(&ip);
        }
        self.changed.notify_waiters();
    }

    /// Nothing listens there any more.
    pub fn silence(&self, ip: Ipv4Addr) {
        self.listeners.borrow_mut().retain(|at, _| at.ip() != IpAddr::V4(ip));
    }

    pub fn cut(&self, from: Ipv4Addr, to: Ipv4Addr, cut: bool) {
        if cut {
            self.cut.borrow_mut().insert((from, to));
        } else {
            self.cut.borrow_mut().remove(&(from, to));
        }
        self.changed.notify_waiters();
    }

    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    fn passes(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let dark = self.dark.borrow();
        !dark.contains(&from) && !dark.contains(&to) && !self.cut.borrow().contains(&(from, to))
    }

    fn losses(&self, ends: [Ipv4Addr; 2]) -> u64 {
        let losses = self.losses.borrow();
        ends.iter().filter_map(|ip| losses.get(ip)).sum()
    }

    async fn passable(&self, from: Ipv4Addr, to: Ipv4Addr) {
        loop {
            let changed = self.changed.notified();
            if self.passes(from, to) {
                return;
            }
            changed.await;
        }
    }

    fn delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let places = self.places.borrow();
        let (from, to) =
            (places.get(&from).copied().unwrap_or_default(), places.get(&to).copied().unwrap_or_default());
        let ms = match (from.zone == to.zone, from.region == to.region) {
            (true, _) => self.delays.zone,
            (_, true) => self.delays.zones,
            _ => self.delays.regions,
        };
        Duration::from_secs_f64(ms / 1000.0)
    }

    fn count(&self, from: Ipv4Addr, to: Ipv4Addr, bytes: usize) {
        let places = self.places.borrow();
        let (Some(from), Some(to)) = (places.get(&from), places.get(&to)) else { return };
        let mut carried = self.carried.get();
        let figure = match (from.zone == to.zone, from.region == to.region) {
            (true, _) => &mut carried.zone,
            (_, true) => &mut carried.zones,
            _ => &mut carried.regions,
        };
        *figure += bytes as u64;
        self.carried.set(carried);
    }
}

impl Environment for Net {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let from = RUNNING.get();
        match self.this.upgrade() {
            Some(net) => net.open(from, to).boxed_local(),
            None => pending().boxed_local(),
        }
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Incoming> {
        let (opened, taken) = unbounded_channel();
        self.listeners.borrow_mut().insert(at, opened);
        Ok(taken)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        self.platter(RUNNING.get())
    }
}
