//! Reloads the settings while a process runs: on SIGHUP, and when the modification time of the file has changed.

use slog::{error, info, Logger};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{interval, Interval, MissedTickBehavior};
use violetyoke_api::Settings;

/// The interval at which the modification time of the file is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the settings whenever the file has changed and is valid. If the file is invalid, logs the error; the settings in
/// force stay.
pub(crate) struct SettingsWatcher {
    path: PathBuf,
    last_modified: Option<SystemTime>,
    current: Settings,
    sender: UnboundedSender<Settings>,
    log: Logger,
    hangup: Signal,
    checks: Interval,
}

impl SettingsWatcher {
    /// Watches the file at `path`, from which `current` was read.
    ///
    /// # Errors
    ///
    /// If the handler of SIGHUP can't be installed.
    pub(crate) fn new(
        path: PathBuf,
        current: Settings,
        sender: UnboundedSender<Settings>,
        log: Logger,
    ) -> io::Result<SettingsWatcher> {
        let hangup = signal(SignalKind::hangup())?;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let last_modified = modified_at(&path);
        Ok(SettingsWatcher { path, last_modified, current, sender, log, hangup, checks })
    }

    /// Runs until the receiver of the settings is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            self.wait_for_change().await;
            match Settings::read(&self.path) {
                Ok(new) if new != self.current => {
                    info!(self.log, "settings changed"; "seeds" => new.network.seeds.len());
                    self.current = new.clone();
                    if self.sender.send(new).is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(report) => error!(self.log, "settings rejected"; "error" => format!("{report:?}")),
            }
        }
    }

    /// Waits for SIGHUP or for a modification of the file.
    async fn wait_for_change(&mut self) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => return,
                _ = self.checks.tick() => {
                    let modified = modified_at(&self.path);
                    if modified != self.last_modified {
                        self.last_modified = modified;
                        return;
                    }
                }
            }
        }
    }
}

/// The modification time of a file; `None` if the file does not exist.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
