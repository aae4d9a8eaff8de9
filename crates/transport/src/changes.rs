//! New settings while a process runs: SIGHUP says that the file has changed, and it may change without a word.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{interval, MissedTickBehavior};
use violetyoke_api::Settings;

/// How often the file's time is looked at.
const LOOK: Duration = Duration::from_secs(1);

fn changed(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|about| about.modified()).ok()
}

/// Tells each new text of the settings file that can be used; one that can't is logged and the settings stay.
pub fn watch(
    path: PathBuf,
    mut last: Settings,
    told: UnboundedSender<Settings>,
    log: slog::Logger,
) -> std::io::Result<()> {
    let mut hup = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        let mut time = changed(&path);
        let mut looks = interval(LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = hup.recv() => {}
                _ = looks.tick() => {
                    let now = changed(&path);
                    if now == time {
                        continue;
                    }
                    time = now;
                }
            }
            match Settings::read(&path) {
                Ok(new) if new != last => {
                    slog::info!(log, "settings changed"; "seeds" => new.network.seeds.len());
                    last = new.clone();
                    if told.send(new).is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(report) => slog::error!(log, "settings not taken"; "why" => format!("{report:?}")),
            }
        }
    });
    Ok(())
}
