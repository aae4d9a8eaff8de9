//! Stub backends. Each has an id and a number of slots, records the requests that it executes, and can be made to
//! fail.

mod server;
mod spoiled_numbers;

use bytes::Bytes;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;

/// Number of requests that a backend reports to be able to execute at once.
const SLOTS: u32 = 8;
/// Maximum size of a response body that a request can ask for, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request that a backend has started to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The id of the backend.
    pub backend: String,
    /// `X-Attempt-Id` of the request.
    pub attempt: String,
    /// `X-Tenant` of the request.
    pub tenant: Option<String>,
    /// `X-Operation-Key` of the request.
    pub operation_key: Option<String>,
    /// The path, without the query.
    pub path: String,
    /// `X-Deadline-Ms` of the request.
    pub deadline_ms: Option<u64>,
    /// The complete body.
    pub body: Bytes,
    /// When the execution started.
    pub started_at: Instant,
}

impl Execution {
    /// The body of the response. A path that ends in `/bytes/100000` asks for that many bytes; otherwise the body
    /// names the backend and the attempt.
    #[must_use]
    pub fn response_body(&self) -> Vec<u8> {
        let size = self.path.split_once("/bytes/").and_then(|(_, size)| size.parse().ok());
        match size.filter(|size| *size <= MAX_RESPONSE_BYTES) {
            Some(size) => (0..size).map(|n: usize| n as u8).collect(),
            None => format!("{} ran {}", self.backend, self.attempt).into_bytes(),
        }
    }
}

/// How a backend fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It responds to each request.
    #[default]
    None,
    /// It executes requests and closes the connection without a response.
    DropsResponses,
    /// It responds with the attempt id of another request.
    AnswersOtherAttempt,
    /// It rejects requests with 503 and marks them as not executed.
    Rejects,
    /// It executes requests and responds with 503, without telling whether they were executed.
    FailsAfterExecution,
    /// It executes requests and never responds.
    Hangs,
    /// It closes the connection in the middle of a response body.
    TruncatesResponses,
}

/// A backend. Its server is a task of the runtime that it was started on, and ends with that runtime.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its id in the platform's list, and in `X-Instance-Id` of its responses.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The zone of the backend.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The execution time of a request.
    service_time: Duration,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    executions: Mutex<Vec<Execution>>,
    fault: Mutex<Fault>,
    in_flight: AtomicU32,
    /// Whether responses and the list entry state numbers that are out of range.
    spoils_numbers: AtomicBool,
    /// The number of numbers that were spoiled.
    spoiled: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Backend {
    /// Starts a backend on a free loopback port.
    ///
    /// # Errors
    /// When no port can be opened.
    pub fn start(
        runtime: &Handle,
        id: &str,
        service: &str,
        zone: &str,
        service_time: Duration,
    ) -> io::Result<Backend> {
        let listener = violetyoke_standin::listen(violetyoke_standin::any_port())?;
        listener.set_nonblocking(true)?;
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            service_time,
            state: Arc::default(),
        };
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        runtime.spawn(server::serve(listener, backend.clone()));
        Ok(backend)
    }

    /// All requests that it has started to execute, oldest first.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state.executions).clone()
    }

    /// Sets how the backend fails from the next request on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.state.fault) = fault;
    }

    /// Sets whether its responses and its list entry state numbers that are out of range. It serves requests nevertheless.
    pub fn set_spoils_numbers(&self, spoils: bool) {
        self.state.spoils_numbers.store(spoils, Ordering::Relaxed);
    }

    fn spoils_numbers(&self) -> bool {
        self.state.spoils_numbers.load(Ordering::Relaxed)
    }

    /// Its entry in the platform's list.
    #[must_use]
    pub fn list_entry(&self) -> serde_json::Value {
        let (slots, cold_left_ms) =
            if self.spoils_numbers() { self.spoiled_list_numbers() } else { (f64::from(SLOTS), 0.0) };
        serde_json::json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1",
            "slots": slots, "state": "ready", "cold-left-ms": cold_left_ms,
        })
    }
}

/// The number of executions of each attempt, over all of these backends.
#[must_use]
pub fn executions_by_attempt(backends: &[Backend]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for execution in backends.iter().flat_map(Backend::executions) {
        *counts.entry(execution.attempt).or_insert(0) += 1;
    }
    counts
}
