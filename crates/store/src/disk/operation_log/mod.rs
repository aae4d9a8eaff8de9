//! The records of operations on disk: an append-only log of segments. A segment is removed once all its records have
//! expired.
//!
//! Records are appended in batches, one entry for each batch; an append is complete once its entry is synced. Entries
//! are appended only to a segment that this process has created and in which every entry is complete: after a failed
//! write and after a restart, a new segment is created. So a torn entry is always the last one of its segment, and no
//! complete append is lost behind it. At a start, segments are synced before their records are used, for the same
//! reason as slots (see [`crate::disk`]).
//!
//! A record is needed for a bounded time. A segment takes new entries for some seconds only, so its records have about
//! the same age and expire together, and the log needs no compaction. Time is measured by the monotonic clock of this
//! process, from when it wrote or recovered a record: the age of a recovered record is not known and counts as zero.
//!
//! `entry` has the format of an entry, [`LogFiles`] the file operations, and [`OperationLog`] the log itself.

mod entry;
mod files;
mod folder;
mod log;
mod segments;

pub use entry::{decode_entries, encode_entry, EncodeEntryError};
pub use files::{LogFiles, SegmentNumber};
pub use folder::LogFolder;
pub use log::{AppendError, OperationLog};
