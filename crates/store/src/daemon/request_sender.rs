//! The channel to a worker that writes to a disk: a thread for a real disk, a task for an emulated one.

use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// The pause before a worker repeats a failed write.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends requests to a worker.
pub(super) enum RequestSender<R> {
    Thread(Sender<R>),
    Task(UnboundedSender<R>),
}

impl<R> RequestSender<R> {
    /// Sends a request. If the worker has panicked, the request is lost and its write stays unfinished: the disk counts
    /// as unhealthy from then on, and no effect that waits for the write is sent. Otherwise the worker outlives the
    /// event loop.
    pub(super) fn send(&self, request: R) {
        match self {
            RequestSender::Thread(sender) => drop(sender.send(request)),
            RequestSender::Task(sender) => drop(sender.send(request)),
        }
    }
}
