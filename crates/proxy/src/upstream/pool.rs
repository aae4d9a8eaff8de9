//! Pool of idle connections to backends.

use super::keep_alive::KeepAliveTimeout;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::net::Stream;

/// Maximum number of idle connections to one backend.
const MAX_IDLE_PER_BACKEND: usize = 8;
/// How long an idle connection is kept if the backend announces no keep-alive time-out.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Maximum idle time of a connection that an idempotent request reuses. Effectively unlimited, as such a
/// request is replayed on a new connection if the idle one fails.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(3600);
/// Maximum idle time of a connection that a non-idempotent request reuses. If the backend closes the
/// connection at that moment, it is unknown whether the request was executed, and the client gets 502.
const MAX_IDLE: Duration = Duration::from_millis(2_500);
/// Maximum idle time for non-idempotent requests while backends reset idle connections before the announced
/// time. Backends did so when they had more connections than they accept, which caused 1,352 responses 502 on
/// one day (rioni-rooms-grown, scale-2).
const MAX_IDLE_AFTER_RESET: Duration = Duration::from_millis(60);
/// How long after the last reset of an idle connection [`MAX_IDLE_AFTER_RESET`] holds.
const RESET_EXPECTATION_PERIOD: Duration = Duration::from_secs(20);

/// A connection to a backend, with the bytes that were read from it but not yet parsed.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) buffer: BytesMut,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// The idle connections to all backends, by the backend's id.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
    /// Until this time, backends are expected to reset idle connections early.
    resets_expected_until: Cell<Option<Instant>>,
}

impl ConnectionPool {
    /// Takes the usable connection that became idle last. A connection is unusable if bytes or the end of the
    /// stream have arrived on it, or if it has been idle for too long for the kind of request.
    pub(super) fn acquire(&self, backend_id: &str, is_idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let max_idle = self.max_idle(now, is_idempotent);
        let mut by_backend = self.idle.borrow_mut();
        let idle = by_backend.get_mut(backend_id)?;
        while let Some(mut candidate) = idle.pop() {
            let is_fresh = now < candidate.expires_at && now - candidate.idle_since < max_idle;
            if is_fresh && candidate.connection.stream.has_no_pending_input() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether the newest idle connection to a backend is probably usable.
    pub(super) fn has_usable(&self, backend_id: &str, is_idempotent: bool) -> bool {
        let now = Instant::now();
        let max_idle = self.max_idle(now, is_idempotent);
        let by_backend = self.idle.borrow();
        let newest = by_backend.get(backend_id).and_then(|idle| idle.last());
        newest.is_some_and(|kept| now < kept.expires_at && now - kept.idle_since < max_idle)
    }

    fn max_idle(&self, now: Instant, is_idempotent: bool) -> Duration {
        let expects_resets = self.resets_expected_until.get().is_some_and(|until| now < until);
        match (is_idempotent, expects_resets) {
            (true, _) => MAX_IDLE_IDEMPOTENT,
            (false, false) => MAX_IDLE,
            (false, true) => MAX_IDLE_AFTER_RESET,
        }
    }

    /// Records that the backend reset an idle connection when it was reused.
    pub(super) fn record_reset(&self) {
        self.resets_expected_until.set(Some(Instant::now() + RESET_EXPECTATION_PERIOD));
    }

    /// Adds a connection whose last response was complete. `keep_alive` is the backend's keep-alive time-out,
    /// if it announced one. The connection is closed if the number of idle connections has reached
    /// `max_connections`, this proxy's share of the backend's connections.
    pub(super) fn release(
        &self,
        backend_id: &str,
        connection: Connection,
        keep_alive: Option<KeepAliveTimeout>,
        max_connections: u32,
    ) {
        let now = Instant::now();
        let keep_for = keep_alive.map_or(DEFAULT_KEEP_ALIVE, KeepAliveTimeout::max_idle);
        if keep_for.is_zero() {
            return;
        }
        let mut by_backend = self.idle.borrow_mut();
        // Copies the id only if a new entry is needed.
        if !by_backend.contains_key(backend_id) {
            by_backend.insert(backend_id.to_owned(), Vec::new());
        }
        if let Some(idle) = by_backend.get_mut(backend_id) {
            idle.retain(|kept| now < kept.expires_at);
            if idle.len() < MAX_IDLE_PER_BACKEND.min(max_connections as usize) {
                idle.push(IdleConnection { connection, idle_since: now, expires_at: now + keep_for });
            }
        }
    }

    /// Closes expired connections and those to backends for which `is_available` returns false.
    pub(crate) fn retain(&self, is_available: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|id, idle| {
            idle.retain(|kept| now < kept.expires_at);
            !idle.is_empty() && is_available(id)
        });
    }
}
