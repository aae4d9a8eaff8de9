//! Requests that wait for a backend with free capacity. Wraps [`PendingQueue`] with wakers for the requests'
//! tasks.

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

/// The queue entry of one request. Dropping it removes the entry, even if the client disconnects and the
/// request's task is dropped while it waits.
#[derive(Debug)]
#[must_use = "dropping it removes the request from the queue"]
pub(crate) struct PendingRequest<'a> {
    requests: &'a PendingRequests,
    service: &'a str,
    priority: i64,
    ticket: Ticket,
    /// Completes when the request should check for capacity.
    woken: oneshot::Receiver<()>,
    has_backend: bool,
}

impl PendingRequests {
    pub(crate) fn new(clock: Clock) -> PendingRequests {
        PendingRequests { clock, queue: RefCell::default() }
    }

    /// Adds a request that waits until `expires_at`. Returns `None` if the queue of the service is full.
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

    /// Whether no request is queued for the service.
    pub(crate) fn is_empty(&self, service: &str) -> bool {
        self.queue.borrow().is_empty(service)
    }

    /// Whether the queue of the service is full.
    pub(crate) fn is_full(&self, service: &str) -> bool {
        self.queue.borrow().is_full(service)
    }

    /// Length of the longest queue of any service.
    pub(crate) fn longest_queue_len(&self) -> usize {
        self.queue.borrow().longest_queue_len()
    }

    /// Wakes the first request in the queue of the service, after a backend may have got free capacity.
    pub(crate) fn wake_first(&self, service: &str) {
        let waker = self.queue.borrow_mut().take_first_waker(service, self.clock.now());
        if let Some(waker) = waker {
            wake(waker);
        }
    }

    /// Wakes all requests, after the list of backends or the configuration has changed.
    pub(crate) fn wake_all(&self) {
        for waker in self.queue.borrow_mut().take_all_wakers() {
            wake(waker);
        }
    }
}

fn wake(waker: oneshot::Sender<()>) {
    // Fails if the request has just stopped waiting. Dropping its entry then wakes the next request.
    waker.send(()).ok();
}

impl PendingRequest<'_> {
    /// Completes when the request should check for capacity.
    pub(crate) async fn woken(&mut self) {
        // The sender can't be dropped early: it is in the queue entry that this request owns.
        (&mut self.woken).await.ok();
    }

    /// Waits again after the request was woken and found no capacity. The request keeps its position.
    pub(crate) fn rearm(&mut self) {
        let (waker, woken) = oneshot::channel();
        self.woken = woken;
        self.requests.queue.borrow_mut().rearm(self.service, self.priority, self.ticket, waker);
    }

    /// Records that the request got a backend. The capacity that it was woken for is then in use, so no other
    /// request is woken.
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
