//! Totals over the records of a table, updated with every change.

use crate::entry::Entry;
use violetyoke_transport::messages::{OperationKey, OperationState};

/// Size of a record without its key (bytes): the entry, and its slots in the indexes by key, bucket and expiry. An
/// estimate that includes the overhead of the allocator and of partly filled hash tables.
const RECORD_OVERHEAD: usize = 448;

/// The number of operations in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Claimed and without an outcome; some may be past their timeout.
    pub claimed: usize,
    /// Released by their holders without execution.
    pub released: usize,
    /// Ended without a response: they may have been executed.
    pub unknown: usize,
    /// Executed, with a response.
    pub executed: usize,
}

impl StateCounts {
    fn count_mut(&mut self, state: OperationState) -> &mut usize {
        match state {
            OperationState::Claimed => &mut self.claimed,
            OperationState::Released => &mut self.released,
            OperationState::Unknown => &mut self.unknown,
            OperationState::Executed => &mut self.executed,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) bytes: usize,
    pub(crate) counts: StateCounts,
}

impl Totals {
    pub(crate) fn add(&mut self, key: &OperationKey, entry: &Entry) {
        self.bytes += record_bytes(key);
        *self.counts.count_mut(entry.state) += 1;
    }

    pub(crate) fn subtract(&mut self, key: &OperationKey, entry: &Entry) {
        self.bytes -= record_bytes(key);
        *self.counts.count_mut(entry.state) -= 1;
    }
}

/// Size of the record of an operation (bytes).
pub(crate) fn record_bytes(key: &OperationKey) -> usize {
    RECORD_OVERHEAD + key.tenant.len() + key.key.len()
}
