//! What can be wrong with a frame.

use std::io;
use violetyoke_settings::SettingsError;

/// A malformed frame, unusable settings, or a failed stream. The simulator prints the text as it is.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The body is not as long as the header says.
    #[error("a batch of {expected} bytes came with {received}")]
    BatchLength {
        /// Bytes by the header.
        expected: usize,
        /// Bytes there are.
        received: usize,
    },
    /// The records alone are longer than the batch.
    #[error("{records} records do not fit in a batch of {length} bytes")]
    RecordCount {
        /// Records by the header.
        records: usize,
        /// Bytes of the batch.
        length: usize,
    },
    /// No record before this event selects its instance.
    #[error("an event without an instance")]
    NoInstance,
    /// The instance has not been started, or has been stopped.
    #[error("an event for instance {0}, not started")]
    NotStarted(u32),
    /// There are fewer numbered lists.
    #[error("list number {0} is out of range")]
    ListNumber(u32),
    /// The list has not been sent.
    #[error("list number {0} was never sent")]
    UnknownList(u32),
    /// No kind of event.
    #[error("unknown event code {0}")]
    EventCode(u8),
    /// No kind of list.
    #[error("unknown kind of list {0}")]
    ListKind(u8),
    /// No condition of a backend.
    #[error("unknown condition {0} of a backend")]
    Condition(u8),
    /// No outcome of an attempt.
    #[error("unknown outcome {0}")]
    Outcome(u8),
    /// Infinite, or not a number.
    #[error("a figure that is not a number at byte {offset} of a record")]
    NotANumber {
        /// The place in the record.
        offset: usize,
    },
    /// A load report has at most four values.
    #[error("a load report of {0} values")]
    ReportLength(usize),
    /// A record refers to bytes that are not there.
    #[error("{length} bytes at {start} reach past a tail of {tail} bytes")]
    Section {
        /// Bytes referred to.
        length: usize,
        /// Their place in the tail.
        start: usize,
        /// Bytes of the tail.
        tail: usize,
    },
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input ends inside a header.
    #[error("input ends after {received} bytes of a header")]
    TruncatedHeader {
        /// Bytes that came.
        received: usize,
    },
    /// The input ends inside a batch.
    #[error("input ends {missing} bytes before its frame")]
    TruncatedBatch {
        /// Bytes that did not come.
        missing: usize,
    },
    /// Reading or writing has failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
