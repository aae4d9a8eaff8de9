//! The lifecycle of a process: its incarnation, changes of its settings, and the request to shut down. They are provided by
//! the operating system or by an emulation.

use crate::settings_watcher::SettingsWatcher;
use std::io;
use std::path::PathBuf;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use violetyoke_api::Settings;

/// The lifecycle of one incarnation of a process.
#[derive(Debug)]
pub struct Lifecycle {
    /// Receives new settings.
    pub settings: UnboundedReceiver<Settings>,
    /// Receives the request to shut down gracefully (SIGTERM).
    pub shutdown: UnboundedReceiver<()>,
    /// A random number that identifies this incarnation.
    pub incarnation: u64,
    /// The tasks that watch signals and the settings file. They are aborted when this is dropped.
    watchers: JoinSet<()>,
}

/// The sending ends of a [`Lifecycle`].
#[derive(Clone, Debug)]
pub struct LifecycleSender {
    /// Sends new settings.
    pub settings: UnboundedSender<Settings>,
    /// Sends the request to shut down gracefully.
    pub shutdown: UnboundedSender<()>,
}

/// Why the lifecycle of a process can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LifecycleError {
    /// The system can't generate the random incarnation.
    #[error("no random number for this incarnation: {0}")]
    Incarnation(getrandom::Error),
    /// A signal handler can't be installed.
    #[error("signals can't be handled")]
    Signals(#[from] io::Error),
}

impl Lifecycle {
    /// Creates a lifecycle with its sender.
    pub fn new(incarnation: u64) -> (Lifecycle, LifecycleSender) {
        let (settings_sender, settings) = unbounded_channel();
        let (shutdown_sender, shutdown) = unbounded_channel();
        let lifecycle = Lifecycle { settings, shutdown, incarnation, watchers: JoinSet::new() };
        (lifecycle, LifecycleSender { settings: settings_sender, shutdown: shutdown_sender })
    }

    /// Creates the lifecycle of this process, with a random incarnation, which is notified of SIGTERM and of changes of the
    /// settings file. Must be called within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// If the system can't generate a random number, or a signal handler can't be installed.
    pub fn of_process(
        file: PathBuf,
        settings: Settings,
        log: slog::Logger,
    ) -> Result<Lifecycle, LifecycleError> {
        let mut bytes = [0; 8];
        getrandom::fill(&mut bytes).map_err(LifecycleError::Incarnation)?;
        let (mut lifecycle, sender) = Lifecycle::new(u64::from_le_bytes(bytes));
        let terminate = signal(SignalKind::terminate())?;
        let watcher = SettingsWatcher::new(file, settings, sender.settings, log)?;
        lifecycle.watchers.spawn_local(watcher.run());
        lifecycle.watchers.spawn_local(forward(terminate, sender.shutdown));
        Ok(lifecycle)
    }
}

/// Sends a shutdown request for each signal, until the receiver is dropped.
async fn forward(mut terminate: Signal, shutdown: UnboundedSender<()>) {
    while terminate.recv().await.is_some() && shutdown.send(()).is_ok() {}
}
