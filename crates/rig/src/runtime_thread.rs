//! A single-threaded tokio runtime on its own thread, for links and stubs that are used from synchronous tests.

use std::io;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Owns the thread. Dropping it ends the runtime with all its tasks, and joins the thread.
pub struct RuntimeThread {
    handle: Handle,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the runtime cannot be built or the thread cannot be started.
    pub fn start() -> io::Result<RuntimeThread> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (shutdown, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("links".into()).spawn(move || {
            // The sender is never used but dropped, so that the receiver's error is the signal to end.
            runtime.block_on(stopped).unwrap_or_default();
        })?;
        Ok(RuntimeThread { handle, shutdown: Some(shutdown), thread: Some(thread) })
    }

    /// Spawns tasks onto the runtime.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed by the panic hook; a second panic here would abort the
            // test.
            thread.join().unwrap_or_default();
        }
    }
}
