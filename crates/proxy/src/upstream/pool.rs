//! Idle connections to backends, kept for the next request while the backend keeps them open.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::net::Stream;

/// Idle connections that are kept to one backend at most.
const MAX_IDLE_PER_BACKEND: usize = 8;
/// How long an idle connection is kept where the backend does not announce a time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// A connection is closed so long before the backend would: nobody knows whether a request that crosses the close was
/// executed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// For how long a connection may have been idle to be reused by an idempotent request, which goes out again on a new
/// connection where the idle one fails: no bound of its own.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(3600);
/// The same for other requests. Where the backend closes the connection just then, nobody knows whether the request was
/// executed, so it ends with 502.
const MAX_IDLE: Duration = Duration::from_millis(2_500);
/// The same while backends reset idle connections before the announced time, as they did when more connections were
/// held to them than they take: 1,352 answers 502 on one day (rioni-rooms-grown, scale-2).
const MAX_IDLE_AFTER_RESET: Duration = Duration::from_millis(60);
/// How long after the last reset of an idle connection [`MAX_IDLE_AFTER_RESET`] holds.
const RESET_MEMORY: Duration = Duration::from_secs(20);

/// A connection to a backend, with the bytes that were read from it and not used.
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
    /// Until when backends are expected to reset idle connections early.
    resets_expected_until: Cell<Option<Instant>>,
}

impl ConnectionPool {
    /// Takes out the connection that became idle last and is usable. One on which bytes or an end have arrived unasked
    /// is not; nor is, for a request that may be executed once only, one that has been idle for long.
    pub(super) fn acquire(&self, backend_id: &str, is_idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let max_idle = self.max_idle(now, is_idempotent);
        let mut by_backend = self.idle.borrow_mut();
        let idle = by_backend.get_mut(backend_id)?;
        while let Some(mut candidate) = idle.pop() {
            let is_fresh = now < candidate.expires_at && now - candidate.idle_since < max_idle;
            if is_fresh && candidate.connection.stream.is_silent() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether an idle connection to a backend can be expected to be usable.
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

    /// An idle connection was reset as soon as it was reused.
    pub(super) fn record_reset(&self) {
        self.resets_expected_until.set(Some(Instant::now() + RESET_MEMORY));
    }

    /// Keeps a connection whose last response was complete. `keep_alive`: for how long the backend keeps it, where it
    /// said so; `max_connections`: how many this proxy may hold to the backend. The connection is closed where that is
    /// reached.
    pub(super) fn release(
        &self,
        backend_id: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_connections: u32,
    ) {
        let now = Instant::now();
        let keep_for =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |announced| announced.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep_for.is_zero() {
            return;
        }
        let mut by_backend = self.idle.borrow_mut();
        // The id is copied for a new entry only.
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

    /// Closes expired connections, and those to backends that are not `is_available` any more.
    pub(crate) fn retain(&self, is_available: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|id, idle| {
            idle.retain(|kept| now < kept.expires_at);
            !idle.is_empty() && is_available(id)
        });
    }
}
