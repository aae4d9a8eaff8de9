//! A runtime on a thread of its own, which links live on.

use std::io;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Ends with all its tasks when dropped.
pub struct Driven {
    handle: Handle,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Driven {
    pub fn start() -> io::Result<Driven> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::Builder::new().name("links".into()).spawn(move || {
            let _ = runtime.block_on(ended);
        })?;
        Ok(Driven { handle, end: Some(end), thread: Some(thread) })
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for Driven {
    fn drop(&mut self) {
        drop(self.end.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
