//! Golden files. Other crates' golden tests include this file.

use std::path::PathBuf;

/// The environment variable with which missing golden files are written. Existing files are never overwritten.
pub(crate) const WRITE_MISSING: &str = "VIOLETYOKE_WRITE_GOLDEN";

/// The golden files of one kind in a folder.
pub(crate) struct GoldenFolder {
    pub folder: PathBuf,
    pub extension: &'static str,
}

impl GoldenFolder {
    /// The files in `tests/golden` of the crate whose manifest folder is given.
    pub(crate) fn of_crate(manifest_dir: &str, extension: &'static str) -> GoldenFolder {
        GoldenFolder { folder: PathBuf::from(manifest_dir).join("tests/golden"), extension }
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.{}", self.extension))
    }

    /// The bytes of a golden file.
    ///
    /// # Panics
    /// If the file is missing, because the message would not be checked.
    pub(crate) fn read(&self, name: &str, current: impl FnOnce() -> Vec<u8>) -> Vec<u8> {
        let path = self.path(name);
        if std::env::var_os(WRITE_MISSING).is_some() && !path.exists() {
            std::fs::write(&path, current()).expect("the golden file can be written");
        }
        std::fs::read(&path).unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()))
    }
}
