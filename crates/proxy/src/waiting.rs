//! Requests that wait for room at a backend: the queue decides whose turn it is, this wakes it.

use std::collections::HashMap;
use tokio::sync::oneshot;
use violetyoke_balancing::queue::{PendingQueue, Ticket};
use violetyoke_balancing::Millis;

#[derive(Debug, Default)]
pub struct Waiting {
    queue: PendingQueue,
    wakers: HashMap<Ticket, oneshot::Sender<()>>,
}

/// A place in the queue.
#[derive(Debug)]
pub struct Place {
    pub ticket: Ticket,
    pub woken: oneshot::Receiver<()>,
}

impl Waiting {
    pub fn wait(&mut self, service: &str, priority: i64, until: Millis) -> Option<Place> {
        let ticket = self.queue.enqueue(service, priority, until)?;
        let (waker, woken) = oneshot::channel();
        self.wakers.insert(ticket, waker);
        Some(Place { ticket, woken })
    }

    /// Looked, and there was no room: it keeps its place.
    pub fn again(&mut self, place: &mut Place) {
        let (waker, woken) = oneshot::channel();
        self.wakers.insert(place.ticket, waker);
        place.woken = woken;
    }

    pub fn leave(&mut self, service: &str, priority: i64, place: &Place) {
        self.queue.remove(service, priority, place.ticket);
        self.wakers.remove(&place.ticket);
    }

    pub fn anybody(&self, service: &str) -> bool {
        !self.queue.is_empty(service)
    }

    /// A backend of the service may have room.
    pub fn room(&mut self, service: &str, now: Millis) {
        if let Some(waker) =
            self.queue.first_unexpired(service, now).and_then(|ticket| self.wakers.remove(&ticket))
        {
            // Whoever waited may have gone.
            let _ = waker.send(());
        }
    }

    /// Things are another way for everybody.
    pub fn all(&mut self) {
        for (_, waker) in self.wakers.drain() {
            let _ = waker.send(());
        }
    }
}
