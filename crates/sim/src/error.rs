//! Errors of frames and of the streams that carry them.

use std::io;
use violetyoke_settings::SettingsError;

/// A malformed frame, unusable settings, or a failed stream. The simulator prints the message unchanged.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The length of the body differs from the header.
    #[error("a batch of {expected} bytes came with {received}")]
    BatchLength {
        /// Length in the header (bytes).
        expected: usize,
        /// Length of the body (bytes).
        received: usize,
    },
    /// The records are longer than the batch.
    #[error("{records} records do not fit in a batch of {length} bytes")]
    RecordCount {
        /// Number of records in the header.
        records: usize,
        /// Length of the batch (bytes).
        length: usize,
    },
    /// No record before this one selects an instance.
    #[error("an event without an instance")]
    NoInstance,
    /// The instance has not been started, or has been stopped.
    #[error("an event for instance {0}, not started")]
    NotStarted(u32),
    /// The number of a list is not below the limit.
    #[error("list number {0} is out of range")]
    ListNumber(u32),
    /// The record refers to a list that has not been sent.
    #[error("list number {0} was never sent")]
    UnknownList(u32),
    /// The code is none of an event.
    #[error("unknown event code {0}")]
    EventCode(u8),
    /// The code is none of a kind of list.
    #[error("unknown kind of list {0}")]
    ListKind(u8),
    /// The code is none of a backend's condition.
    #[error("unknown condition {0} of a backend")]
    Condition(u8),
    /// The code is none of an outcome.
    #[error("unknown outcome {0}")]
    Outcome(u8),
    /// A floating-point number is infinite or NaN.
    #[error("a figure that is not a number at byte {offset} of a record")]
    NotANumber {
        /// Offset of the number in the record (bytes).
        offset: usize,
    },
    /// A load report has more than four values.
    #[error("a load report of {0} values")]
    ReportLength(usize),
    /// A record refers to bytes beyond the end of the tail.
    #[error("{length} bytes at {start} reach past a tail of {tail} bytes")]
    Section {
        /// Length of the referenced bytes.
        length: usize,
        /// Offset of the referenced bytes in the tail.
        start: usize,
        /// Length of the tail (bytes).
        tail: usize,
    },
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input ends inside a header.
    #[error("input ends after {received} bytes of a header")]
    TruncatedHeader {
        /// Bytes of the header that were received.
        received: usize,
    },
    /// The input ends inside a batch.
    #[error("input ends {missing} bytes before its frame")]
    TruncatedBatch {
        /// Bytes of the batch that are missing.
        missing: usize,
    },
    /// Reading or writing a stream failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
