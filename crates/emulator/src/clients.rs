//! Clients: where to go, a try, another where the rules of the wire allow one, all of it noted.

use crate::calls::{call, open, send, Connection, Whole};
use crate::net::{Net, Place};
use crate::process::Process;
use crate::records::{Millis, Notes, Request as Noted, Try};
use crate::site::{key, tenant, Site, HOST};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Clients of a zone that each keep addresses and connections of their own.
const CLIENTS: usize = 12;
const TRIES: usize = 3;
const CONNECTS: Duration = Duration::from_secs(1);

/// What all clients see of the day.
pub struct Crowd {
    pub site: Site,
    pub notes: Notes,
    pub directories: Vec<(SocketAddr, usize)>,
    /// A tenant that sends many times its usual, and how many.
    pub hot: Cell<Option<(usize, f64)>>,
    /// Names of tenants that joined in the day, and keys that were taken away.
    pub joined: RefCell<Vec<String>>,
    pub gone: RefCell<Vec<usize>>,
    pub ends: Cell<bool>,
}

struct Client {
    addresses: RefCell<Vec<SocketAddr>>,
    until: Cell<Option<Instant>>,
    failed: RefCell<Vec<SocketAddr>>,
    idle: RefCell<HashMap<SocketAddr, Connection>>,
}

/// Starts the clients of a zone.
pub fn start(net: &Net, crowd: Rc<Crowd>, zone: usize, seed: u64) -> Process {
    let ip = Ipv4Addr::new(10, 200, 0, zone as u8 + 1);
    net.place(ip, Place { zone, region: crowd.site.region(zone) });
    Process::start(net, ip, async move {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ zone as u64);
        let clients: Vec<Rc<Client>> = (0..CLIENTS)
            .map(|_| {
                Rc::new(Client {
                    addresses: RefCell::default(),
                    until: Cell::new(None),
                    failed: RefCell::default(),
                    idle: RefCell::default(),
                })
            })
            .collect();
        // How much of what it may ask each tenant asked of late.
        let mut asked: HashMap<String, VecDeque<Millis>> = HashMap::new();
        while !crowd.ends.get() {
            let hot = crowd.hot.get().map_or(1.0, |(number, x)| 1.0 + (x - 1.0) * crowd.site.part(number));
            let pause: f64 = Exp1.sample(&mut rng);
            sleep(Duration::from_secs_f64(pause / (crowd.site.per_s * hot))).await;
            let (name, key, share) = who(&crowd, &mut rng);
            let kind = kind(&crowd.site, rng.random());
            let client = clients[rng.random_range(0..CLIENTS)].clone();
            let now = crowd.notes.now();
            let recent = asked.entry(name.clone()).or_default();
            recent.push_back(now);
            while recent.front().is_some_and(|at| at + 1_000 < now) {
                recent.pop_front();
            }
            let usual = (recent.len() as f64) <= share / crowd.site.zones.len() as f64 * 1.5 + 3.0;
            let noted = Noted { kind, tenant: name, zone, first: now, served: None, usual };
            let number = crowd.notes.with(|records| {
                records.requests.push(noted);
                records.requests.len() - 1
            });
            let crowd = crowd.clone();
            let rng = Pcg64Mcg::seed_from_u64(rng.random());
            tokio::task::spawn_local(async move { request(&crowd, &client, number, key, rng).await });
        }
        // What is on its way is waited for.
        sleep(Duration::from_secs(2)).await;
    })
}

/// A tenant, a key of it, and what it usually asks a second.
fn who(crowd: &Crowd, rng: &mut Pcg64Mcg) -> (String, String, f64) {
    let site = &crowd.site;
    let usual = site.per_s * site.zones.len() as f64;
    let joined = crowd.joined.borrow();
    if !joined.is_empty() && rng.random::<f64>() < 0.02 {
        let name = joined[rng.random_range(0..joined.len())].clone();
        return (name.clone(), format!("key-{name}"), usual * 0.02);
    }
    let weight = |n: usize| match crowd.hot.get() {
        Some((hot, x)) if hot == n => site.part(n) * x,
        _ => site.part(n),
    };
    let mut left = rng.random::<f64>() * (0..site.tenants).map(weight).sum::<f64>();
    for n in 0..site.tenants {
        left -= weight(n);
        if left <= 0.0 {
            return (tenant(n), key(n), usual * site.part(n));
        }
    }
    (tenant(0), key(0), usual * site.part(0))
}

fn kind(site: &Site, drawn: f64) -> usize {
    let mut left = drawn * site.kinds.iter().map(|kind| kind.share).sum::<f64>();
    let found = site.kinds.iter().position(|kind| {
        left -= kind.share;
        left <= 0.0
    });
    found.unwrap_or(0)
}

async fn request(crowd: &Rc<Crowd>, client: &Client, number: usize, key: String, mut rng: Pcg64Mcg) {
    let (kind, zone) =
        crowd.notes.with(|records| (records.requests[number].kind, records.requests[number].zone));
    let about = crowd.site.kinds[kind].clone();
    let until = Instant::now() + Duration::from_millis(about.deadline_ms);
    for n in 0..TRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            return;
        }
        let Some(to) = address(crowd, client, zone, &mut rng).await else {
            sleep(Duration::from_millis(100).min(left)).await;
            continue;
        };
        let id = format!("{:016x}", rng.random::<u64>());
        let noted = Try {
            id: id.clone(),
            request: number,
            kind,
            key: key.clone(),
            zone,
            sent: crowd.notes.now(),
            ended: None,
            status: 0,
            right: false,
        };
        let place = crowd.notes.with(|records| {
            records.tries.push(noted);
            records.tries.len() - 1
        });
        let pooled = n == 0 && about.repeatable;
        let whole = attempt(client, to, about.path, about.repeatable, &id, &key, until, pooled).await;
        let right = whole.as_ref().is_some_and(|it| (200..300).contains(&it.status) && own(it, &id));
        let status = whole.as_ref().map_or(0, |it| it.status);
        let now = crowd.notes.now();
        crowd.notes.with(|records| {
            let noted = &mut records.tries[place];
            (noted.ended, noted.status, noted.right) = (Some(now), status, right);
            if right {
                records.requests[number].served = Some(now);
            }
            // A key that was taken away owes its tenant nothing.
            records.requests[number].usual &= status != 401;
        });
        match status {
            200..=299 | 400 | 401 | 404 | 413 | 431 => return,
            429 | 503 => {
                let told =
                    whole.and_then(|it| it.headers.get("retry-after")?.to_str().ok()?.parse::<f64>().ok());
                let left = until.saturating_duration_since(Instant::now());
                sleep(Duration::from_secs_f64(told.unwrap_or(0.0).clamp(0.0, 60.0)).min(left / 3)).await;
            }
            _ if !about.repeatable => return,
            0 => client.failed.borrow_mut().push(to),
            _ => {}
        }
    }
}

/// The answer is the backend's own, whole, and this try's.
fn own(whole: &Whole, id: &str) -> bool {
    whole.headers.contains_key("x-server-seal") && whole.body.ends_with(format!(" ran {id}").as_bytes())
}

/// An address by chance of those that are known; those are asked for when they run out.
async fn address(crowd: &Crowd, client: &Client, zone: usize, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
    if client.until.get().is_none_or(|until| Instant::now() >= until) {
        let mut near = crowd.directories.clone();
        let region = |zone: usize| crowd.site.region(zone);
        near.sort_by_key(|(_, at)| (*at != zone, region(*at) != region(zone)));
        let place = (crowd.site.regions[region(zone)], crowd.site.zones[zone].0);
        let target = format!("/api/resolve?name={HOST}&region={}&zone={}", place.0, place.1);
        for (to, _) in near.into_iter().take(3) {
            let whole = call(to, "GET", &target, String::new(), CONNECTS).await;
            let Some(whole) = whole.filter(|it| it.status == 200) else { continue };
            let Ok(body) = serde_json::from_slice::<Value>(&whole.body) else { continue };
            let told = body["addresses"].as_array().into_iter().flatten();
            let told: Vec<SocketAddr> = told.filter_map(|it| it.as_str()?.parse().ok()).collect();
            client.idle.borrow_mut().retain(|to, _| told.contains(to));
            *client.addresses.borrow_mut() = told;
            client.failed.borrow_mut().clear();
            let ttl = body["ttl-s"].as_f64().unwrap_or(1.0).clamp(0.0, 5.0);
            client.until.set(Some(Instant::now() + Duration::from_secs_f64(ttl)));
            break;
        }
    }
    let (addresses, failed) = (client.addresses.borrow(), client.failed.borrow());
    let good: Vec<SocketAddr> = addresses.iter().copied().filter(|it| !failed.contains(it)).collect();
    let some = if good.is_empty() { &*addresses } else { &good };
    (!some.is_empty()).then(|| some[rng.random_range(0..some.len())])
}

#[allow(clippy::too_many_arguments)] // One line of the wire each.
async fn attempt(
    client: &Client,
    to: SocketAddr,
    path: &str,
    get: bool,
    id: &str,
    key: &str,
    until: Instant,
    pooled: bool,
) -> Option<Whole> {
    let idle = if pooled { client.idle.borrow_mut().remove(&to).filter(|it| !it.is_closed()) } else { None };
    let mut connection = match idle {
        Some(connection) => connection,
        None => open(to, CONNECTS.min(until.saturating_duration_since(Instant::now()))).await?,
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let request = Request::builder()
        .method(if get { "GET" } else { "POST" })
        .uri(format!("{path}{id}"))
        .header("host", HOST)
        .header("x-attempt-id", id)
        .header("x-deadline-ms", left.to_string())
        .header("x-credential", key)
        .body(Full::new(Bytes::from(if get { String::new() } else { format!("two nights of {id}") })))
        .ok()?;
    let whole = send(&mut connection, request, until).await;
    if pooled && whole.is_some() {
        client.idle.borrow_mut().insert(to, connection);
    }
    whole
}
