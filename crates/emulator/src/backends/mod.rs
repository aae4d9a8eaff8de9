//! Backends: incarnations with slots, queues and different speeds. They record the requests that arrive, and events
//! make them fail.

mod serving;

use crate::net::{Location, Net};
use crate::process::Process;
use crate::records::{Incarnation, Millis, Recorder};
use crate::site::Site;
use crate::spoiled_numbers::listed_number;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::sync::Semaphore;

const PORT: u16 = 8080;
/// Distinguishes the seeds of spoiled numbers from those of execution times.
const SPOILED_SEED: u64 = 0x7370_6f69_6c65_6400;

/// One incarnation of a backend.
struct Backend {
    /// The index of the incarnation in the records.
    index: usize,
    id: String,
    service: usize,
    ip: Ipv4Addr,
    speed: f64,
    cold_until: Cell<Millis>,
    slots: Semaphore,
    queue_length: Cell<usize>,
    rng: RefCell<Pcg64Mcg>,
    /// The fraction of responses that is lost, shared by all backends.
    response_loss: Rc<Cell<f64>>,
    /// The fraction of responses with numbers that are out of range, shared by all backends.
    spoiled_part: Rc<Cell<f64>>,
    /// Draws these numbers. Separate, so that a day has the same execution times with and without them.
    spoiled_rng: RefCell<Pcg64Mcg>,
    process: RefCell<Option<Process>>,
}

/// All backends, and the platform's list of them.
pub(crate) struct Backends {
    net: Rc<Net>,
    recorder: Recorder,
    site: Site,
    running: RefCell<BTreeMap<String, Rc<Backend>>>,
    /// The current entries of the platform's list.
    entries: RefCell<BTreeMap<String, Value>>,
    started: Cell<u32>,
    seed: u64,
    response_loss: Rc<Cell<f64>>,
    spoiled_part: Rc<Cell<f64>>,
    /// Draws the numbers in spoiled entries of the list.
    spoiled_rng: RefCell<Pcg64Mcg>,
}

impl Backends {
    /// Starts the backends of a site.
    pub(crate) fn new(net: Rc<Net>, recorder: Recorder, site: &Site, seed: u64) -> Rc<Backends> {
        let backends = Rc::new(Backends {
            net,
            recorder,
            site: site.clone(),
            running: RefCell::default(),
            entries: RefCell::default(),
            started: Cell::new(0),
            seed,
            response_loss: Rc::default(),
            spoiled_part: Rc::default(),
            spoiled_rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ SPOILED_SEED)),
        });
        for (service, service_config) in site.services.iter().enumerate() {
            for (zone, count) in service_config.backends.iter().enumerate() {
                (0..*count).for_each(|_| backends.start(service, zone, false));
            }
        }
        backends
    }

    /// The current list, without its lag.
    pub(crate) fn list(&self) -> BTreeMap<String, Value> {
        let (mut entries, now) = (self.entries.borrow().clone(), self.recorder.now());
        for (id, backend) in self.running.borrow().iter() {
            if let Some(entry) = entries.get_mut(id) {
                let cold_left_ms = backend.cold_until.get().saturating_sub(now);
                entry["cold-left-ms"] = json!(cold_left_ms);
                self.spoil_entry(entry, cold_left_ms);
            }
        }
        entries
    }

    /// Replaces the numbers of an entry, with the probability that is set. A slow start is not shortened: the platform's
    /// list is right on that.
    fn spoil_entry(&self, entry: &mut Value, cold_left_ms: Millis) {
        let rng = &mut *self.spoiled_rng.borrow_mut();
        if self.spoiled_part.get() > 0.0 && rng.random_bool(self.spoiled_part.get()) {
            entry["slots"] = json!(listed_number(rng));
            entry["cold-left-ms"] = json!(listed_number(rng).max(cold_left_ms as f64));
        }
    }

    /// Sets the fraction of responses and of entries of the list that state numbers out of range.
    pub(crate) fn set_spoiled_part(&self, part: f64) {
        self.spoiled_part.set(part);
    }

    /// Ids of a service's backends, sorted.
    pub(crate) fn ids_of_service(&self, service: usize) -> Vec<String> {
        let running = self.running.borrow();
        running.values().filter(|it| it.service == service).map(|it| it.id.clone()).collect()
    }

    /// Sets the fraction of all responses that is lost.
    pub(crate) fn set_response_loss(&self, part: f64) {
        self.response_loss.set(part);
    }

    /// Starts a new incarnation. Those started during the traffic begin with a slow start (`is_cold`).
    pub(crate) fn start(&self, service: usize, zone: usize, is_cold: bool) {
        let number = self.started.get() + 1;
        self.started.set(number);
        let service_config = &self.site.services[service];
        let ip = Ipv4Addr::new(10, 128, (number / 200) as u8, (number % 200 + 1) as u8);
        self.net.set_location(ip, Location { zone, region: self.site.region(zone) });
        let now = self.recorder.now();
        let cold_until = if is_cold { now + self.slow_start(service) } else { 0 };
        let id = format!("i-{number:04}");
        let slow_starts = if is_cold { vec![(now, cold_until)] } else { Vec::new() };
        let incarnation = Incarnation { id: id.clone(), service, zone, slow_starts, draining_since: None };
        let index = self.recorder.with(|records| {
            records.incarnations.push(incarnation);
            records.incarnations.len() - 1
        });
        let backend = Rc::new(Backend {
            index,
            id: id.clone(),
            service,
            ip,
            speed: service_config.speeds[number as usize % service_config.speeds.len()],
            cold_until: Cell::new(cold_until),
            slots: Semaphore::new(service_config.slots as usize),
            queue_length: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(self.seed ^ u64::from(number))),
            response_loss: self.response_loss.clone(),
            spoiled_part: self.spoiled_part.clone(),
            spoiled_rng: RefCell::new(Pcg64Mcg::seed_from_u64(self.seed ^ SPOILED_SEED ^ u64::from(number))),
            process: RefCell::default(),
        });
        let server = serving::serve(backend.clone(), self.site.clone(), self.recorder.clone());
        *backend.process.borrow_mut() = Some(Process::start(&self.net, ip, server));
        let entry = json!({"service": service_config.name, "address": SocketAddr::from((ip, PORT)).to_string(),
            "zone": self.site.zones[zone].name, "version": "v1", "slots": service_config.slots, "state": "ready",
            "cold-left-ms": 0});
        self.entries.borrow_mut().insert(id.clone(), entry);
        self.running.borrow_mut().insert(id, backend);
    }

    fn slow_start(&self, service: usize) -> Millis {
        (self.site.services[service].slow_start_s * 1000.0) as Millis
    }

    /// Marks a backend as draining in the list. It continues to serve requests.
    pub(crate) fn drain(&self, id: &str) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(id) {
            entry["state"] = json!("draining");
        }
        self.record_draining(id);
    }

    /// Kills a backend's process. The list shows the backend until it is removed from it.
    pub(crate) fn kill(&self, id: &str) {
        let backend = self.running.borrow_mut().remove(id);
        if let Some(backend) = backend {
            if let Some(process) = backend.process.borrow_mut().take() {
                process.kill();
            }
            self.net.close_listeners(backend.ip);
        }
    }

    /// Removes a backend from the list.
    pub(crate) fn remove_from_list(&self, id: &str) {
        self.entries.borrow_mut().remove(id);
        self.record_draining(id);
    }

    /// Cuts the power of a zone's backends, or restores it; they then begin with a slow start.
    pub(crate) fn set_zone_power_lost(&self, zone: usize, is_lost: bool) {
        let is_in_zone = |backend: &&Rc<Backend>| {
            self.recorder.with(|records| records.incarnations[backend.index].zone == zone)
        };
        for backend in self.running.borrow().values().filter(is_in_zone) {
            self.net.set_power_lost(backend.ip, is_lost);
            if !is_lost {
                let now = self.recorder.now();
                let until = now + self.slow_start(backend.service);
                backend.cold_until.set(until);
                self.recorder
                    .with(|records| records.incarnations[backend.index].slow_starts.push((now, until)));
            }
        }
    }

    /// Records when proxies can first see in the list that a backend is draining or gone: after the list's lag.
    fn record_draining(&self, id: &str) {
        let at = self.recorder.now() + self.site.lag_ms;
        self.recorder.with(|records| {
            if let Some(incarnation) = records.incarnations.iter_mut().find(|it| it.id == id) {
                incarnation.draining_since.get_or_insert(at);
            }
        });
    }
}
