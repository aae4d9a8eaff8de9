//! The segments of a log as files in a folder.

use super::files::{LogFiles, SegmentNumber};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The name of a segment's file is this prefix and the segment's number.
const NAME_PREFIX: &str = "operations-";

/// A folder with the segment files of a log. Other files in it are ignored.
#[derive(Debug)]
pub struct LogFolder {
    folder: PathBuf,
    /// The file of the segment that was created last.
    newest: Option<File>,
}

impl LogFolder {
    /// Uses a folder, which must exist.
    #[must_use]
    pub fn new(folder: &Path) -> LogFolder {
        LogFolder { folder: folder.to_owned(), newest: None }
    }

    fn path(&self, segment: SegmentNumber) -> PathBuf {
        self.folder.join(format!("{NAME_PREFIX}{}", segment.0))
    }
}

/// The largest number of a segment. A file with a larger one in its name is none that a store has created.
const MAX_NUMBER: u64 = 1 << 48;

/// Parses the number in the name of a segment's file; `None` for other files.
fn parse_name(name: &str) -> Option<SegmentNumber> {
    let number = name.strip_prefix(NAME_PREFIX)?.parse().ok()?;
    (number <= MAX_NUMBER).then_some(SegmentNumber(number))
}

impl LogFiles for LogFolder {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        let mut segments = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            segments.extend(entry?.file_name().to_str().and_then(parse_name));
        }
        Ok(segments)
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>> {
        std::fs::read(self.path(segment))
    }

    fn sync(&mut self, segment: SegmentNumber) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(segment))?.sync_all()
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        self.newest = None;
        let file = OpenOptions::new().create_new(true).append(true).open(self.path(segment))?;
        self.newest = Some(file);
        Ok(())
    }

    fn append(&mut self, _segment: SegmentNumber, bytes: &[u8]) -> io::Result<()> {
        let file = self.newest.as_mut().ok_or(io::ErrorKind::NotFound)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        std::fs::remove_file(self.path(segment))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
