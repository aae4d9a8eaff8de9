//! Clients: each request is a try of its own on a new connection, and is not repeated.

use crate::http::call;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
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
    let request = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {attempt}\r\nx-deadline-ms: {}\r\nx-credential: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{}",
        load.method, load.path, load.host, load.deadline_ms, load.key, load.body.len(), load.body
    );
    let answer = call(address, request.as_bytes(), Duration::from_millis(load.deadline_ms));
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    record.note(&format!("client: {attempt} at {address}: {status}"));
    results.by_status.lock().unwrap().entry(status).or_default().push(attempt);
}
