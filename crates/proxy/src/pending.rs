//! Requests that wait for capacity: the queue decides whose turn it is, and this wakes the one.

use crate::clock::Clock;
use std::cell::RefCell;
use tokio::sync::oneshot;
use violetyoke_balancing::queue::{PendingQueue, Ticket};
use violetyoke_balancing::Millis;

/// The pending requests of all services.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    clock: Clock,
    queue: RefCell<PendingQueue<oneshot::Sender<()>>>,
}

/// The place of one request in the queue. Dropping it gives the place up, also where the client leaves and the request's
/// task is dropped midway.
#[derive(Debug)]
#[must_use = "dropping it gives up the place"]
pub(crate) struct PendingRequest<'a> {
    requests: &'a PendingRequests,
    service: &'a str,
    priority: i64,
    ticket: Ticket,
    /// Completes when the request is to try again.
    woken: oneshot::Receiver<()>,
    has_backend: bool,
}

impl PendingRequests {
    pub(crate) fn new(clock: Clock) -> PendingRequests {
        PendingRequests { clock, queue: RefCell::default() }
    }

    /// Adds a request that waits until `expires_at`. `None` when too many wait for the service.
    pub(crate) fn enqueue<'a>(
        &'a self,
        service: &'a str,
        priority: i64,
        expires_at: Millis,
    ) -> Option<PendingRequest<'a>> {
        let (waker, woken) = oneshot::channel();
        let ticket = self.queue.borrow_mut().enqueue(service, priority, expires_at, waker)?;
        Some(PendingRequest { requests: self, service, priority, ticket, woken, has_backend: false })
    }

    /// Whether no request waits for the service.
    pub(crate) fn is_empty(&self, service: &str) -> bool {
        self.queue.borrow().is_empty(service)
    }

    /// Whether no further request may wait for the service.
    pub(crate) fn is_full(&self, service: &str) -> bool {
        self.queue.borrow().is_full(service)
    }

    /// The number of requests that wait for the service that has the most.
    pub(crate) fn longest_queue_len(&self) -> usize {
        self.queue.borrow().longest_queue_len()
    }

    /// A backend of the service may have capacity: wakes the first request that waits for it.
    pub(crate) fn wake_first(&self, service: &str) {
        let waker = self.queue.borrow_mut().take_first_waker(service, self.clock.now());
        if let Some(waker) = waker {
            wake(waker);
        }
    }

    /// The list of backends or the configuration has changed: wakes all requests.
    pub(crate) fn wake_all(&self) {
        for waker in self.queue.borrow_mut().take_all_wakers() {
            wake(waker);
        }
    }
}

fn wake(waker: oneshot::Sender<()>) {
    // Fails where the request has stopped waiting in this very moment: it passes its turn on as it leaves.
    waker.send(()).ok();
}

impl PendingRequest<'_> {
    /// Completes when the request is to try again.
    pub(crate) async fn woken(&mut self) {
        // A sender is dropped with its entry alone, and the entry is this request's.
        (&mut self.woken).await.ok();
    }

    /// The request was woken and found no capacity: it keeps its position.
    pub(crate) fn rearm(&mut self) {
        let (waker, woken) = oneshot::channel();
        self.woken = woken;
        self.requests.queue.borrow_mut().rearm(self.service, self.priority, self.ticket, waker);
    }

    /// The request got a backend, so it uses the capacity that it was woken for.
    pub(crate) fn finish(mut self) {
        self.has_backend = true;
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let was_awake = self.requests.queue.borrow_mut().remove(self.service, self.priority, self.ticket);
        if was_awake && !self.has_backend {
            self.requests.wake_first(self.service);
        }
    }
}
