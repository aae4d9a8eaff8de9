//! The log: recovery, appends and the removal of expired segments.

use super::entry::{decode_entries, encode_entry, EncodeEntryError};
use super::files::{LogFiles, SegmentNumber};
use super::folder::LogFolder;
use super::segments::Segments;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use violetyoke_transport::messages::OperationRecord;

/// Why records were not appended. Records that were appended before are still in the log.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The records can't be encoded; no file was changed.
    #[error(transparent)]
    Encode(#[from] EncodeEntryError),
    /// The records would exceed the maximum size of the log; no file was changed. Expiry of a segment frees space.
    #[error("the log of operations is full")]
    Full,
    /// The file system returned an error. The append may be repeated.
    #[error("records of operations can't be written")]
    Io(#[from] io::Error),
}

/// A log of records of operations.
#[derive(Debug)]
pub struct OperationLog<F = LogFolder> {
    files: F,
    segments: Segments,
    max_bytes: u64,
    opened_at: Instant,
}

impl OperationLog<LogFolder> {
    /// Opens the log in a folder, creating it if it doesn't exist; returns the records in it, oldest first.
    ///
    /// # Errors
    ///
    /// If the folder can't be created, or a file of the log can't be read or synced.
    pub fn open(folder: &Path, max_bytes: u64) -> io::Result<(OperationLog, Vec<OperationRecord>)> {
        std::fs::create_dir_all(folder)?;
        OperationLog::recover(LogFolder::new(folder), max_bytes)
    }
}

impl<F: LogFiles> OperationLog<F> {
    /// Syncs and reads all segments; returns the records of their complete entries, oldest first.
    ///
    /// # Errors
    ///
    /// If a file can't be read or synced. A torn or damaged entry is no error: it ends its segment.
    pub fn recover(mut files: F, max_bytes: u64) -> io::Result<(OperationLog<F>, Vec<OperationRecord>)> {
        let mut segments = Segments::default();
        let mut records = Vec::new();
        let mut numbers = files.list()?;
        numbers.sort_unstable();
        for &number in &numbers {
            let bytes = files.read(number)?;
            files.sync(number)?;
            let segment_records = decode_entries(&bytes);
            segments.add_existing(number, bytes.len() as u64, &segment_records);
            records.extend(segment_records);
        }
        if !numbers.is_empty() {
            files.sync_directory()?;
        }
        Ok((OperationLog { files, segments, max_bytes, opened_at: Instant::now() }, records))
    }

    /// Appends records as one entry. Once this returns `Ok`, they survive a loss of power.
    ///
    /// # Errors
    ///
    /// If the records can't be encoded, the log is full, or the file system returns an error.
    pub fn append(&mut self, records: &[OperationRecord]) -> Result<(), AppendError> {
        self.append_at(self.opened_at.elapsed(), records)
    }

    /// Appends records. `now` is the time since the log was opened.
    ///
    /// # Errors
    ///
    /// See [`OperationLog::append`].
    pub fn append_at(&mut self, now: Duration, records: &[OperationRecord]) -> Result<(), AppendError> {
        if records.is_empty() {
            return Ok(());
        }
        let entry = encode_entry(records)?;
        self.remove_expired_at(now);
        if self.segments.bytes() + entry.len() as u64 > self.max_bytes {
            return Err(AppendError::Full);
        }
        let number = self.writable_segment(now)?;
        self.segments.add_bytes(number, entry.len() as u64);
        if let Err(error) = self.files.append(number, &entry) {
            self.segments.close();
            return Err(error.into());
        }
        self.segments.extend_expiry(number, now, records);
        Ok(())
    }

    /// The segment for the next entry. If none is writable, a new one is created and its directory entry synced.
    fn writable_segment(&mut self, now: Duration) -> io::Result<SegmentNumber> {
        if let Some(number) = self.segments.writable(now) {
            return Ok(number);
        }
        let number = self.segments.add_new(now);
        self.files.create(number)?;
        self.files.sync_directory()?;
        self.segments.open(number);
        Ok(number)
    }

    /// Removes the segments whose records have all expired.
    pub fn remove_expired(&mut self) {
        self.remove_expired_at(self.opened_at.elapsed());
    }

    fn remove_expired_at(&mut self, now: Duration) {
        for number in self.segments.expired(now) {
            // A file that can't be removed still counts towards the size of the log; the next append retries.
            if is_removed(&self.files.remove(number)) {
                self.segments.remove(number);
            }
        }
    }
}

/// Whether a file was removed, or didn't exist.
fn is_removed(removal: &io::Result<()>) -> bool {
    removal.as_ref().err().is_none_or(|error| error.kind() == io::ErrorKind::NotFound)
}
