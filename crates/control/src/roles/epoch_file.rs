//! The reservation of epochs in a file beside the store. The file is not part of the store's backups, so that
//! restoring a backup does not take the reservation back.

use crate::store::{Error, Result};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use violetyoke_ownership::Epoch;

/// The file's path; none for the store of a demonstration, which has no file.
#[derive(Clone, Debug)]
pub struct EpochFile(Option<PathBuf>);

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> Error + '_ {
    move |source| Error::File { path: path.to_path_buf(), source }
}

impl EpochFile {
    /// No file, for a store that does not outlive the process.
    pub fn none() -> EpochFile {
        EpochFile(None)
    }

    /// The file beside a store's file: its name and `.epochs`.
    pub fn beside(store: &Path) -> EpochFile {
        let mut path = store.as_os_str().to_owned();
        path.push(".epochs");
        EpochFile(Some(path.into()))
    }

    /// The reserved epoch; none if there is no file.
    pub(crate) fn read(&self) -> Result<Option<Epoch>> {
        let Some(path) = &self.0 else { return Ok(None) };
        let text = match fs::read_to_string(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text.map_err(file_error(path))?,
        };
        let not_a_number = |error| file_error(path)(io::Error::new(io::ErrorKind::InvalidData, error));
        text.trim().parse().map(|epoch| Some(Epoch(epoch))).map_err(not_a_number)
    }

    /// Raises the reservation, durably when this returns. Another process on the same store may have raised it
    /// further.
    pub(crate) fn raise(&self, reservation: Epoch) -> Result<()> {
        let Some(path) = &self.0 else { return Ok(()) };
        if self.read()?.is_some_and(|reserved| reserved >= reservation) {
            return Ok(());
        }
        write_durably(path, &format!("{reservation}\n")).map_err(file_error(path))
    }
}

/// Replaces a file's content, such that after a crash it is either the old or the new one.
fn write_durably(path: &Path, content: &str) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let mut file = File::create(&temporary)?;
    file.write_all(content.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    let directory = path.parent().filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
