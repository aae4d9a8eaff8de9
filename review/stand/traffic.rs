//! Clients: each request is a try of its own on a new connection, and is not repeated.

use crate::http::{call, read};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What the clients of one run send.
#[derive(Clone)]
pub struct Load {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub body: &'static str,
    pub deadline_ms: u64,
    /// Requests a second to each address.
    pub per_s: f64,
}

#[derive(Clone, Default)]
pub struct Results {
    /// Status (0: no answer), with the attempt ids.
    pub by_status: Arc<Mutex<BTreeMap<u16, Vec<String>>>>,
    stop: Arc<AtomicBool>,
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

impl Results {
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn summary(&self) -> String {
        let by_status = self.by_status.lock().unwrap();
        let counts = by_status.iter().map(|(status, attempts)| match status {
            0 => format!("no answer: {}", attempts.len()),
            status => format!("{status}: {}", attempts.len()),
        });
        counts.collect::<Vec<_>>().join(", ")
    }
}

/// Sends requests to each address until the results are stopped.
pub fn start(record: &Record, load: &Load, addresses: &[SocketAddr]) -> Results {
    let results = Results::default();
    for (n, address) in addresses.iter().copied().enumerate() {
        let (record, load, results) = (record.clone(), load.clone(), results.clone());
        spawn(move || {
            let interval = Duration::from_secs_f64(1.0 / load.per_s);
            let mut next = Instant::now() + interval.mul_f64(n as f64 / 16.0);
            while !results.stop.load(Ordering::Relaxed) {
                sleep(next.saturating_duration_since(Instant::now()));
                next += interval;
                let (record, load, results) = (record.clone(), load.clone(), results.clone());
                spawn(move || send(&record, &load, address, &results));
            }
        });
    }
    results
}

fn send(record: &Record, load: &Load, address: SocketAddr, results: &Results) {
    let attempt = format!("a-{:06}", LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed));
    let request = request(load, &attempt, "close");
    let answer = call(address, &request, Duration::from_millis(load.deadline_ms));
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    record.note(&format!("client: {attempt} at {address}: {status}"));
    results.by_status.lock().unwrap().entry(status).or_default().push(attempt);
}

/// Clients that keep their connections: each sends the next request on the connection of the last one.
pub struct Kept {
    results: Results,
    /// Requests that were not the first on their connection, and whose connection ended without an answer.
    unanswered: Arc<Mutex<Vec<(SocketAddr, String)>>>,
}

impl Kept {
    /// Starts `clients` clients for each address.
    pub fn start(record: &Record, load: &Load, addresses: &[SocketAddr], clients: usize) -> Kept {
        let kept = Kept { results: Results::default(), unanswered: Arc::default() };
        for address in addresses {
            for n in 0..clients {
                let (record, load, address) = (record.clone(), load.clone(), *address);
                let (results, unanswered) = (kept.results.clone(), kept.unanswered.clone());
                // Spread over the time between two requests.
                let offset = Duration::from_secs_f64(n as f64 / clients as f64 / load.per_s);
                spawn(move || {
                    sleep(offset);
                    while !results.stop.load(Ordering::Relaxed) {
                        keep_sending(&record, &load, address, &results, &unanswered);
                        sleep(Duration::from_millis(300));
                    }
                });
            }
        }
        kept
    }

    pub fn stop(&self) {
        self.results.stop();
    }

    pub fn summary(&self) -> String {
        self.results.summary()
    }

    /// The proxy and the id of each.
    pub fn unanswered(&self) -> Vec<(SocketAddr, String)> {
        self.unanswered.lock().unwrap().clone()
    }
}

/// Sends requests on one connection until it ends. A request that has waited for its deadline is no unanswered one.
fn keep_sending(
    record: &Record,
    load: &Load,
    address: SocketAddr,
    results: &Results,
    unanswered: &Mutex<Vec<(SocketAddr, String)>>,
) {
    let Ok(mut writer) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
    drop(writer.set_nodelay(true));
    drop(writer.set_read_timeout(Some(Duration::from_millis(load.deadline_ms))));
    let Ok(stream) = writer.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut is_first = true;
    while !results.stop.load(Ordering::Relaxed) {
        let attempt = format!("k-{:06}", LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let is_sent = writer.write_all(&request(load, &attempt, "keep-alive")).is_ok();
        let answer = if is_sent { read(&mut reader).ok().flatten() } else { None };
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.note(&format!("client with a kept connection: {attempt} at {address}: {status}"));
        results.by_status.lock().unwrap().entry(status).or_default().push(attempt.clone());
        let is_in_time = sent_at.elapsed() < Duration::from_millis(load.deadline_ms * 9 / 10);
        if status == 0 {
            if !is_first && is_in_time {
                unanswered.lock().unwrap().push((address, attempt));
            }
            return;
        }
        if answer.is_some_and(|answer| answer.field("connection") == Some("close")) {
            return;
        }
        is_first = false;
        sleep(Duration::from_secs_f64(1.0 / load.per_s).saturating_sub(sent_at.elapsed()));
    }
}

fn request(load: &Load, attempt: &str, connection: &str) -> Vec<u8> {
    format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {attempt}\r\nx-deadline-ms: {}\r\nx-credential: {}\r\ncontent-length: {}\r\nconnection: {connection}\r\n\r\n{}",
        load.method, load.path, load.host, load.deadline_ms, load.key, load.body.len(), load.body
    )
    .into_bytes()
}
