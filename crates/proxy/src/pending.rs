//! Requests that wait for capacity: the queue decides whose turn it is, and this wakes the one.

use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::oneshot;
use violetyoke_balancing::queue::{PendingQueue, Ticket};
use violetyoke_balancing::Millis;

/// The pending requests of all services, with what wakes them.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    queue: RefCell<PendingQueue>,
    wakers: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
}

/// The position of one request in the queue.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    ticket: Ticket,
    /// Completes when the request is to try again.
    pub(crate) woken: oneshot::Receiver<()>,
}

impl PendingRequests {
    /// Adds a request that waits until `expires_at`. `None` when too many wait for the service.
    pub(crate) fn enqueue(&self, service: &str, priority: i64, expires_at: Millis) -> Option<PendingRequest> {
        let ticket = self.queue.borrow_mut().enqueue(service, priority, expires_at)?;
        Some(PendingRequest { ticket, woken: self.register_waker(ticket) })
    }

    /// The request was woken and found no capacity: it keeps its position.
    pub(crate) fn rearm(&self, request: &mut PendingRequest) {
        request.woken = self.register_waker(request.ticket);
    }

    fn register_waker(&self, ticket: Ticket) -> oneshot::Receiver<()> {
        let (waker, woken) = oneshot::channel();
        self.wakers.borrow_mut().insert(ticket, waker);
        woken
    }

    /// Removes a request that got a backend or stopped waiting.
    pub(crate) fn remove(&self, service: &str, priority: i64, request: &PendingRequest) {
        self.queue.borrow_mut().remove(service, priority, request.ticket);
        self.wakers.borrow_mut().remove(&request.ticket);
    }

    /// Whether no request waits for the service.
    pub(crate) fn is_empty(&self, service: &str) -> bool {
        self.queue.borrow().is_empty(service)
    }

    /// A backend of the service may have capacity: wakes the first request that waits for it.
    pub(crate) fn wake_first(&self, service: &str, now: Millis) {
        let first = self.queue.borrow().first_unexpired(service, now);
        if let Some(waker) = first.and_then(|ticket| self.wakers.borrow_mut().remove(&ticket)) {
            wake(waker);
        }
    }

    /// The list of backends or the configuration has changed: wakes all requests.
    pub(crate) fn wake_all(&self) {
        for (_, waker) in self.wakers.borrow_mut().drain() {
            wake(waker);
        }
    }
}

fn wake(waker: oneshot::Sender<()>) {
    // Fails where the request has stopped waiting: its client has left, and nothing is lost.
    waker.send(()).ok();
}
