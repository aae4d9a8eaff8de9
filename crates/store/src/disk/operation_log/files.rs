//! The file operations that the log needs.

use std::io;

/// The number of a segment: segments of a log are numbered in the order of their creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentNumber(pub u64);

/// The files of a log's segments.
pub trait LogFiles {
    /// Lists the segments that have files, in any order.
    ///
    /// # Errors
    ///
    /// If the directory can't be read.
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>>;

    /// Reads the bytes of a segment.
    ///
    /// # Errors
    ///
    /// If its file can't be read.
    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>>;

    /// Syncs a segment without writing to it, so that a loss of power doesn't remove what was read from it.
    ///
    /// # Errors
    ///
    /// If the sync fails.
    fn sync(&mut self, segment: SegmentNumber) -> io::Result<()>;

    /// Creates the file of a new segment.
    ///
    /// # Errors
    ///
    /// If the file exists or can't be created.
    fn create(&mut self, segment: SegmentNumber) -> io::Result<()>;

    /// Writes bytes at the end of the segment that was created last, and syncs them.
    ///
    /// # Errors
    ///
    /// If the bytes are not written or not synced; the segment may then contain any part of them.
    fn append(&mut self, segment: SegmentNumber, bytes: &[u8]) -> io::Result<()>;

    /// Removes the file of a segment. The removal is not synced: the file may exist again after a loss of power.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or can't be removed.
    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()>;

    /// Syncs the directory, so that a loss of power does not remove the files.
    ///
    /// # Errors
    ///
    /// If the sync fails.
    fn sync_directory(&mut self) -> io::Result<()>;
}
