//! The task of a client's connection, which moves between task sets. It runs in the set of the pool whose request it
//! handles, so that reading, parsing and writing for a pool are charged to that pool.

use crate::connections::ClientConnection;
use crate::task_scheduler;
use crate::tasks::TaskSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The future that serves a connection.
pub type ConnectionFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Polls the future of a connection in the present task set, and moves it to another set when the connection requests it.
pub struct MigratingTask {
    future: Option<ConnectionFuture>,
    connection: Rc<ClientConnection>,
}

/// Spawns the task of a connection in a set.
pub fn spawn(set: &TaskSet, future: ConnectionFuture, connection: Rc<ClientConnection>) {
    if let Some(wake_queue) = task_scheduler::wake_queue() {
        let task =
            set.spawn(&wake_queue, MigratingTask { future: Some(future), connection: connection.clone() });
        connection.set_task(task);
    }
}

impl Future for MigratingTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // A move may have been requested while the task was idle. The task in the new set polls the future with its own
        // waker.
        if let Some(set) = self.connection.take_pending_move() {
            if let Some(future) = self.future.take() {
                spawn(&set, future, self.connection.clone());
            }
            return Poll::Ready(());
        }
        self.connection.store_waker(cx.waker());
        let Some(future) = self.future.as_mut() else { return Poll::Ready(()) };
        if future.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        if let Some(set) = self.connection.take_pending_move() {
            if let Some(future) = self.future.take() {
                spawn(&set, future, self.connection.clone());
            }
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
