//! Clients: they resolve edges, send requests, and retry as far as the protocol allows. All attempts are recorded.

mod client;
mod repeats;

use crate::net::{Location, Net};
use crate::process::Process;
use crate::records::{ClientRequest, Millis, Recorder};
use crate::site::{key, tenant, Site};
use client::Client;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
pub(crate) use repeats::Repeats;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;
use violetyoke_api::configuration::RouteKind;

/// The number of clients in each zone, each with its own addresses and connections.
const CLIENTS_PER_ZONE: usize = 12;
/// The fraction of requests that comes from tenants added during the day.
const NEWCOMER_SHARE: f64 = 0.02;
/// How long clients wait for requests in flight when the traffic ends.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The interval at which clients check for operations to repeat.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);

/// The address at which a registry answers clients, and the registry's zone.
#[derive(Clone, Copy)]
pub(crate) struct Directory {
    pub(crate) address: SocketAddr,
    pub(crate) zone: usize,
}

/// The workload shared by all clients. Events change it during the day.
pub(crate) struct Workload {
    pub(crate) site: Site,
    pub(crate) recorder: Recorder,
    pub(crate) directories: Vec<Directory>,
    /// A tenant that sends more than usual, and the factor.
    pub(crate) burst: Cell<Option<(usize, f64)>>,
    /// Tenants added during the day.
    pub(crate) joined: RefCell<Vec<String>>,
    /// Tenants whose credentials were revoked.
    pub(crate) revoked: RefCell<Vec<usize>>,
    /// Operations to be repeated.
    pub(crate) repeats: Repeats,
    /// Whether the traffic has ended: clients send no new requests.
    pub(crate) has_ended: Cell<bool>,
}

/// A request to be sent, for the first time or as a repeat.
#[derive(Clone)]
struct Submission {
    /// The index of the request in the records.
    request: usize,
    /// The credential to send.
    credential: String,
    /// The zone of the sending client.
    zone: usize,
    /// Whether the request was sent before.
    is_repeat: bool,
}

/// The tenant that sends a request.
struct Sender {
    tenant: String,
    key: String,
    /// The tenant's usual request rate over all zones (requests per second).
    usual_per_s: f64,
}

impl Workload {
    /// The current weight of a tenant's requests relative to other tenants.
    fn weight(&self, number: usize) -> f64 {
        match self.burst.get() {
            Some((burst, factor)) if burst == number => self.site.traffic_share(number) * factor,
            _ => self.site.traffic_share(number),
        }
    }

    /// The current load of all tenants together, as a multiple of the usual load.
    fn load_factor(&self) -> f64 {
        let extra = |(number, factor): (usize, f64)| (factor - 1.0) * self.site.traffic_share(number);
        1.0 + self.burst.get().map_or(0.0, extra)
    }

    fn choose_sender(&self, rng: &mut Pcg64Mcg) -> Sender {
        let usual = self.site.requests_per_s * self.site.zones.len() as f64;
        let joined = self.joined.borrow();
        if !joined.is_empty() && rng.random::<f64>() < NEWCOMER_SHARE {
            let tenant = joined[rng.random_range(0..joined.len())].clone();
            return Sender { key: format!("key-{tenant}"), tenant, usual_per_s: usual * NEWCOMER_SHARE };
        }
        let total: f64 = (0..self.site.tenants).map(|number| self.weight(number)).sum();
        let mut left = rng.random::<f64>() * total;
        let chosen = (0..self.site.tenants).find(|number| {
            left -= self.weight(*number);
            left <= 0.0
        });
        let number = chosen.unwrap_or(0);
        let usual_per_s = usual * self.site.traffic_share(number);
        Sender { tenant: tenant(number), key: key(number), usual_per_s }
    }

    /// The index of a kind of request; `fraction` is uniformly distributed from 0 to 1.
    fn choose_kind(&self, fraction: f64) -> usize {
        let kinds = &self.site.request_kinds;
        let mut left = fraction * kinds.iter().map(|kind| kind.weight).sum::<f64>();
        let chosen = kinds.iter().position(|kind| {
            left -= kind.weight;
            left <= 0.0
        });
        chosen.unwrap_or(0)
    }
}

/// The requests that each tenant has sent from one zone in the last second.
#[derive(Default)]
struct RecentRequests(HashMap<String, VecDeque<Millis>>);

impl RecentRequests {
    /// Adds a request; returns the number in the last second.
    fn add(&mut self, tenant: &str, now: Millis) -> usize {
        let recent = self.0.entry(tenant.to_owned()).or_default();
        recent.push_back(now);
        while recent.front().is_some_and(|at| at + 1_000 < now) {
            recent.pop_front();
        }
        recent.len()
    }
}

/// Starts the clients of a zone.
pub(crate) fn start(net: &Net, workload: Rc<Workload>, zone: usize, seed: u64) -> Process {
    let ip = Ipv4Addr::new(10, 200, 0, zone as u8 + 1);
    net.set_location(ip, Location { zone, region: workload.site.region(zone) });
    let rng = Pcg64Mcg::seed_from_u64(seed ^ zone as u64);
    let repeats_rng = Pcg64Mcg::seed_from_u64(!seed ^ zone as u64);
    Process::start(net, ip, async move {
        let clients: Vec<Rc<Client>> = (0..CLIENTS_PER_ZONE).map(|_| Rc::default()).collect();
        tokio::join!(
            send_requests(workload.clone(), &clients, zone, rng),
            send_repeats(workload.clone(), &clients, zone, repeats_rng)
        );
        sleep(DRAIN_TIME).await;
    })
}

async fn send_requests(workload: Rc<Workload>, clients: &[Rc<Client>], zone: usize, mut rng: Pcg64Mcg) {
    let mut recent = RecentRequests::default();
    while !workload.has_ended.get() {
        let load_factor = workload.load_factor();
        let pause: f64 = Exp1.sample(&mut rng);
        sleep(Duration::from_secs_f64(pause / (workload.site.requests_per_s * load_factor))).await;
        let sender = workload.choose_sender(&mut rng);
        let kind = workload.choose_kind(rng.random());
        let client = clients[rng.random_range(0..CLIENTS_PER_ZONE)].clone();
        let now = workload.recorder.now();
        let in_last_second = recent.add(&sender.tenant, now) as f64;
        let even_share = sender.usual_per_s / workload.site.zones.len() as f64;
        let is_keyed = workload.site.request_kinds[kind].route_kind == RouteKind::Keyed;
        let number = workload.recorder.with(|records| records.requests.len());
        let request = ClientRequest {
            kind,
            tenant: sender.tenant,
            zone,
            operation_key: is_keyed.then(|| format!("operation-{number}")),
            first_sent: now,
            served_at: None,
            is_owed: in_last_second <= even_share * 1.5 + 3.0,
        };
        workload.recorder.with(|records| records.requests.push(request));
        let submission = Submission { request: number, credential: sender.key, zone, is_repeat: false };
        let rng = Pcg64Mcg::seed_from_u64(rng.random());
        spawn_local(submit(workload.clone(), client, submission, rng));
    }
}

/// Sends the repeats that are due.
async fn send_repeats(workload: Rc<Workload>, clients: &[Rc<Client>], zone: usize, mut rng: Pcg64Mcg) {
    while !workload.has_ended.get() {
        for submission in workload.repeats.take_due(zone, workload.recorder.now()) {
            let client = clients[rng.random_range(0..CLIENTS_PER_ZONE)].clone();
            let rng = Pcg64Mcg::seed_from_u64(rng.random());
            spawn_local(submit(workload.clone(), client, submission, rng));
        }
        sleep(REPEAT_INTERVAL).await;
    }
}

async fn submit(workload: Rc<Workload>, client: Rc<Client>, submission: Submission, mut rng: Pcg64Mcg) {
    let is_served = client.request(&workload, &submission, &mut rng).await;
    let has_key =
        workload.recorder.with(|records| records.requests[submission.request].operation_key.is_some());
    if has_key && !submission.is_repeat {
        workload.repeat_after_end(&submission, is_served, &mut rng);
    }
}
