//! The segments of a log, with their sizes and when they expire.

use super::files::SegmentNumber;
use std::collections::BTreeMap;
use std::time::Duration;
use violetyoke_transport::messages::OperationRecord;

/// A segment of this size takes no more entries (bytes).
const MAX_SEGMENT_BYTES: u64 = 4 << 20;
/// A segment of this age takes no more entries. A record may stay on disk for this time after it has expired.
const MAX_SEGMENT_AGE: Duration = Duration::from_secs(15);

/// A segment. Times are measured from when the log was opened.
#[derive(Clone, Copy, Debug, Default)]
struct Segment {
    created_at: Duration,
    /// When its last record expires; zero if it has no complete entry.
    expires_at: Duration,
    bytes: u64,
}

/// The segments of a log.
#[derive(Debug, Default)]
pub(super) struct Segments {
    segments: BTreeMap<SegmentNumber, Segment>,
    /// The segment that takes more entries, in which all entries are complete.
    writable: Option<SegmentNumber>,
    /// The highest number of any segment, including removed ones.
    last_number: SegmentNumber,
    /// The size of all segments together.
    bytes: u64,
}

impl Segments {
    /// Adds a segment that was found when the log was opened.
    pub(super) fn add_existing(&mut self, number: SegmentNumber, bytes: u64, records: &[OperationRecord]) {
        let expires_at = last_expiry(Duration::ZERO, records);
        self.segments.insert(number, Segment { created_at: Duration::ZERO, expires_at, bytes });
        self.last_number = self.last_number.max(number);
        self.bytes += bytes;
    }

    /// Adds a new segment, which is not writable yet; returns its number, which is higher than all earlier ones.
    pub(super) fn add_new(&mut self, now: Duration) -> SegmentNumber {
        self.last_number = SegmentNumber(self.last_number.0 + 1);
        self.segments.insert(self.last_number, Segment { created_at: now, ..Segment::default() });
        self.writable = None;
        self.last_number
    }

    /// Makes a segment writable.
    pub(super) fn open(&mut self, number: SegmentNumber) {
        self.writable = Some(number);
    }

    /// Makes no segment writable.
    pub(super) fn close(&mut self) {
        self.writable = None;
    }

    /// The segment that takes the next entry, if there is one.
    pub(super) fn writable(&self, now: Duration) -> Option<SegmentNumber> {
        let number = self.writable?;
        let segment = self.segments.get(&number)?;
        let is_open = segment.bytes < MAX_SEGMENT_BYTES && now < segment.created_at + MAX_SEGMENT_AGE;
        is_open.then_some(number)
    }

    /// Adds to the size of a segment, before the bytes are written: after a failed write, any part may be in the file.
    pub(super) fn add_bytes(&mut self, number: SegmentNumber, bytes: u64) {
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.bytes += bytes;
            self.bytes += bytes;
        }
    }

    /// Extends the expiry of a segment to that of records appended to it.
    pub(super) fn extend_expiry(
        &mut self,
        number: SegmentNumber,
        now: Duration,
        records: &[OperationRecord],
    ) {
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.expires_at = segment.expires_at.max(last_expiry(now, records));
        }
    }

    /// The segments whose records have all expired, without the writable one.
    pub(super) fn expired(&self, now: Duration) -> Vec<SegmentNumber> {
        let not_writable = self.segments.iter().filter(|(number, _)| self.writable(now) != Some(**number));
        not_writable.filter(|(_, segment)| segment.expires_at <= now).map(|(number, _)| *number).collect()
    }

    pub(super) fn remove(&mut self, number: SegmentNumber) {
        if let Some(segment) = self.segments.remove(&number) {
            self.bytes -= segment.bytes;
        }
    }

    /// The size of all segments together.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// When the last of these records expires, if all of them are kept from now on.
fn last_expiry(now: Duration, records: &[OperationRecord]) -> Duration {
    let keep_ms = records.iter().map(|record| record.keep_ms).max();
    keep_ms.map_or(Duration::ZERO, |keep_ms| now + Duration::from_millis(keep_ms.into()))
}
