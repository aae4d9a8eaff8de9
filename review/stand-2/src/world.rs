//! Stand-ins for the platform and the backends, and the operator's calls.

use crate::http::{call, read, respond, Message};
use crate::record::{now, say, seconds};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The platform's list shows what was so that many milliseconds ago.
pub const LAG_MS: u64 = 800;

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            drop(stream.set_nodelay(true));
            spawn(move || handle(stream));
        }
    });
}

/// The platform's list of backends, in pages that hold the entries in the order of their ids.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    /// The backends, and since when each is there.
    entries: Arc<Mutex<BTreeMap<String, (f64, Backend)>>>,
}

impl Platform {
    pub fn start(page: usize) -> io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = Platform { address: listener.local_addr()?, entries: Arc::default() };
        let shared = platform.clone();
        serve(listener, move |stream| drop(shared.answer(stream, page)));
        Ok(platform)
    }

    fn answer(&self, stream: TcpStream, page: usize) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        while let Some(request) = read(&mut reader)? {
            let token = request.target().split("page-token=").nth(1).unwrap_or("").to_owned();
            let body = {
                let entries = lock(&self.entries);
                let shown_at = now() - LAG_MS as f64 / 1000.0;
                // The page that follows an id: entries that go or come meanwhile move no other entry.
                let rest: Vec<_> = entries
                    .iter()
                    .filter(|(id, (since, _))| *since <= shown_at && (id.as_str() > token.as_str() || token.is_empty()))
                    .collect();
                let on_page: Vec<String> = rest.iter().take(page).map(|(id, (_, backend))| format!("\"{id}\": {}", backend.entry(shown_at))).collect();
                let next = if rest.len() > page { format!("\"{}\"", rest[page - 1].0) } else { "null".to_owned() };
                format!("{{\"instances\": {{{}}}, \"next-token\": {next}}}", on_page.join(", "))
            };
            respond(&mut out, 200, &[("Content-Type", "application/json")], body.as_bytes())?;
        }
        Ok(())
    }

    /// Adds a ready backend.
    pub fn set(&self, backend: &Backend) {
        lock(&self.entries).insert(backend.id.clone(), (now(), backend.clone()));
    }
}

/// A request that a backend has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub tenant: String,
    /// The backend, if it was cold.
    pub cold: Option<String>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A sound backend: it works on `slots` requests at once and turns away the others with `X-Not-Executed`.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    work: Duration,
    runs: Runs,
    busy: Arc<Mutex<usize>>,
    /// When it became cold, and until when (seconds since the start of the record); the last one counts.
    cold: Arc<Mutex<Vec<(f64, f64)>>>,
}

impl Backend {
    /// Its row in the platform's list.
    fn entry(&self, at: f64) -> String {
        format!(
            r#"{{"service": "{}", "address": "{}", "zone": "{}", "version": "v1", "slots": {}, "state": "ready", "cold-left-ms": {}}}"#,
            self.service, self.address, self.zone, self.slots, (self.cold_left(at) * 1000.0).ceil()
        )
    }

    /// It is cold from now on, for that many seconds.
    pub fn become_cold(&self, seconds: f64) {
        say(&format!("{} is cold for {seconds} s", self.id));
        lock(&self.cold).push((now(), now() + seconds));
    }

    /// For how long it was to stay cold at that time.
    fn cold_left(&self, at: f64) -> f64 {
        lock(&self.cold).iter().rev().find(|(since, _)| *since <= at).map_or(0.0, |(_, until)| (until - at).max(0.0))
    }

    pub fn start(id: &str, service: &str, zone: &str, slots: usize, work_ms: u64, runs: &Runs) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Backend {
            id: id.into(), service: service.into(), zone: zone.into(), address: listener.local_addr()?, slots,
            work: Duration::from_millis(work_ms), runs: runs.clone(), busy: Arc::default(),
            cold: Arc::default(),
        };
        let shared = backend.clone();
        serve(listener, move |stream| drop(shared.answer(stream)));
        Ok(backend)
    }

    fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        while let Some(request) = read(&mut reader)? {
            let field = |name: &str| request.field(name).unwrap_or("").to_owned();
            let attempt = field("x-attempt-id");
            let id = [("X-Attempt-Id", attempt.as_str()), ("X-Instance-Id", self.id.as_str())];
            if request.target() == "/health" {
                let cold = format!("{}", (self.cold_left(now()) * 1000.0).ceil());
                let load = format!("{},0,{}", *lock(&self.busy), self.slots);
                respond(&mut out, 200, &[id[1], ("X-Server-Load", load.as_str()), ("X-Cold-Ms", cold.as_str())], b"")?;
                continue;
            }
            if request.field("x-target-instance").is_some_and(|target| target != self.id) {
                respond(&mut out, 421, &id, b"")?;
                continue;
            }
            // The number of requests at work with this one; `None` if all slots are taken.
            let running = {
                let mut busy = lock(&self.busy);
                let has_slot = !attempt.is_empty() && *busy < self.slots;
                *busy += usize::from(has_slot);
                has_slot.then_some(*busy)
            };
            let Some(running) = running else {
                respond(&mut out, 503, &[id[0], id[1], ("X-Not-Executed", "1")], b"")?;
                continue;
            };
            let cold = (self.cold_left(now()) > 0.0).then(|| self.id.clone());
            let run = Run { at: now(), attempt: attempt.clone(), tenant: field("x-tenant"), cold };
            say(&format!("{} runs {attempt} of {} on {}", self.id, run.tenant, request.target()));
            lock(&self.runs).push(run);
            sleep(self.work);
            *lock(&self.busy) -= 1;
            let load = format!("{},0,{}", running, self.slots);
            let seal = format!("seal-{}-{attempt}", self.id);
            let fields = [id[0], id[1], ("X-Server-Seal", seal.as_str()), ("X-Server-Load", load.as_str())];
            respond(&mut out, 200, &fields, format!("{} ran {attempt}", self.id).as_bytes())?;
        }
        Ok(())
    }
}

/// Sends an order to one registry after the other, as the operator does, until one ends it; `None` after `limit`.
pub fn order(controls: &[SocketAddr], target: &str, body: &str, limit: Duration) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut pause = 0.05;
    for control in controls.iter().cycle() {
        let answer = call(*control, "POST", target, &[("Content-Type", "application/json")], body.as_bytes(), seconds(1.0));
        let status = answer.as_ref().map_or(0, Message::status);
        say(&format!("operator: {target} at {control}: {status}"));
        match answer {
            Ok(answer) if (200..500).contains(&status) && status != 408 && status != 429 => return Some(answer),
            _ => {}
        }
        if Instant::now() > until {
            return None;
        }
        sleep(seconds(pause));
        pause = f64::min(pause * 1.5, 0.5);
    }
    None
}

pub const REPLACE: &str = "/api/rpc?call=configuration.replace";

/// Whether an order was acknowledged.
pub fn is_acknowledged(answer: &Option<Message>) -> bool {
    answer.as_ref().is_some_and(|answer| (200..300).contains(&answer.status()))
}

/// The addresses that the directory gives a client; the first of three ingresses that answers, a second for each.
pub fn resolve(directories: &[SocketAddr], region: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/api/resolve?name=rooms.example&region={region}&zone={zone}");
    for directory in directories.iter().take(3) {
        let Ok(answer) = call(*directory, "GET", &target, &[], b"", seconds(1.0)) else { continue };
        if answer.status() == 200 {
            let text = answer.text();
            let list = text.split('[').nth(1).and_then(|rest| rest.split(']').next()).unwrap_or("").to_owned();
            let found: Vec<SocketAddr> = list.split(',').filter_map(|one| one.trim().trim_matches('"').parse().ok()).collect();
            say(&format!("directory {directory} names {found:?}"));
            return found;
        }
    }
    Vec::new()
}
