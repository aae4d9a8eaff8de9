//! Plays a day: the shipped daemons, clients, backends, the platform and the operator, in virtual time on one thread.

use crate::backends::Backends;
use crate::clients::{self, Crowd};
use crate::day::{Day, Event, LEAD};
use crate::fleet::Fleet;
use crate::net::{Carried, Net, Place};
use crate::operator::Operator;
use crate::platform;
use crate::process::Process;
use crate::records::{Millis, Notes, Records, What as Ordered};
use crate::site::Site;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};
use violetyoke_transport::environment::install;

const PLATFORM: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(10, 201, 0, 1)), 8082);
const OPERATOR: Ipv4Addr = Ipv4Addr::new(10, 202, 0, 1);
/// The operator reads back for so long at the end.
const READS: Duration = Duration::from_secs(10);

/// All that a day's events act on.
pub struct World {
    pub site: Site,
    pub net: Rc<Net>,
    pub notes: Notes,
    pub fleet: RefCell<Fleet>,
    pub backends: Rc<Backends>,
    pub crowd: Rc<Crowd>,
    pub operator: Operator,
    pub version: Cell<u64>,
    /// Searches go to another service.
    pub moved: Cell<bool>,
    /// Routes beside those of the site.
    pub routes: Cell<usize>,
    pub seed: Cell<u64>,
}

/// What is left of a day.
pub struct Played {
    /// When the world began.
    pub begun: Instant,
    pub records: Records,
    pub carried: Carried,
    /// Syncs of all disks, and their bytes.
    pub synced: (u64, u64),
}

/// Plays a day.
pub fn play(site: &Site, day: &Day, log: Logger) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let (net, mut futures) = Net::new(site.delays);
    install(Some(net.clone()));
    let set = LocalSet::new();
    let played = set.block_on(&runtime, async move {
        spawn_local(async move {
            while let Some(future) = futures.recv().await {
                spawn_local(future);
            }
        });
        run(site, day, net, log).await
    });
    install(None);
    Ok(played)
}

async fn run(site: &Site, day: &Day, net: Rc<Net>, log: Logger) -> Played {
    let notes = Notes::new();
    net.place(OPERATOR, Place::default());
    if let std::net::IpAddr::V4(ip) = PLATFORM.ip() {
        net.place(ip, Place::default());
    }
    let backends = Backends::new(net.clone(), notes.clone(), site, day.seed);
    let _platform = platform::start(&net, PLATFORM, backends.clone(), site.lag_ms, notes.clone());
    let mut fleet = Fleet::new(net.clone(), site, PLATFORM, day.seed, log);
    let cores = fleet.cores();
    let directories =
        cores.iter().map(|n| (fleet.machines[*n].directory(), fleet.machines[*n].zone)).collect();
    let controls: Vec<SocketAddr> = cores.iter().map(|n| fleet.machines[*n].control()).collect();
    for n in 0..fleet.machines.len() {
        fleet.start(n);
    }
    fleet.started();
    let crowd = Rc::new(Crowd {
        site: site.clone(),
        notes: notes.clone(),
        directories,
        hot: Cell::new(None),
        joined: RefCell::default(),
        gone: RefCell::default(),
        ends: Cell::new(false),
    });
    let zones = site.zones.iter().map(|(name, _)| *name).collect();
    let world = Rc::new(World {
        site: site.clone(),
        net: net.clone(),
        notes: notes.clone(),
        fleet: RefCell::new(fleet),
        backends,
        crowd: crowd.clone(),
        operator: Operator { notes: notes.clone(), controls: Rc::new(controls), zones: Rc::new(zones) },
        version: Cell::new(0),
        moved: Cell::new(false),
        routes: Cell::new(0),
        seed: Cell::new(day.seed),
    });
    let first = world.clone();
    let _first = Process::start(&net, OPERATOR, async move {
        first.change(&[], false).await;
    });
    spawn_local(look_after(world.clone()));
    sleep(Duration::from_millis(LEAD)).await;
    let zones = if site.per_s > 0.0 { site.zones.len() } else { 0 };
    let clients: Vec<Process> =
        (0..zones).map(|zone| clients::start(&net, crowd.clone(), zone, day.seed)).collect();
    for Event { at, what } in day.events.clone() {
        let world = world.clone();
        // Orders go out from the operator's machine.
        Process::start(&net, OPERATOR, async move {
            sleep(Duration::from_millis(at)).await;
            world.happen(what).await;
        });
    }
    sleep(Duration::from_millis(day.length)).await;
    crowd.ends.set(true);
    sleep(Duration::from_secs(3)).await;
    drop(clients);
    let operator = world.operator.clone();
    let reader = Process::start(&net, OPERATOR, async move { operator.read_back(READS).await });
    while reader.running() {
        sleep(Duration::from_millis(100)).await;
    }
    let fleet = world.fleet.borrow();
    let synced = fleet.machines.iter().map(|it| net.platter(it.ip).written());
    let synced = synced.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    Played { begun: notes.begun(), records: notes.records.take(), carried: net.carried(), synced }
}

/// Processes that have ended are started again.
async fn look_after(world: Rc<World>) {
    loop {
        let (ended, pause) = {
            let fleet = &mut *world.fleet.borrow_mut();
            (fleet.look_after(), fleet.again_after())
        };
        for n in ended {
            let world = world.clone();
            spawn_local(async move {
                sleep(pause).await;
                world.fleet.borrow_mut().start(n);
            });
        }
        sleep(Duration::from_millis(50)).await;
    }
}

impl World {
    pub fn draw(&self) -> u64 {
        let next = self.seed.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.seed.set(next);
        next >> 16
    }

    /// Sends the next version, with what has changed by now; its place among the orders.
    pub async fn change(&self, more: &[String], moved: bool) -> usize {
        self.version.set(self.version.get() + 1 + self.draw() % 4);
        let version = self.version.get();
        let what = self.configuration(version, more, moved);
        self.operator.order(what, self.draw()).await
    }

    pub fn configuration(&self, version: u64, more: &[String], moved: bool) -> Ordered {
        let (joined, gone) = (self.crowd.joined.borrow().clone(), self.crowd.gone.borrow().clone());
        let joined: Vec<String> = joined.into_iter().chain(more.iter().cloned()).collect();
        let mut site = self.site.clone();
        if moved {
            site.kinds[0].service = 2;
        }
        let text = site.configuration(version, &joined, &gone, self.routes.get()).to_string();
        let standing = (0..site.tenants).filter(|n| !gone.contains(n)).map(crate::site::key);
        let keys = standing.chain(joined.iter().map(|name| format!("key-{name}"))).collect();
        let services = site.kinds.iter().map(|kind| kind.service).collect();
        Ordered::Configuration { version, text, keys, services, valid: true }
    }

    pub fn trouble(&self, span: Millis) {
        let now = self.notes.now();
        self.notes.with(|records| records.troubles.push((now, now + span)));
    }
}
