//! The serving state of the process: whether it is ready, whether it drains, and how many clients' connections are open.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// The serving state of the process. It starts, becomes ready, and drains after SIGTERM; it never returns to an earlier
/// state.
#[derive(Debug, Default)]
pub(crate) struct ServingState {
    is_ready: Cell<bool>,
    is_draining: Cell<bool>,
    close_idle_connections: Notify,
    open_connections: Cell<usize>,
}

impl ServingState {
    /// Whether requests can be served: see [`ReadinessGate`](crate::readiness_gate::ReadinessGate).
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Whether the process is shutting down. Connections are then closed after their current request.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Whether clients should be sent to this proxy.
    pub(crate) fn accepts_new_clients(&self) -> bool {
        self.is_ready() && !self.is_draining()
    }

    /// Starts to serve requests.
    pub(crate) fn mark_ready(&self) {
        self.is_ready.set(true);
    }

    /// Starts to drain.
    pub(crate) fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Closes idle connections at once, and the others after the response to their current request.
    pub(crate) fn close_connections(&self) {
        self.close_idle_connections.notify_waiters();
    }

    /// Completes at the next call to [`ServingState::close_connections`].
    pub(crate) fn connections_closing(&self) -> Notified<'_> {
        self.close_idle_connections.notified()
    }

    /// Counts a client's connection until the guard is dropped.
    pub(crate) fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        ConnectionGuard { serving: self.clone() }
    }

    /// The number of clients' connections that are open now.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}

/// Counts a client's connection as open until it is dropped.
#[derive(Debug)]
#[must_use]
pub(crate) struct ConnectionGuard {
    serving: Rc<ServingState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = &self.serving.open_connections;
        open.set(open.get() - 1);
    }
}
