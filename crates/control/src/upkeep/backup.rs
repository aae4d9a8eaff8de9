//! Backups of the store in a directory: each is complete or absent, and a number of them is kept.

use crate::store::{Error, Result, Sqlite};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// Where backups are made, how often, and how many are kept.
#[derive(Clone, Debug)]
pub struct BackupPolicy {
    /// The directory, which must exist.
    pub directory: PathBuf,
    /// Time between two backups, in milliseconds.
    pub interval_ms: u64,
    /// Backups that are kept; at least one is.
    pub kept: usize,
}

/// A backup in the directory.
struct Backup {
    made_at_ms: u64,
    path: PathBuf,
}

const SUFFIX: &str = ".sqlite";

/// `store-MILLISECONDS-EPOCH.sqlite`: backups of two owners are two files, in whatever order they are made.
fn file_name(now_ms: u64, epoch: u64) -> String {
    format!("store-{now_ms:015}-{epoch}{SUFFIX}")
}

fn made_at_ms(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?.strip_prefix("store-")?.strip_suffix(SUFFIX)?;
    name.split('-').next()?.parse().ok()
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> Error + '_ {
    move |source| Error::File { path: path.to_path_buf(), source }
}

impl BackupPolicy {
    /// The backups in the directory, the oldest first.
    fn list(&self) -> Result<Vec<Backup>> {
        let mut backups = Vec::new();
        for entry in fs::read_dir(&self.directory).map_err(file_error(&self.directory))? {
            let path = entry.map_err(file_error(&self.directory))?.path();
            if let Some(made_at_ms) = made_at_ms(&path) {
                backups.push(Backup { made_at_ms, path });
            }
        }
        backups.sort_by(|a, b| (a.made_at_ms, &a.path).cmp(&(b.made_at_ms, &b.path)));
        Ok(backups)
    }

    /// Whether a backup is due. While the newest one is from the future, because the clock was set back, one is due
    /// only if that is at least the interval away.
    pub(super) fn is_due(&self, now_ms: u64) -> Result<bool> {
        let newest = self.list()?.last().map(|backup| backup.made_at_ms);
        Ok(newest.is_none_or(|newest| now_ms.abs_diff(newest) >= self.interval_ms))
    }

    /// Makes a backup, and removes the oldest beyond those that are kept.
    pub(super) fn make(&self, store: &Sqlite, now_ms: u64, epoch: u64) -> Result<PathBuf> {
        let path = self.directory.join(file_name(now_ms, epoch));
        let temporary = path.with_extension("new");
        // One may be left over from a process that was killed; usually there is none.
        drop(fs::remove_file(&temporary));
        store.copy_to(&temporary)?;
        File::open(&temporary).and_then(|file| file.sync_all()).map_err(file_error(&temporary))?;
        fs::rename(&temporary, &path).map_err(file_error(&path))?;
        let directory = File::open(&self.directory);
        directory.and_then(|directory| directory.sync_all()).map_err(file_error(&self.directory))?;
        let backups = self.list()?;
        for old in backups.iter().take(backups.len().saturating_sub(self.kept.max(1))) {
            fs::remove_file(&old.path).map_err(file_error(&old.path))?;
        }
        Ok(path)
    }
}
