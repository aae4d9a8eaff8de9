//! The mark of epochs in a file beside the store. It is no part of the store's backups: a store that is put back
//! does not put it back.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use violetyoke_ownership::Epoch;

/// Where it stands; none: the store is a demonstration's.
#[derive(Clone, Debug)]
pub struct Mark(pub Option<PathBuf>);

impl Mark {
    pub fn beside(store: &Path) -> Mark {
        let mut path = store.as_os_str().to_owned();
        path.push(".epochs");
        Mark(Some(path.into()))
    }

    /// None: there is no file.
    pub fn read(&self) -> io::Result<Option<Epoch>> {
        let Some(path) = &self.0 else { return Ok(None) };
        let text = match fs::read_to_string(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text?,
        };
        let wrong = |_| io::Error::other(format!("{}: is not a number", path.display()));
        text.trim().parse().map(Some).map_err(wrong)
    }

    /// Raises the mark, durable when this returns. Another process on the same store may have raised it further.
    pub fn raise(&self, mark: Epoch) -> io::Result<()> {
        let Some(path) = &self.0 else { return Ok(()) };
        if self.read()?.is_some_and(|there| there >= mark) {
            return Ok(());
        }
        let mut new = path.as_os_str().to_owned();
        new.push(".new");
        let mut file = File::create(&new)?;
        file.write_all(format!("{mark}\n").as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, path)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }
}
