//! Backups of the store in a directory: each is whole or absent, and so many are kept.

use crate::store::{Error, Result, Sqlite};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Where backups go, how often, and how many are kept.
#[derive(Clone, Debug)]
pub struct Backups {
    pub folder: PathBuf,
    pub every_ms: u64,
    pub keep: usize,
}

const END: &str = ".sqlite";

/// `store-MILLISECONDS-EPOCH.sqlite`: two owners' backups are two files, whatever their order.
fn name(at: u64, epoch: u64) -> String {
    format!("store-{at:015}-{epoch}{END}")
}

fn made_at(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?.strip_prefix("store-")?.strip_suffix(END)?;
    name.split('-').next()?.parse().ok()
}

fn failed(path: &Path) -> impl Fn(std::io::Error) -> Error + '_ {
    move |error| Error::Failed(format!("{}: {error}", path.display()))
}

impl Backups {
    /// Those that are there, the oldest first.
    pub fn list(&self) -> Result<Vec<(u64, PathBuf)>> {
        let mut list = Vec::new();
        for entry in fs::read_dir(&self.folder).map_err(failed(&self.folder))? {
            let path = entry.map_err(failed(&self.folder))?.path();
            if let Some(at) = made_at(&path) {
                list.push((at, path));
            }
        }
        list.sort();
        Ok(list)
    }

    /// Whether one is due. A clock that was set back makes none for as long as the newest one is from the future,
    /// but for the time that passes between two in any case.
    pub fn due(&self, now: u64) -> Result<bool> {
        let newest = self.list()?.last().map(|(at, _)| *at);
        Ok(newest.is_none_or(|newest| now.abs_diff(newest) >= self.every_ms))
    }

    /// Makes one, and removes the oldest beyond what is kept.
    pub fn make(&self, store: &Sqlite, now: u64, epoch: u64) -> Result<PathBuf> {
        let path = self.folder.join(name(now, epoch));
        let new = path.with_extension("new");
        let _ = fs::remove_file(&new);
        store.copy_to(&new)?;
        File::open(&new).and_then(|file| file.sync_all()).map_err(failed(&new))?;
        fs::rename(&new, &path).map_err(failed(&path))?;
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(failed(&self.folder))?;
        let list = self.list()?;
        for (_, old) in list.iter().take(list.len().saturating_sub(self.keep.max(1))) {
            fs::remove_file(old).map_err(failed(old))?;
        }
        Ok(path)
    }
}
