//! Whether this proxy serves clients: ready or not, draining or not, with how many connections.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// The serving state of one process: it starts, becomes ready, and drains after SIGTERM. It never goes back.
#[derive(Debug, Default)]
pub(crate) struct ServingState {
    is_ready: Cell<bool>,
    is_draining: Cell<bool>,
    close_idle_connections: Notify,
    open_connections: Cell<usize>,
}

impl ServingState {
    /// Whether requests can be served: there is a configuration and a list of backends, as new as any registry has them.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Whether the process is about to end: connections are closed after their current request.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Whether clients should be sent here.
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

    /// Has each connection close once its current request is answered.
    pub(crate) fn close_connections(&self) {
        self.close_idle_connections.notify_waiters();
    }

    /// Completes at the next [`ServingState::close_connections`].
    pub(crate) fn connections_closing(&self) -> Notified<'_> {
        self.close_idle_connections.notified()
    }

    /// Counts a client's connection until the guard is dropped.
    pub(crate) fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        ConnectionGuard { serving: self.clone() }
    }

    /// Clients' connections at present.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}

/// A client's connection, counted for as long as this lives.
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
