//! What reaches a process beside its connections: its incarnation, new settings, the request to shut down. They come from
//! the operating system or from an emulation.

use crate::settings_watcher;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use violetyoke_api::Settings;

/// The receiving ends of one incarnation of a process.
#[derive(Debug)]
pub struct Lifecycle {
    /// New settings, while it runs.
    pub settings: UnboundedReceiver<Settings>,
    /// The request to shut down gracefully (SIGTERM).
    pub shutdown: UnboundedReceiver<()>,
    /// A random number that identifies this incarnation.
    pub incarnation: u64,
}

/// The sending ends of a [`Lifecycle`].
#[derive(Clone, Debug)]
pub struct LifecycleSender {
    /// Sends new settings.
    pub settings: UnboundedSender<Settings>,
    /// Asks the process to shut down gracefully.
    pub shutdown: UnboundedSender<()>,
}

impl Lifecycle {
    /// Both ends for one incarnation.
    pub fn new(incarnation: u64) -> (Lifecycle, LifecycleSender) {
        let (settings_sender, settings) = unbounded_channel();
        let (shutdown_sender, shutdown) = unbounded_channel();
        let lifecycle = Lifecycle { settings, shutdown, incarnation };
        (lifecycle, LifecycleSender { settings: settings_sender, shutdown: shutdown_sender })
    }

    /// The lifecycle of this process: a random incarnation, SIGTERM, and changes of the settings file.
    ///
    /// # Errors
    /// Where the system gives no randomness or a signal handler can't be installed.
    pub fn of_process(file: PathBuf, settings: Settings, log: slog::Logger) -> std::io::Result<Lifecycle> {
        let mut bytes = [0; 8];
        getrandom::fill(&mut bytes).map_err(std::io::Error::other)?;
        let (lifecycle, sender) = Lifecycle::new(u64::from_le_bytes(bytes));
        let mut term = signal(SignalKind::terminate())?;
        settings_watcher::watch(file, settings, sender.settings, log)?;
        tokio::task::spawn_local(async move {
            // Ends once the receiver is gone: a process that has shut down needs no further signal.
            while term.recv().await.is_some() && sender.shutdown.send(()).is_ok() {}
        });
        Ok(lifecycle)
    }
}
