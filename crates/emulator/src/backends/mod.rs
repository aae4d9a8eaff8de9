//! Backends: lives with slots, queues and a pace; they note what reached them, and fail as days want it.

mod serving;

use crate::net::{Net, Place};
use crate::process::Process;
use crate::records::{Life, Millis, Notes};
use crate::site::Site;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::sync::Semaphore;

const PORT: u16 = 8080;
/// One life.
struct Backend {
    number: usize,
    id: String,
    service: usize,
    ip: Ipv4Addr,
    speed: f64,
    cold_until: Cell<Millis>,
    slots: Semaphore,
    waiting: Cell<usize>,
    rng: RefCell<Pcg64Mcg>,
    /// Of all answers, the part that is lost on the way.
    loses: Rc<Cell<f64>>,
    process: RefCell<Option<Process>>,
}

/// All backends, and the list of them that the platform gives.
pub struct Backends {
    net: Rc<Net>,
    notes: Notes,
    site: Site,
    lives: RefCell<BTreeMap<String, Rc<Backend>>>,
    /// Lines of the list, as they are now.
    lines: RefCell<BTreeMap<String, Value>>,
    next: Cell<u32>,
    seed: u64,
    pub loses: Rc<Cell<f64>>,
}

impl Backends {
    pub fn new(net: Rc<Net>, notes: Notes, site: &Site, seed: u64) -> Rc<Backends> {
        let backends = Rc::new(Backends {
            net,
            notes,
            site: site.clone(),
            lives: RefCell::default(),
            lines: RefCell::default(),
            next: Cell::new(0),
            seed,
            loses: Rc::default(),
        });
        for (service, about) in site.services.iter().enumerate() {
            for (zone, count) in about.backends.iter().enumerate() {
                for _ in 0..*count {
                    backends.begin(service, zone, false);
                }
            }
        }
        backends
    }

    /// The list as it is now.
    pub fn list(&self) -> BTreeMap<String, Value> {
        let (mut lines, now) = (self.lines.borrow().clone(), self.notes.now());
        for (id, backend) in self.lives.borrow().iter() {
            if let Some(line) = lines.get_mut(id) {
                line["cold-left-ms"] = json!(backend.cold_until.get().saturating_sub(now));
            }
        }
        lines
    }

    /// Lives of a service, in the order of their ids.
    pub fn of(&self, service: usize) -> Vec<String> {
        let lives = self.lives.borrow();
        lives.values().filter(|it| it.service == service).map(|it| it.id.clone()).collect()
    }

    /// A new life; cold where it begins during traffic.
    pub fn begin(&self, service: usize, zone: usize, cold: bool) -> String {
        let n = self.next.get() + 1;
        self.next.set(n);
        let about = &self.site.services[service];
        let ip = Ipv4Addr::new(10, 128, (n / 200) as u8, (n % 200 + 1) as u8);
        self.net.place(ip, Place { zone, region: self.site.region(zone) });
        let now = self.notes.now();
        let cold_until = if cold { now + (about.cold_s * 1000.0) as Millis } else { 0 };
        let id = format!("i-{n:04}");
        let life = Life {
            id: id.clone(),
            service,
            zone,
            cold: if cold { vec![(now, cold_until)] } else { Vec::new() },
            drains: None,
        };
        let number = self.notes.with(|records| {
            records.lives.push(life);
            records.lives.len() - 1
        });
        let backend = Rc::new(Backend {
            number,
            id: id.clone(),
            service,
            ip,
            speed: about.speeds[n as usize % about.speeds.len()],
            cold_until: Cell::new(cold_until),
            slots: Semaphore::new(about.slots as usize),
            waiting: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(self.seed ^ u64::from(n))),
            loses: self.loses.clone(),
            process: RefCell::default(),
        });
        let (site, notes, one) = (self.site.clone(), self.notes.clone(), backend.clone());
        let process = Process::start(&self.net, ip, async move { serving::serve(one, site, notes).await });
        *backend.process.borrow_mut() = Some(process);
        let line = json!({"service": about.name, "address": SocketAddr::from((ip, PORT)).to_string(),
            "zone": self.site.zones[zone].0, "version": "v1", "slots": about.slots, "state": "ready",
            "cold-left-ms": 0});
        self.lines.borrow_mut().insert(id.clone(), line);
        self.lives.borrow_mut().insert(id.clone(), backend);
        id
    }

    /// From now on the list shows that it leaves; it goes on serving.
    pub fn drain(&self, id: &str) {
        if let Some(line) = self.lines.borrow_mut().get_mut(id) {
            line["state"] = json!("draining");
        }
        self.shown_leaving(id);
    }

    /// It ends; the list shows it for as long as `off` has not been called.
    pub fn end(&self, id: &str) {
        let backend = self.lives.borrow_mut().remove(id);
        if let Some(backend) = backend {
            if let Some(process) = backend.process.borrow_mut().take() {
                process.kill();
            }
            self.net.silence(backend.ip);
        }
    }

    pub fn off(&self, id: &str) {
        self.lines.borrow_mut().remove(id);
        self.shown_leaving(id);
    }

    /// A zone without power, or with it again: its backends come back cold.
    pub fn power(&self, zone: usize, dark: bool) {
        let lives = self.lives.borrow();
        let cold = |service: usize| (self.site.services[service].cold_s * 1000.0) as Millis;
        let here = |life: &Life| life.zone == zone;
        for backend in lives.values().filter(|it| self.notes.with(|records| here(&records.lives[it.number])))
        {
            self.net.dark(backend.ip, dark);
            if !dark {
                let now = self.notes.now();
                let until = now + cold(backend.service);
                backend.cold_until.set(until);
                self.notes.with(|records| records.lives[backend.number].cold.push((now, until)));
            }
        }
    }

    /// What the list shows now is seen so much later.
    fn shown_leaving(&self, id: &str) {
        let at = self.notes.now() + self.site.lag_ms;
        self.notes.with(|records| {
            if let Some(life) = records.lives.iter_mut().find(|life| life.id == id) {
                life.drains.get_or_insert(at);
            }
        });
    }
}
