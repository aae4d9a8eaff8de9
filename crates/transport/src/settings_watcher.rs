//! New settings while a process runs. The file is read anew on SIGHUP, and when its modification time has changed.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{interval, MissedTickBehavior};
use violetyoke_api::Settings;

/// How often the file's modification time is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

fn modified_at(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|about| about.modified()).ok()
}

/// Sends the settings each time that the file holds other ones that are valid. An invalid file is logged, and the settings in
/// force stay.
///
/// # Errors
/// Where the signal handler can't be installed.
pub fn watch(
    path: PathBuf,
    mut current: Settings,
    sender: UnboundedSender<Settings>,
    log: slog::Logger,
) -> std::io::Result<()> {
    let mut hup = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        let mut last_modified = modified_at(&path);
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = hup.recv() => {}
                _ = checks.tick() => {
                    let now = modified_at(&path);
                    if now == last_modified {
                        continue;
                    }
                    last_modified = now;
                }
            }
            match Settings::read(&path) {
                Ok(new) if new != current => {
                    slog::info!(log, "settings changed"; "seeds" => new.network.seeds.len());
                    current = new.clone();
                    if sender.send(new).is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(report) => slog::error!(log, "settings rejected"; "error" => format!("{report:?}")),
            }
        }
    });
    Ok(())
}
