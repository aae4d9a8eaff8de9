//! What reaches a process beside its connections, by the operating system or by an emulated world.

use crate::changes;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use violetyoke_api::Settings;

/// One life of a process.
#[derive(Debug)]
pub struct Life {
    /// New settings, while it runs.
    pub settings: UnboundedReceiver<Settings>,
    /// The word to leave (SIGTERM).
    pub leave: UnboundedReceiver<()>,
    /// A number that no other life has drawn.
    pub drawn: u64,
}

/// The other ends.
#[derive(Clone, Debug)]
pub struct Words {
    pub settings: UnboundedSender<Settings>,
    pub leave: UnboundedSender<()>,
}

impl Life {
    pub fn new(drawn: u64) -> (Life, Words) {
        let (settings_to, settings) = unbounded_channel();
        let (leave_to, leave) = unbounded_channel();
        (Life { settings, leave, drawn }, Words { settings: settings_to, leave: leave_to })
    }

    /// The life of this process, which runs on the settings of that file.
    pub fn of_process(file: PathBuf, settings: Settings, log: slog::Logger) -> std::io::Result<Life> {
        let mut bytes = [0; 8];
        getrandom::fill(&mut bytes).map_err(std::io::Error::other)?;
        let (life, words) = Life::new(u64::from_le_bytes(bytes));
        let mut term = signal(SignalKind::terminate())?;
        changes::watch(file, settings, words.settings, log)?;
        tokio::task::spawn_local(async move {
            // A process that has left already needs no word.
            while term.recv().await.is_some() && words.leave.send(()).is_ok() {}
        });
        Ok(life)
    }
}
