//! A connection's task that moves with its requests: it runs in the set of the pool whose request it carries, so
//! that reading, parsing and writing for a pool are done in that pool's turns.

use crate::connections::ClientConnection;
use crate::task_scheduler;
use crate::tasks::TaskSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

pub type Work = Pin<Box<dyn Future<Output = ()>>>;

/// Polls its work wherever it is, and moves on when the place says so.
pub struct MigratingTask {
    work: Option<Work>,
    place: Rc<ClientConnection>,
}

/// Starts a connection's work in a set.
pub fn spawn(set: &TaskSet, work: Work, place: Rc<ClientConnection>) {
    if let Some(woken) = task_scheduler::wake_queue() {
        let task = set.spawn(&woken, MigratingTask { work: Some(work), place: place.clone() });
        place.set_task(task);
    }
}

impl Future for MigratingTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // It may have been told to move while nothing was to do: the new set polls it, with its own waker.
        if let Some(set) = self.place.take_pending_move() {
            if let Some(work) = self.work.take() {
                spawn(&set, work, self.place.clone());
            }
            return Poll::Ready(());
        }
        self.place.store_waker(cx.waker());
        let Some(work) = self.work.as_mut() else { return Poll::Ready(()) };
        if work.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        if let Some(set) = self.place.take_pending_move() {
            if let Some(work) = self.work.take() {
                spawn(&set, work, self.place.clone());
            }
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
